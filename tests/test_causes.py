"""bench.causes replays a protocol trace as it was recorded and counts the replies that differ."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import pytest

from bench.causes import LossTally, main, replay
from cherrycove.scheduling.simulator_host import SimulatorHost

SECOND = 1_000_000_000


def write_trace(tmp_path: Path) -> Path:
    """Write a trace in the bench's format: six requests of a volume with a low limit, with one node up."""
    info = json.loads((Path(__file__).parent.parent / "examples/config.json").read_text())["settings"]
    info["policies"][0] |= {"ceilingRate": 2.0, "burst": 4.0, "capSlack": 0.0}
    batches = [
        [
            f"SYNC simTimeNs={SECOND}",
            f"ENLIST schedulerId=0 entropy=5 info={json.dumps(info)}",
            "SHEET table=0 entries=1",
            "SERVER weight=1 kind=0 site=0 pod=0 server=a condition=up",
            "MEMBERS schedulerId=0 rev=1 form=restored table=0",
        ]
    ]
    batches.append(
        [f"SYNC simTimeNs={4 * SECOND}"]
        + [
            f"ARRIVAL schedulerId=0 handle={n} class=0 contract=0 blockKey=0 budgetNs={SECOND // 2} disk=v "
            "quotaUnits=2 slotNo=0 hosts=1"
            for n in range(6)
        ]
    )
    host, text = SimulatorHost(sys.stderr), ""
    for batch in batches:
        reply = host.handle_batch(batch)
        lines = [">> process 0, 1 bytes", *batch, "END", "<< process 0, 1 bytes", *reply, "READY\n"]
        text += "\n".join(lines)
    path = tmp_path / "day.tap"
    path.write_text(text)
    return path


def test_refusals_are_counted_by_reason(tmp_path: Path) -> None:
    tally = LossTally(("plan", "code", "limit"))
    replay(write_trace(tmp_path), tally)
    assert tally.differing_replies == 0 and tally.received.requests == 6
    ((row, count),) = tally.losses.items()
    assert row == ("refused", "basic", "over_limit", "beyond") and count.requests == 4
    assert count.worth == pytest.approx(tally.received.worth * 4 / 6)


def test_differing_replies_are_reported(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write_trace(tmp_path)
    path.write_text(path.read_text().replace("REJECT", "END_FAILED", 1))
    monkeypatch.setattr(sys, "argv", ["causes", str(path)])
    assert main() == 1 and "1 replies differ" in capsys.readouterr().out
