"""Plays a fault on many real brokers and prints what clients and nodes saw of it.

    python -m bench.many --day herd --brokers 20 --seed 3
    python -m bench.many --day stall --brokers 40 --json found/stall.json --plot found/stall.png

It wants the cores to itself; a run that found itself late says so (``late_ms``).
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
from collections import Counter
from pathlib import Path
from typing import Any

from bench.many.rig import Rig

BEFORE, AFTER, STEP = 6.0, 16.0, 0.5  # s before and behind the fault, and of a window of service
SPAN = 2.0  # s over which the service counts as back
WARM = 2.0  # s at the start that do not count
SICK = 3.0  # s before the fault at which nodes fall sick on days with such
BACK = 0.95  # of the service before, from which on it counts as back


async def _herd(rig: Rig) -> None:
    await rig.herd(0.7, 0.3)


async def _all(rig: Rig) -> None:
    await rig.herd(1.0, 0.3)


async def _stall(rig: Rig) -> None:
    rig.stall(0.5, going=False)
    await asyncio.sleep(3.0)
    rig.stall(0.5, going=True)


async def _join(rig: Rig) -> None:
    names = list(rig.disks)[: round(0.6 * len(rig.disks))]
    await asyncio.gather(*(rig.replace(name, 0.3) for name in names))


async def _refused(rig: Rig) -> None:
    """As herd, with a discovery that refuses every call meanwhile."""
    rig.discovery.most = 0
    await rig.herd(0.7, 0.3)
    rig.discovery.most = float("inf")


DAYS = {
    "herd": _herd,
    "all": _all,
    "stall": _stall,
    "join": _join,
    "refused": _refused,
    "sick": _herd,
}  # sick: one node in eight is ten times slower from 3 s before


MEMORY = {"off": (False,), "on": (True,), "both": (False, True)}


def peaks(times: list[float], begin: float, fault: float, end: float) -> tuple[float, int]:
    """Events in a second: the mean before the fault, and the most from it on."""
    before = sum(begin <= at < fault for at in times) / (fault - begin)
    after = Counter(int((at - fault) / 1.0) for at in times if fault <= at < end)
    return before, max(after.values(), default=0)


async def play(
    day: str, brokers: int, nodes: int, seed: int, load: float, stretch: float, memory: bool = False
) -> dict[str, Any]:
    loop = asyncio.get_running_loop()
    async with Rig(brokers, nodes, seed, load, stretch, memory=memory) as rig:
        late = 0.0

        async def watch() -> None:
            nonlocal late
            while True:
                due = loop.time() + 0.02
                await asyncio.sleep(0.02)
                late = max(late, loop.time() - due)

        watching = asyncio.create_task(watch())
        start = loop.time()
        running = asyncio.create_task(rig.clients.run(WARM + BEFORE + AFTER))
        await asyncio.sleep(WARM + BEFORE - SICK)
        sick = rig.sicken(0.125, 10.0) if day == "sick" else []
        await asyncio.sleep(SICK)
        fault = loop.time()
        await DAYS[day](rig)
        over = loop.time()
        await running
        watching.cancel()
        begin, end = start + WARM, start + WARM + BEFORE + AFTER
        before = rig.clients.service(begin, fault)
        windows = [
            (at, rig.clients.service(at, at + STEP))
            for at in (fault + STEP * n for n in range(int((end - fault) / STEP)))
        ]
        # Guard: half a second holds too few requests; one window below the mark tells nothing.
        back = next(
            (
                at
                for at, _ in windows
                if at + SPAN <= end and rig.clients.service(at, at + SPAN) >= BACK * before
            ),
            None,
        )
        sent_to = [each for disk in rig.disks.values() for each in disk.book]
        sent = [each.at for disk in rig.disks.values() for each in disk.book]
        shook = [at for broker in rig.brokers for link in broker.nodes.values() for at in link.at]
        ran = Counter(each.id for disk in rig.disks.values() for each in disk.book if each.ran and each.write)
        return {
            "day": day,
            "brokers": brokers,
            "nodes": nodes,
            "seed": seed,
            "load": load,
            "stretch": stretch,
            "memory": memory,
            "asked": len(rig.clients.book),
            "before": round(before, 4),
            "fault_s": round(over - fault, 3),
            "ready_s": round(max(0.0, *(broker.ready_at[-1] - fault for broker in rig.brokers)), 3),
            "back_s": None if back is None else round(back - fault, 3),
            "refused": [
                round(rig.clients.refused(*span), 4) for span in ((begin, fault), (over + 3.0, over + 6.0))
            ],
            "service": [round(service, 3) for _, service in windows],
            "handshakes": peaks(shook, begin, fault, end),
            "attempts": peaks(sent, begin, fault, end),
            "calls": peaks([at for at, _, _ in rig.discovery.calls], begin, fault, end),
            "sick": [
                sum(each.node in sick for each in sent_to if first <= each.at - fault < first + 1.0)
                for first in range(-3, 6)
            ]
            if sick
            else [],
            "soon_s": round(rig.clients.service(over, over + 3.0), 4),  # service in the 3 s behind the fault
            "last_s": round(rig.clients.service(end - 3.0, end), 4),  # service in the last 3 s
            "statuses": {str(status): count for status, count in rig.clients.statuses.items()},
            "writes_twice": sum(count > 1 for count in ran.values()),
            "late_ms": round(late * 1000, 1),
        }


def draw(found: list[dict[str, Any]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for each in found:
        axes.plot(
            [STEP * n for n in range(len(each["service"]))],
            each["service"],
            label=f"{each['day']}, {each['brokers']} brokers, seed {each['seed']}",
        )
    axes.set_xlabel("s from the fault")
    axes.set_ylabel("served within the aim")
    axes.legend(fontsize=6)
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=120)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--day", choices=sorted(DAYS), action="append")
    parser.add_argument("--brokers", type=int, default=20)
    parser.add_argument("--nodes", type=int, default=12)
    parser.add_argument("--load", type=float, default=1.0, help="of what the volumes are sized for, or more")
    parser.add_argument(
        "--stretch",
        type=float,
        default=1.0,
        help="of work, aims and rates; the platform's larger fleets have some 8",
    )
    parser.add_argument("--seed", type=int, action="append")
    parser.add_argument(
        "--memory",
        choices=("off", "on", "both"),
        default="off",
        help="whether brokers keep what they learned; both: each seed without it, then with",
    )
    parser.add_argument("--json", type=Path)
    parser.add_argument("--plot", type=Path)
    asked = parser.parse_args()
    found = []
    for day in asked.day or sorted(DAYS):
        for seed, memory in itertools.product(asked.seed or [1], MEMORY[asked.memory]):
            each = asyncio.run(play(day, asked.brokers, asked.nodes, seed, asked.load, asked.stretch, memory))
            found.append(each)
            print(
                f"{day:8s} seed {seed}{' with memory' * memory}: {each['before']:.3f} before, "
                f"fault {each['fault_s']:.1f} s, "
                f"last ready {each['ready_s']:.1f} s, back {each['back_s']} s; "
                f"refused {each['refused'][0]:.2f}, {each['refused'][1]:.2f}; "
                f"writes twice {each['writes_twice']}; late {each['late_ms']} ms; a second, before and "
                "at most after: "
                + ", ".join(
                    f"{name} {each[name][0]:.1f} {each[name][1]}"
                    for name in ("handshakes", "attempts", "calls")
                )
            )
            print("         " + " ".join(f"{service:.2f}" for service in each["service"]))
    if asked.json:
        asked.json.parent.mkdir(parents=True, exist_ok=True)
        asked.json.write_text(json.dumps(found, indent=1) + "\n")
    if asked.plot:
        draw(found, asked.plot)


if __name__ == "__main__":
    main()
