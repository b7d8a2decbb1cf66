"""Latency estimates of a service: time to the first event, prefill speed and slot hold time."""

from __future__ import annotations

from collections import deque

import attrs

from cherrycove.scheduling.state import percentile

INITIAL_FIRST_EVENT_S = 0.05
INITIAL_PREFILL_TOKENS_PER_S = 100_000.0
MIN_PREFILL_TOKENS_PER_S = 10_000.0
MAX_PREFILL_TOKENS_PER_S = 2_000_000.0
MIN_PREFILL_S = 0.001
# Prompts up to SHORT_PROMPT_TOKENS update the usual time to a first event. From LONG_PROMPT_TOKENS on, the
# time beyond the usual counts as prefill.
SHORT_PROMPT_TOKENS = 1_000
LONG_PROMPT_TOKENS = 3_000
SAMPLE_WEIGHT = 0.1  # weight of a new sample in the exponential moving averages
MAX_SAMPLES = 64
SLOW_QUANTILE = 0.95


@attrs.define
class LatencyEstimate:
    """Latency estimates over all brokers of a service; owned by ``AdmissionState``."""

    first_event_s: float = INITIAL_FIRST_EVENT_S
    prefill_tokens_per_s: float = INITIAL_PREFILL_TOKENS_PER_S
    slot_hold_s: float = 0.0  # time for which a request holds its slot; 0 until one has been served
    _recent_s: deque[float] = attrs.field(factory=lambda: deque(maxlen=MAX_SAMPLES))

    def record_first_event(self, latency_s: float, prefill_tokens: int) -> None:
        """Update the estimates from a first event, ``latency_s`` after the start of its attempt.

        ``prefill_tokens`` is the approximate number of prompt tokens that the broker had to process first.
        """
        self._recent_s.append(latency_s)
        if prefill_tokens <= SHORT_PROMPT_TOKENS:
            self.first_event_s += SAMPLE_WEIGHT * (latency_s - self.first_event_s)
        elif prefill_tokens >= LONG_PROMPT_TOKENS:
            rate = prefill_tokens / max(latency_s - self.first_event_s, MIN_PREFILL_S)
            bounded = min(max(rate, MIN_PREFILL_TOKENS_PER_S), MAX_PREFILL_TOKENS_PER_S)
            self.prefill_tokens_per_s += SAMPLE_WEIGHT * (bounded - self.prefill_tokens_per_s)

    def record_slot_hold(self, held_s: float) -> None:
        """Update the slot hold time from a served request that held its slot for ``held_s``."""
        weight = SAMPLE_WEIGHT if self.slot_hold_s else 1.0
        self.slot_hold_s += weight * (held_s - self.slot_hold_s)

    def slow_first_event_s(self) -> float:
        """Return the 95th percentile of the recent times to a first event."""
        return percentile(list(self._recent_s), SLOW_QUANTILE) if self._recent_s else self.first_event_s

    def prefill_s(self, tokens: int) -> float:
        """Return the time in seconds that a broker takes to process this many prompt tokens."""
        return tokens / self.prefill_tokens_per_s
