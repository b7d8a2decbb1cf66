"""The decisions of admission stay as recorded, for the same events."""

from __future__ import annotations

import pytest
from admission_transcript import SEEDS, Transcript, recorded_lines


@pytest.mark.parametrize("seed", SEEDS)
def test_the_same_events_lead_to_the_recorded_decisions(seed: int) -> None:
    assert Transcript(seed).play() == recorded_lines(seed)


def test_the_recorded_decisions_are_of_every_kind() -> None:
    lines = [line for seed in SEEDS for line in recorded_lines(seed)]
    for word in ("start", "reject", "cancel", "free"):
        assert sum(line.startswith(word) for line in lines) > 20
