"""What the record costs a broker: CPU a request with it off and on, in pairs within one process.

    python -m bench.serve_cost [--pairs N] [--requests N]

One process holds a node, a broker and a client on loopback; only the broker's part differs between the two, and what
both share makes a difference look smaller than it is. So the figure that counts is the difference in microseconds of
CPU, against a broker's own CPU a request, which a second process would show and the table names as measured by
``--own`` microseconds (the bench of the operators shows CPU seconds and requests).
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import statistics
import time
from pathlib import Path

from cherrycove import config
from cherrycove.core import Attempt, Core, Ending, Member, NodeList, Reply, Request
from cherrycove.why.book import Book


class Back:
    """Serves, or does not, at once."""

    async def attempt(self, attempt: Attempt) -> Reply:
        attempt.wrote()
        return Reply(Ending.SERVED, b"data")


async def batch(core: Core, requests: int, number: int) -> None:
    loop, back = asyncio.get_running_loop(), Back()
    cls = number % len(core.settings.classes)
    for first in range(0, requests, 20):
        await asyncio.gather(*(core.serve(
            Request(cls, 0, f"{first % 7:016x}", 1.0, 0, 1, loop.time() + 0.5, f"{each:016x}",
                    id=f"{number:08x}{each:08x}"), back) for each in range(first, first + 20)))


async def measure(pairs: int, requests: int, bound: int) -> list[tuple[float, float]]:
    """CPU seconds a request with the record off and on, pair by pair, in turns."""
    whole = json.loads((Path(__file__).parent.parent / "examples/config.json").read_text())
    settings = config.read_platform(whole, {}).settings
    found: list[tuple[float, float]] = []
    cores = []
    for on in (False, True):
        core = Core(settings, 1)
        core.update(NodeList(1, True, (Member("d0", "here", 0),)))
        core.recorder = Book(settings, bound, 0.0) if on else None
        cores.append(core)
        await batch(core, requests, 0)
    for pair in range(pairs):
        costs = [0.0, 0.0]
        for place in ((0, 1) if pair % 2 else (1, 0)):
            gc.collect()
            began = time.process_time()
            await batch(cores[place], requests, pair + 1)
            costs[place] = (time.process_time() - began) / requests
        found.append((costs[0], costs[1]))
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--pairs", type=int, default=21)
    parser.add_argument("--requests", type=int, default=400)
    parser.add_argument("--bound", type=int, default=2 << 20)
    parser.add_argument("--own", type=float, default=0.0, help="CPU of a broker a request, in us, as measured")
    given = parser.parse_args()
    found = asyncio.run(measure(given.pairs, given.requests, given.bound))
    off, on = (statistics.median(pair[place] for pair in found) * 1e6 for place in (0, 1))
    difference = statistics.median(pair[1] - pair[0] for pair in found) * 1e6
    print(f"| core alone, record off | {off:.1f} us of CPU a request |")
    print(f"| core alone, record on, {given.bound >> 10} KiB | {on:.1f} us |")
    print(f"| difference, median of {given.pairs} pairs | {difference:.1f} us |")
    if given.own:
        print(f"| against a broker's {given.own:.0f} us | {100 * difference / given.own:.1f}% |")


if __name__ == "__main__":
    main()
