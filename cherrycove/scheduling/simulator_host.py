"""Hosts one decision module for each scheduler on the wire: batches on standard input, replies on output."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from typing import TextIO

from cherrycove.scheduling import simulator_codec as wire
from cherrycove.scheduling.interface import Event, Node
from cherrycove.scheduling.scheduler import Scheduler


class Host:
    """The schedulers of this process. They share nothing but the numbered node lists of the wire."""

    def __init__(self, errors: TextIO) -> None:
        self._errors = errors
        self._schedulers: dict[int, Scheduler] = {}
        self._sheets: dict[int, tuple[Node, ...]] = {}

    def batch(self, lines: list[str]) -> list[str]:
        """The reply lines for one batch, given from its SYNC line up to END."""
        replies: list[str] = []
        pending: dict[int, list[Event]] = {}
        rows = iter(lines)
        first = next(rows, "")
        try:
            now = wire.clock(first)
        except wire.WireError as error:
            self._complain(first, error)
            return replies
        for line in rows:
            try:
                self._read(line, rows, pending, replies)
            except ValueError as error:
                self._complain(line, error)
        for who, events in pending.items():
            scheduler = self._schedulers.get(who)
            if scheduler is None:
                continue
            try:
                replies.extend([wire.action(who, act) for act in scheduler.handle(now, events)])
            except Exception as error:  # whatever the module raises is reported on the wire, never swallowed
                replies.append(wire.fault(who, f"{type(error).__name__}: {error}"))
        return replies

    def _read(
        self, line: str, rows: Iterator[str], pending: dict[int, list[Event]], replies: list[str]
    ) -> None:
        word = line.partition(" ")[0]
        pairs = wire.fields(line)
        if word == "SHEET":
            self._sheet(pairs, rows)
        elif word == "ENLIST":
            who = wire.scheduler_id(pairs)
            pending[who] = []
            self._schedulers.pop(who, None)
            try:
                settings = wire.settings(pairs.get("info", ""))
                self._schedulers[who] = Scheduler(settings, int(pairs.get("entropy", "")))
            except ValueError as error:
                replies.append(wire.fault(who, f"cannot start: {error}"))
                raise
        elif word == "DOWN":
            who = wire.scheduler_id(pairs)
            pending.pop(who, None)
            self._schedulers.pop(who, None)
        elif word in wire.EVENTS:
            pending.setdefault(wire.scheduler_id(pairs), []).append(wire.EVENTS[word](pairs, self._sheets))

    def _sheet(self, pairs: wire.Fields, rows: Iterator[str]) -> None:
        nodes = []
        for _ in range(int(pairs.get("entries", "0"))):
            line = next(rows, "")
            try:
                nodes.append(wire.node(line))
            except ValueError as error:
                self._complain(line, error)
        self._sheets[int(pairs.get("table", ""))] = tuple(nodes)

    def _complain(self, line: str, error: Exception) -> None:
        print(f"finchrack: skipped a line: {error}: {line[:200]!r}", file=self._errors, flush=True)


def run(source: Iterable[str], sink: TextIO, errors: TextIO) -> None:
    """Answer every batch of ``source`` until it ends."""
    host = Host(errors)
    lines: list[str] = []
    for raw in source:
        line = raw.rstrip("\r\n")
        if line != "END":
            if line:
                lines.append(line)
            continue
        sink.write("".join(f"{reply}\n" for reply in host.batch(lines)) + "READY\n")
        sink.flush()
        lines = []


def main() -> None:
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")  # type: ignore[union-attr]
    run(sys.stdin, sys.stdout, sys.stderr)


if __name__ == "__main__":
    main()
