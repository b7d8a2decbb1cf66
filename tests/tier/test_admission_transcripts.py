"""Tests that admission still makes the recorded decisions for the recorded seeds of events."""

from __future__ import annotations

import pytest
from admission_transcript import SEEDS, Transcript, recorded_lines


@pytest.mark.parametrize("seed", SEEDS)
def test_decisions_are_as_recorded(seed: int) -> None:
    assert Transcript(seed).run() == recorded_lines(seed)


def test_recorded_decisions_include_every_kind() -> None:
    lines = [line for seed in SEEDS for line in recorded_lines(seed)]
    for word in ("start", "reject", "cancel", "free"):
        assert sum(line.startswith(word) for line in lines) > 20
