"""Simulates fault scenarios on a modelled fleet and prints what was served or refused, with the reasons.

python -m bench.fleet                                 # every scenario, 60 hosts, seeds 1 to 3
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
    """Replace half of the nodes in steps and kill 70% of the hosts; one node in eight returns errors."""
    for place, shard in enumerate(range(0, len(fleet.nodes), 2)):
        fleet.clock.at(9.0 + 9.0 * place / (len(fleet.nodes) / 2), fleet.replace, shard)
    for host in fleet.host_list:
        if host.number % 10 < 7:
            fleet.clock.at(12.0, host.kill)
    for node in fleet.nodes[1::8]:
        node.errors = 0.7


def join(fleet: Fleet) -> None:
    """Replace 60% of the nodes within 7 s."""
    for place, shard in enumerate(shard for shard in range(len(fleet.nodes)) if shard % 10 < 6):
        fleet.clock.at(5.0 + 7.0 * place / (0.6 * len(fleet.nodes)), fleet.replace, shard)


def split(fleet: Fleet) -> None:
    """Partition the zones from each other for 6 s."""
    fleet.clock.at(8.0, setattr, fleet, "silent_zone", 1)
    fleet.clock.at(14.0, setattr, fleet, "silent_zone", None)


def zone(fleet: Fleet) -> None:
    """Replace one zone's nodes by cold ones after 5 s of outage; slow down one shard in eight elsewhere."""

    def stop(node: Node) -> None:
        node.up = False

    for node in fleet.nodes:
        if node.zone == 1:
            fleet.clock.at(8.0, stop, node)
            fleet.clock.at(13.0, fleet.replace, node.shard)
        elif node.shard % 8 == 0:
            node.speed *= 0.3


SCENARIOS = {scenario.__name__: scenario for scenario in (calm, herd, join, split, zone)}


def simulate(scenario: str, seed: int, hosts: int, load: float, stretch: float) -> dict[str, object]:
    result: dict[str, object] = {"day": scenario, "hosts": hosts}
    for name, fleet_type in (("module", Fleet), ("oracle", Dispatcher)):
        fleet = fleet_type(seed, hosts, hosts, load, stretch, SECONDS)
        SCENARIOS[scenario](fleet)
        began = time.process_time()
        fleet.clock.run(SECONDS + 30.0)
        result[name] = fleet.service_ratio()
        result[name + " crashed"] = fleet.crashed_nodes
        if fleet_type is Fleet:
            result |= {
                "requests": len(fleet.requests),
                "attempts": fleet.attempts / len(fleet.requests),
                "handshakes": fleet.handshakes / len(fleet.requests),
                "messages": fleet.messages / len(fleet.requests),
                "reasons": fleet.reasons,
                "refusals": fleet.refusals,
                "cpu": (time.process_time() - began) / len(fleet.requests) * 1e6,
                "ends": Counter(client_request.outcome for client_request in fleet.requests),
            }
    return result


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--day", choices=sorted(SCENARIOS), action="append")
    parser.add_argument("--hosts", default="60")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--stretch", type=float, default=8.5)
    parser.add_argument("--reasons", action="store_true")
    parser.add_argument("--plot", type=Path)
    options = parser.parse_args()
    scenarios, sizes = options.day or list(SCENARIOS), [int(size) for size in options.hosts.split(",")]
    rows: dict[tuple[str, int], list[dict[str, object]]] = {}
    with ProcessPoolExecutor() as pool:
        runs = [
            pool.submit(simulate, scenario, seed, size, options.load, options.stretch)
            for scenario in scenarios
            for size in sizes
            for seed in range(1, options.seeds + 1)
        ]
        for run in runs:
            result = run.result()
            rows.setdefault((str(result["day"]), int(str(result["hosts"]))), []).append(result)
    print("day    hosts  module (each seed)  oracle      crashed  att/req  handsh/req  msg/req  us/req")
    for (scenario, size), each in rows.items():

        def mean(key: str, each: list[dict[str, object]] = each) -> float:
            return statistics.mean(float(str(one[key])) for one in each)

        seeds = " ".join(f"{float(str(one['module'])):.3f}" for one in each)
        print(
            f"{scenario:6s} {size:5d}  {mean('module'):.3f} ({seeds})  {mean('oracle'):.3f}  "
            f"{mean('module crashed'):.1f}  {mean('attempts'):.2f}  {mean('handshakes'):.2f}  "
            f"{mean('messages'):.2f}  "
            f"{mean('cpu'):.0f}"
        )
        if options.reasons:
            total: Counter[tuple[str, str]] = Counter()
            for one in each:
                total.update(one["reasons"])  # type: ignore[call-overload]
            requests = sum(int(str(one["requests"])) for one in each)
            print(
                "       "
                + ", ".join(
                    f"{how} {code.lower()} {count / requests:.3f}"
                    for (how, code), count in total.most_common(12)
                )
            )
            refusals: Counter[tuple[str, str, str]] = Counter()
            for one in each:
                refusals.update(one["refusals"])  # type: ignore[call-overload]
            print(
                "       "
                + ", ".join(
                    f"{' '.join(key).lower()} {count / requests:.3f}"
                    for key, count in refusals.most_common(12)
                )
            )
    if options.plot:
        plot_results(rows, options.plot)


def plot_results(rows: dict[tuple[str, int], list[dict[str, object]]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for scenario in sorted({scenario for scenario, _ in rows}):
        sizes = sorted(size for other, size in rows if other == scenario)
        for name, form in (("module", "-o"), ("oracle", ":x")):
            served = [
                statistics.mean(float(str(one[name])) for one in rows[scenario, size]) for size in sizes
            ]
            axes.plot(sizes, served, form, label=f"{scenario}, {name}")
    axes.set_xscale("log")
    axes.set_xlabel("hosts, as many nodes")
    axes.set_ylabel("worth served of that requested")
    axes.legend(fontsize=6)
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=120)


if __name__ == "__main__":
    main()
