"""Estimates of a service's latency, learned from first events: usual time, prefill speed, slot time. Pure."""

from __future__ import annotations

from collections import deque

import attrs

from cherrycove.scheduling.state import percentile

INITIAL_FIRST_EVENT_S = 0.05
INITIAL_SLOT_HOLD_S = 0.5
INITIAL_PREFILL_TOKENS_PER_S = 100_000.0
MIN_PREFILL_TOKENS_PER_S = 10_000.0
MAX_PREFILL_TOKENS_PER_S = 2_000_000.0
MIN_PREFILL_S = 0.001
SHORT_PROMPT_TOKENS = 1_000  # prompts up to this length show the usual time to a first event
LONG_PROMPT_TOKENS = 3_000  # from this length on, what they take beyond it is prefill
SAMPLE_WEIGHT = 0.1  # of a new sample in the exponential moving averages
MAX_SAMPLES = 64
SLOW_QUANTILE = 0.95


@attrs.define
class LatencyEstimate:
    """What all brokers of a service show together; owned by ``AdmissionState``."""

    first_event_s: float = INITIAL_FIRST_EVENT_S
    prefill_tokens_per_s: float = INITIAL_PREFILL_TOKENS_PER_S
    slot_hold_s: float = INITIAL_SLOT_HOLD_S  # time for which a request holds its slot
    _recent_s: deque[float] = attrs.field(factory=lambda: deque(maxlen=MAX_SAMPLES))

    def record_first_event(self, latency_s: float, prefill_tokens: int) -> None:
        """Learn from a first event that came ``latency_s`` after the start of an attempt.

        ``prefill_tokens`` is about how many tokens of the prompt the broker had to process for it.
        """
        self._recent_s.append(latency_s)
        if prefill_tokens <= SHORT_PROMPT_TOKENS:
            self.first_event_s += SAMPLE_WEIGHT * (latency_s - self.first_event_s)
        elif prefill_tokens >= LONG_PROMPT_TOKENS:
            rate = prefill_tokens / max(latency_s - self.first_event_s, MIN_PREFILL_S)
            bounded = min(max(rate, MIN_PREFILL_TOKENS_PER_S), MAX_PREFILL_TOKENS_PER_S)
            self.prefill_tokens_per_s += SAMPLE_WEIGHT * (bounded - self.prefill_tokens_per_s)

    def record_slot_hold(self, held_s: float) -> None:
        """Learn from a served request that held its slot for ``held_s``."""
        self.slot_hold_s += SAMPLE_WEIGHT * (held_s - self.slot_hold_s)

    def slow_first_event_s(self) -> float:
        """The time to a first event that 95 in 100 of the recent ones did not exceed."""
        return percentile(list(self._recent_s), SLOW_QUANTILE) if self._recent_s else self.first_event_s

    def prefill_s(self, tokens: int) -> float:
        """The time that processing so many tokens of a prompt takes."""
        return tokens / self.prefill_tokens_per_s
