"""Estimates the contents of a broker's prefix cache, and assigns shared prompt segments to brokers."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from hashlib import blake2b

from cherrycove.tier.dataplane.prompt import Prompt, PromptSegment

DEFAULT_CAPACITY_TOKENS = 100_000  # used if the service's KV cache size is not configured


class PrefixCacheEstimate:
    """Tracks the prompt segments that one broker has probably cached, with LRU eviction as at the broker.

    Owned by the broker's ``BrokerState``. A wrong estimate costs prefill time only.
    """

    def __init__(self, capacity_tokens: int) -> None:
        """Create an empty estimate; ``capacity_tokens`` of 0 means that the capacity is unknown."""
        self._capacity_tokens = capacity_tokens or DEFAULT_CAPACITY_TOKENS
        self._segments: OrderedDict[str, int] = OrderedDict()  # tokens by id, least recently used first
        self._tokens = 0

    def add(self, prompt: Prompt) -> None:
        """Record that a request with this prompt was sent to the broker."""
        for segment in prompt.segments:
            self._tokens += segment.tokens - self._segments.pop(segment.id, 0)
            self._segments[segment.id] = segment.tokens
        while self._tokens > self._capacity_tokens and self._segments:
            self._tokens -= self._segments.popitem(last=False)[1]

    def cached_tokens(self, prompt: Prompt) -> int:
        """Return the number of tokens in the longest cached prefix of ``prompt``, in whole segments."""
        tokens = 0
        for segment in prompt.segments:
            if segment.id not in self._segments:
                break
            tokens += segment.tokens
        return tokens


def affinity_segment(prompt: Prompt) -> PromptSegment | None:
    """Return the prompt's largest shared segment, which determines its preferred broker; None without one."""
    return max(prompt.shared_segments, key=lambda segment: segment.tokens, default=None)


def preferred_broker(segment: PromptSegment, instance_ids: Iterable[str]) -> str | None:
    """Return the broker that requests with ``segment`` prefer, the same at every proxy; None without brokers.

    Rendezvous hashing (Thaler, Ravishankar: A Name-Based Mapping Scheme for Rendezvous, 1996): a broker that
    leaves moves only the segments that preferred it.
    """
    return max(instance_ids, key=lambda instance_id: _rendezvous_score(segment.id, instance_id), default=None)


def _rendezvous_score(segment_id: str, instance_id: str) -> bytes:
    return blake2b(f"{segment_id} {instance_id}".encode(), digest_size=8).digest()
