"""Plays days of a modelled fleet and prints what was served, refused and why.

python -m bench.fleet                                 # every day, 60 hosts, seeds 1 to 3
python -m bench.fleet --day herd --hosts 200 --seeds 5
python -m bench.fleet --hosts 3,20,60,200 --plot found/fleet.png
"""

from __future__ import annotations

import argparse
import statistics
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from bench.fleet.hosts import Dispatcher, Fleet
from bench.fleet.world import Node

SECONDS = 25.0


def calm(fleet: Fleet) -> None:
    pass


def herd(fleet: Fleet) -> None:
    """A release of the nodes in steps; seven in ten hosts are killed at once; one node of eight errs."""
    for place, shard in enumerate(range(0, len(fleet.nodes), 2)):
        fleet.clock.at(9.0 + 9.0 * place / (len(fleet.nodes) / 2), fleet.replace, shard)
    for host in fleet.fronts:
        if host.number % 10 < 7:
            fleet.clock.at(12.0, host.kill)
    for node in fleet.nodes[1::8]:
        node.errors = 0.7


def join(fleet: Fleet) -> None:
    """Six in ten nodes are replaced within 7 s."""
    for place, shard in enumerate(shard for shard in range(len(fleet.nodes)) if shard % 10 < 6):
        fleet.clock.at(5.0 + 7.0 * place / (0.6 * len(fleet.nodes)), fleet.replace, shard)


def split(fleet: Fleet) -> None:
    """For 6 s the zones do not hear each other."""
    fleet.clock.at(8.0, setattr, fleet, "silent_zone", 1)
    fleet.clock.at(14.0, setattr, fleet, "silent_zone", None)


def zone(fleet: Fleet) -> None:
    """A zone's nodes are lost for 5 s and come back cold; one of eight others is slow."""

    def lose(node: Node) -> None:
        node.up = False

    for node in fleet.nodes:
        if node.zone == 1:
            fleet.clock.at(8.0, lose, node)
            fleet.clock.at(13.0, fleet.replace, node.shard)
        elif node.shard % 8 == 0:
            node.speed *= 0.3


DAYS = {day.__name__: day for day in (calm, herd, join, split, zone)}


def play(day: str, seed: int, hosts: int, load: float, stretch: float) -> dict[str, object]:
    found: dict[str, object] = {"day": day, "hosts": hosts}
    for name, kind in (("module", Fleet), ("all-seeing", Dispatcher)):
        fleet = kind(seed, hosts, hosts, load, stretch, SECONDS)
        DAYS[day](fleet)
        began = time.process_time()
        fleet.clock.run(SECONDS + 30.0)
        found[name] = fleet.service()
        found[name + " fallen"] = fleet.fallen
        if kind is Fleet:
            found |= {
                "asks": len(fleet.asks),
                "attempts": fleet.attempts / len(fleet.asks),
                "handshakes": fleet.handshakes / len(fleet.asks),
                "messages": fleet.messages / len(fleet.asks),
                "reasons": fleet.reasons,
                "judged": fleet.judged,
                "cpu": (time.process_time() - began) / len(fleet.asks) * 1e6,
                "ends": Counter(ask.ended for ask in fleet.asks),
            }
    return found


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--day", choices=sorted(DAYS), action="append")
    parser.add_argument("--hosts", default="60")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--stretch", type=float, default=8.5)
    parser.add_argument("--reasons", action="store_true")
    parser.add_argument("--plot", type=Path)
    asked = parser.parse_args()
    days, sizes = asked.day or list(DAYS), [int(size) for size in asked.hosts.split(",")]
    rows: dict[tuple[str, int], list[dict[str, object]]] = {}
    with ProcessPoolExecutor() as pool:
        runs = [
            pool.submit(play, day, seed, size, asked.load, asked.stretch)
            for day in days
            for size in sizes
            for seed in range(1, asked.seeds + 1)
        ]
        for run in runs:
            found = run.result()
            rows.setdefault((str(found["day"]), int(str(found["hosts"]))), []).append(found)
    print("day    hosts  module (each seed)  all-seeing  fallen  att/ask  handsh/ask  msg/ask  us/ask")
    for (day, size), each in rows.items():

        def mean(key: str, each: list[dict[str, object]] = each) -> float:
            return statistics.mean(float(str(one[key])) for one in each)

        seeds = " ".join(f"{float(str(one['module'])):.3f}" for one in each)
        print(
            f"{day:6s} {size:5d}  {mean('module'):.3f} ({seeds})  {mean('all-seeing'):.3f}  "
            f"{mean('module fallen'):.1f}  {mean('attempts'):.2f}  {mean('handshakes'):.2f}  "
            f"{mean('messages'):.2f}  "
            f"{mean('cpu'):.0f}"
        )
        if asked.reasons:
            total: Counter[tuple[str, str]] = Counter()
            for one in each:
                total.update(one["reasons"])  # type: ignore[call-overload]
            asks = sum(int(str(one["asks"])) for one in each)
            print(
                "       "
                + ", ".join(
                    f"{how} {code.lower()} {count / asks:.3f}" for (how, code), count in total.most_common(12)
                )
            )
            judged: Counter[tuple[str, str, str]] = Counter()
            for one in each:
                judged.update(one["judged"])  # type: ignore[call-overload]
            print(
                "       "
                + ", ".join(
                    f"{' '.join(key).lower()} {count / asks:.3f}" for key, count in judged.most_common(12)
                )
            )
    if asked.plot:
        draw(rows, asked.plot)


def draw(rows: dict[tuple[str, int], list[dict[str, object]]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for day in sorted({day for day, _ in rows}):
        sizes = sorted(size for other, size in rows if other == day)
        for name, form in (("module", "-o"), ("all-seeing", ":x")):
            served = [statistics.mean(float(str(one[name])) for one in rows[day, size]) for size in sizes]
            axes.plot(sizes, served, form, label=f"{day}, {name}")
    axes.set_xscale("log")
    axes.set_xlabel("hosts, as many nodes")
    axes.set_ylabel("worth served of that asked for")
    axes.legend(fontsize=6)
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=120)


if __name__ == "__main__":
    main()
