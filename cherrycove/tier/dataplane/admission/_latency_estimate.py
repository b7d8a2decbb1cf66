"""How long answers take, learned from first events: the usual time, and the reading of prompts. Pure."""

from __future__ import annotations

from collections import deque

import attrs

from cherrycove.scheduling.state import percentile

INITIAL_FIRST_EVENT_S = 0.05  # to a first event until something is known
INITIAL_SLOT_HOLD_S = 0.5  # that a request has a broker's place, until something is known
INITIAL_PREFILL_TOKENS_PER_S = 100_000.0  # prompt tokens read until something is known
MIN_PREFILL_TOKENS_PER_S = 10_000.0
MAX_PREFILL_TOKENS_PER_S = 2_000_000.0
SHORT_TOKENS = 1_000  # prompts up to this show the usual time, longer ones by more than
LONG_TOKENS = 3_000  # this show the reading
GAIN = 0.1  # weight of a new sample
KEPT_SAMPLES = 64
SLOW_PART = 0.95


@attrs.define
class LatencyEstimate:
    """What all brokers of a service are like together."""

    first_event_s: float = INITIAL_FIRST_EVENT_S
    prefill_tokens_per_s: float = INITIAL_PREFILL_TOKENS_PER_S
    slot_hold_s: float = INITIAL_SLOT_HOLD_S
    _recent: deque[float] = attrs.field(factory=lambda: deque(maxlen=KEPT_SAMPLES))

    def record_first_event(self, latency_s: float, read_tokens: int) -> None:
        """A first event came ``latency_s`` after the send; about ``read_tokens`` had to be read for it."""
        self._recent.append(latency_s)
        if read_tokens <= SHORT_TOKENS:
            self.first_event_s += GAIN * (latency_s - self.first_event_s)
        elif read_tokens >= LONG_TOKENS:
            rate = read_tokens / max(latency_s - self.first_event_s, 0.001)
            bounded = min(max(rate, MIN_PREFILL_TOKENS_PER_S), MAX_PREFILL_TOKENS_PER_S)
            self.prefill_tokens_per_s += GAIN * (bounded - self.prefill_tokens_per_s)

    def record_slot_hold(self, seconds: float) -> None:
        """A request had a broker's place for so long."""
        self.slot_hold_s += GAIN * (seconds - self.slot_hold_s)

    def slow_first_event_s(self) -> float:
        """A time to a first event that few exceed."""
        return percentile(list(self._recent), SLOW_PART) if self._recent else self.first_event_s

    def prefill_s(self, tokens: int) -> float:
        return tokens / self.prefill_tokens_per_s
