"""Which shared parts of prompts a broker is likely to keep, and where a part belongs. Pure."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from hashlib import blake2b

from cherrycove.tier.dataplane.prompt import Prompt, PromptSegment

UNKNOWN_BUDGET_TOKENS = 100_000  # where a service does not tell its brokers' memory


class PrefixCacheEstimate:
    """Parts sent to one broker; those unused longest give way, as they do there."""

    def __init__(self, budget_tokens: int) -> None:
        self._budget = budget_tokens or UNKNOWN_BUDGET_TOKENS
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def add(self, prompt: Prompt) -> None:
        """A request with this prompt runs there."""
        for part in prompt.segments:
            self._tokens += part.tokens - self._parts.pop(part.id, 0)
            self._parts[part.id] = part.tokens
        while self._tokens > self._budget and self._parts:
            self._tokens -= self._parts.popitem(last=False)[1]

    def cached_tokens(self, prompt: Prompt) -> int:
        """Tokens of ``prompt`` that need not be read again: a part counts if all before it are kept."""
        tokens = 0
        for part in prompt.segments:
            if part.id not in self._parts:
                break
            tokens += part.tokens
        return tokens


def affinity_segment(prompt: Prompt) -> PromptSegment | None:
    """The part by which all proxies agree on a broker: the largest shared one."""
    return max(prompt.shared_segments, key=lambda part: part.tokens, default=None)


def preferred_broker(part: PromptSegment, instance_ids: Iterable[str]) -> str | None:
    """The broker at which ``part`` belongs (rendezvous hashing); the same at every proxy."""
    return max(instance_ids, key=lambda name: _weight(part.id, name), default=None)


def _weight(part_id: str, instance_id: str) -> bytes:
    return blake2b(f"{part_id} {instance_id}".encode(), digest_size=8).digest()
