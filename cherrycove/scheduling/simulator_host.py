"""Runs schedulers for the simulator: batches of lines on standard input, replies on standard output.

A batch begins with a line that holds the time and ends with ``END``; its replies end with ``READY``. A line
that cannot be parsed is reported on standard error and skipped.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from typing import TextIO

from cherrycove.scheduling import simulator_codec as wire
from cherrycove.scheduling.interface import Event, Node
from cherrycove.scheduling.scheduler import Scheduler

_MAX_QUOTED_CHARACTERS = 200  # of a line in an error report


class SimulatorHost:
    """The schedulers of this process, which share only the numbered node lists of the wire protocol.

    Owned by ``run``. An exception in a scheduler is reported to the simulator; the scheduler stays in use.
    """

    def __init__(self, errors: TextIO) -> None:
        self._errors = errors
        self._schedulers: dict[int, Scheduler] = {}
        self._node_lists: dict[int, tuple[Node, ...]] = {}

    def handle_batch(self, lines: list[str]) -> list[str]:
        """Return the reply lines for one batch, whose lines start with the time and exclude ``END``."""
        replies: list[str] = []
        pending: dict[int, list[Event]] = {}
        rest = iter(lines)
        first = next(rest, "")
        try:
            now = wire.parse_time(first)
        except wire.WireError as error:
            self._report_line(first, error)
            return replies
        for line in rest:
            try:
                self._read(line, rest, pending, replies)
            except ValueError as error:
                self._report_line(line, error)
        for scheduler_id, events in pending.items():
            replies += self._handle_events(scheduler_id, now, events)
        return replies

    def _handle_events(self, scheduler_id: int, now: float, events: list[Event]) -> list[str]:
        scheduler = self._schedulers.get(scheduler_id)
        if scheduler is None:
            return []
        try:
            return [wire.format_action(scheduler_id, action) for action in scheduler.handle(now, events)]
        except Exception as error:  # noqa: BLE001  # any exception is reported to the simulator
            return [wire.format_fault(scheduler_id, f"{type(error).__name__}: {error}")]

    def _read(
        self, line: str, rest: Iterator[str], pending: dict[int, list[Event]], replies: list[str]
    ) -> None:
        """Process one line; a node list also consumes its entries from the rest of the batch."""
        word = line.partition(" ")[0]
        fields = wire.parse_fields(line)
        if word == "SHEET":
            self._read_node_list(fields, rest)
        elif word == "ENLIST":
            self._enlist(fields, pending, replies)
        elif word == "DOWN":
            scheduler_id = wire.scheduler_id(fields)
            pending.pop(scheduler_id, None)
            self._schedulers.pop(scheduler_id, None)
        elif word in wire.EVENT_WORDS:
            events = pending.setdefault(wire.scheduler_id(fields), [])
            events.append(wire.parse_event(word, fields, self._node_lists))

    def _enlist(self, fields: wire.Fields, pending: dict[int, list[Event]], replies: list[str]) -> None:
        """Start a scheduler; it replaces one with the same id, whose pending events are dropped."""
        scheduler_id = wire.scheduler_id(fields)
        pending[scheduler_id] = []
        self._schedulers.pop(scheduler_id, None)
        try:
            settings = wire.parse_settings(fields.get("info", ""))
            self._schedulers[scheduler_id] = Scheduler(settings, int(fields.get("entropy", "")))
        except ValueError as error:
            replies.append(wire.format_fault(scheduler_id, f"cannot start: {error}"))
            raise

    def _read_node_list(self, fields: wire.Fields, rest: Iterator[str]) -> None:
        nodes = []
        for _ in range(int(fields.get("entries", "0"))):
            line = next(rest, "")
            try:
                nodes.append(wire.parse_node(line))
            except ValueError as error:
                self._report_line(line, error)
        self._node_lists[int(fields.get("table", ""))] = tuple(nodes)

    def _report_line(self, line: str, error: Exception) -> None:
        quoted = repr(line[:_MAX_QUOTED_CHARACTERS])
        print(f"finchrack: skipped a line: {error}: {quoted}", file=self._errors, flush=True)


def run(source: Iterable[str], sink: TextIO, errors: TextIO) -> None:
    """Process the batches of ``source`` until it ends."""
    host = SimulatorHost(errors)
    lines: list[str] = []
    for raw in source:
        line = raw.rstrip("\r\n")
        if line != "END":
            if line:
                lines.append(line)
            continue
        sink.write("".join(f"{reply}\n" for reply in host.handle_batch(lines)) + "READY\n")
        sink.flush()
        lines = []


def main() -> None:
    """Process batches from standard input until it ends."""
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")  # type: ignore[union-attr]
    run(sys.stdin, sys.stdout, sys.stderr)


if __name__ == "__main__":
    main()
