"""How long answers take, learned from first events: the usual time, and the reading of prompts. Pure."""

from __future__ import annotations

from collections import deque

import attrs

from finchrack.state import percentile

USUAL_S = 0.05  # to a first event until something is known
HOLD_S = 0.5  # that a request has a broker's place, until something is known
TOKENS_PER_S = 100_000.0  # prompt tokens read until something is known
SLOWEST_TOKENS_PER_S = 10_000.0
FASTEST_TOKENS_PER_S = 2_000_000.0
SHORT_TOKENS = 1_000  # prompts up to this show the usual time, longer ones by more than
LONG_TOKENS = 3_000  # this show the reading
GAIN = 0.1  # weight of a new sample
KEPT_SAMPLES = 64
SLOW_PART = 0.95


@attrs.define
class Pace:
    """What all brokers of a service are like together."""

    usual_s: float = USUAL_S
    tokens_per_s: float = TOKENS_PER_S
    hold_s: float = HOLD_S
    _recent: deque[float] = attrs.field(factory=lambda: deque(maxlen=KEPT_SAMPLES))

    def first_event(self, latency_s: float, read_tokens: int) -> None:
        """A first event came ``latency_s`` after the send; about ``read_tokens`` had to be read for it."""
        self._recent.append(latency_s)
        if read_tokens <= SHORT_TOKENS:
            self.usual_s += GAIN * (latency_s - self.usual_s)
        elif read_tokens >= LONG_TOKENS:
            rate = read_tokens / max(latency_s - self.usual_s, 0.001)
            bounded = min(max(rate, SLOWEST_TOKENS_PER_S), FASTEST_TOKENS_PER_S)
            self.tokens_per_s += GAIN * (bounded - self.tokens_per_s)

    def held(self, seconds: float) -> None:
        """A request had a broker's place for so long."""
        self.hold_s += GAIN * (seconds - self.hold_s)

    def slow_s(self) -> float:
        """A time to a first event that few exceed."""
        return percentile(list(self._recent), SLOW_PART) if self._recent else self.usual_s

    def read_s(self, tokens: int) -> float:
        return tokens / self.tokens_per_s
