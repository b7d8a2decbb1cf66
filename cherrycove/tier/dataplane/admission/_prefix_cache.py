"""Estimate of a broker's prefix cache, and the affinity of prompt prefixes to brokers. Pure."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from hashlib import blake2b

from cherrycove.tier.dataplane.prompt import Prompt, PromptSegment

DEFAULT_CAPACITY_TOKENS = 100_000  # where the configuration does not say a service's KV cache


class PrefixCacheEstimate:
    """Prompt segments that one broker probably keeps, evicted least recently used first as it does.

    Owned by the broker's ``BrokerState``; a wrong estimate costs prefill time, nothing else.
    """

    def __init__(self, capacity_tokens: int) -> None:
        """``capacity_tokens`` 0: unknown."""
        self._capacity_tokens = capacity_tokens or DEFAULT_CAPACITY_TOKENS
        self._segments: OrderedDict[str, int] = OrderedDict()  # tokens by id, least recently used first
        self._tokens = 0

    def add(self, prompt: Prompt) -> None:
        """A request with this prompt was sent there."""
        for segment in prompt.segments:
            self._tokens += segment.tokens - self._segments.pop(segment.id, 0)
            self._segments[segment.id] = segment.tokens
        while self._tokens > self._capacity_tokens and self._segments:
            self._tokens -= self._segments.popitem(last=False)[1]

    def cached_tokens(self, prompt: Prompt) -> int:
        """Tokens of the longest prefix of ``prompt``, in whole segments, that is cached."""
        tokens = 0
        for segment in prompt.segments:
            if segment.id not in self._segments:
                break
            tokens += segment.tokens
        return tokens


def affinity_segment(prompt: Prompt) -> PromptSegment | None:
    """The segment that decides the prompt's preferred broker: the largest shared one."""
    return max(prompt.shared_segments, key=lambda segment: segment.tokens, default=None)


def preferred_broker(segment: PromptSegment, instance_ids: Iterable[str]) -> str | None:
    """The broker that requests with ``segment`` prefer, the same at every proxy.

    Rendezvous hashing (Thaler, Ravishankar: A Name-Based Mapping Scheme for Rendezvous, 1996): a broker that
    leaves moves only the segments that preferred it.
    """
    return max(instance_ids, key=lambda instance_id: _rendezvous_score(segment.id, instance_id), default=None)


def _rendezvous_score(segment_id: str, instance_id: str) -> bytes:
    return blake2b(f"{segment_id} {instance_id}".encode(), digest_size=8).digest()
