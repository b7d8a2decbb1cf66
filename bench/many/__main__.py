"""Injects a fault into a cluster of real brokers and prints what clients and nodes saw of it.

    python -m bench.many --day herd --brokers 20 --seed 3
    python -m bench.many --day stall --brokers 40 --json found/stall.json --plot found/stall.png

Run it on an otherwise idle machine; ``late_ms`` reports by how much the run's own timers were late at most.
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

BEFORE, AFTER, WINDOW = 6.0, 16.0, 0.5  # s measured before and after the fault; s per service window
RECOVERY_SPAN = 2.0  # s over which the service must have recovered
WARM_UP = 2.0  # s at the start that are not measured
SLOW_NODE_LEAD = 3.0  # s before the fault at which nodes become slow in the scenario "sick"
RECOVERED_FRACTION = 0.95  # of the service before the fault, which counts as recovered


async def _restart_most(rig: Rig) -> None:
    await rig.kill_and_restart(0.7, 0.3)


async def _restart_all(rig: Rig) -> None:
    await rig.kill_and_restart(1.0, 0.3)


async def _stall_half(rig: Rig) -> None:
    rig.stall(0.5, resume=False)
    await asyncio.sleep(3.0)
    rig.stall(0.5, resume=True)


async def _replace_nodes(rig: Rig) -> None:
    names = list(rig.disks)[: round(0.6 * len(rig.disks))]
    await asyncio.gather(*(rig.replace(name, 0.3) for name in names))


async def _restart_without_discovery(rig: Rig) -> None:
    """Restart brokers as in the scenario "herd", while discovery refuses every call."""
    rig.discovery.max_calls_per_second = 0
    await rig.kill_and_restart(0.7, 0.3)
    rig.discovery.max_calls_per_second = float("inf")


SCENARIOS = {
    "herd": _restart_most,
    "all": _restart_all,
    "stall": _stall_half,
    "join": _replace_nodes,
    "refused": _restart_without_discovery,
    "sick": _restart_most,
}  # sick: one node in eight is ten times slower from 3 s before the fault on


MEMORY_MODES = {"off": (False,), "on": (True,), "both": (False, True)}


def mean_and_peak(times: list[float], begin: float, fault: float, end: float) -> tuple[float, int]:
    """Return events per second: the mean before the fault and the maximum after it."""
    before = sum(begin <= at < fault for at in times) / (fault - begin)
    after = Counter(int((at - fault) / 1.0) for at in times if fault <= at < end)
    return before, max(after.values(), default=0)


async def run_scenario(
    scenario: str, brokers: int, nodes: int, seed: int, load: float, stretch: float, memory: bool = False
) -> dict[str, Any]:
    loop = asyncio.get_running_loop()
    async with Rig(brokers, nodes, seed, load, stretch, memory=memory) as rig:
        late = 0.0

        async def measure_lateness() -> None:
            nonlocal late
            while True:
                due = loop.time() + 0.02
                await asyncio.sleep(0.02)
                late = max(late, loop.time() - due)

        lateness_task = asyncio.create_task(measure_lateness())
        start = loop.time()
        running = asyncio.create_task(rig.clients.run(WARM_UP + BEFORE + AFTER))
        await asyncio.sleep(WARM_UP + BEFORE - SLOW_NODE_LEAD)
        slow_nodes = rig.slow_down(0.125, 10.0) if scenario == "sick" else []
        await asyncio.sleep(SLOW_NODE_LEAD)
        fault = loop.time()
        await SCENARIOS[scenario](rig)
        fault_end = loop.time()
        await running
        lateness_task.cancel()
        begin, end = start + WARM_UP, start + WARM_UP + BEFORE + AFTER
        before = rig.clients.served_fraction(begin, fault)
        windows = [
            (at, rig.clients.served_fraction(at, at + WINDOW))
            for at in (fault + WINDOW * n for n in range(int((end - fault) / WINDOW)))
        ]
        # Recovery is judged over RECOVERY_SPAN, as one window of 0.5 s holds too few requests.
        recovered_at = next(
            (
                at
                for at, _ in windows
                if at + RECOVERY_SPAN <= end
                and rig.clients.served_fraction(at, at + RECOVERY_SPAN) >= RECOVERED_FRACTION * before
            ),
            None,
        )
        sent_to = [each for disk in rig.disks.values() for each in disk.received]
        sent = [each.at for disk in rig.disks.values() for each in disk.received]
        handshakes = [
            at for broker in rig.brokers for link in broker.node_links.values() for at in link.opened_at
        ]
        ran = Counter(
            each.id for disk in rig.disks.values() for each in disk.received if each.ran and each.write
        )
        return {
            "day": scenario,
            "brokers": brokers,
            "nodes": nodes,
            "seed": seed,
            "load": load,
            "stretch": stretch,
            "memory": memory,
            "asked": len(rig.clients.requests),
            "before": round(before, 4),
            "fault_s": round(fault_end - fault, 3),
            "ready_s": round(max(0.0, *(broker.ready_at[-1] - fault for broker in rig.brokers)), 3),
            "back_s": None if recovered_at is None else round(recovered_at - fault, 3),
            "refused": [
                round(rig.clients.refused_fraction(*span), 4)
                for span in ((begin, fault), (fault_end + 3.0, fault_end + 6.0))
            ],
            "service": [round(service, 3) for _, service in windows],
            "handshakes": mean_and_peak(handshakes, begin, fault, end),
            "attempts": mean_and_peak(sent, begin, fault, end),
            "calls": mean_and_peak([at for at, _, _ in rig.discovery.calls], begin, fault, end),
            "sick": [
                sum(each.node in slow_nodes for each in sent_to if first <= each.at - fault < first + 1.0)
                for first in range(-3, 6)
            ]
            if slow_nodes
            else [],
            # Service in the 3 s after the fault.
            "soon_s": round(rig.clients.served_fraction(fault_end, fault_end + 3.0), 4),
            "last_s": round(rig.clients.served_fraction(end - 3.0, end), 4),  # service in the last 3 s
            "statuses": {str(status): count for status, count in rig.clients.statuses.items()},
            "writes_twice": sum(count > 1 for count in ran.values()),
            "late_ms": round(late * 1000, 1),
        }


def plot_results(results: list[dict[str, Any]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for each in results:
        axes.plot(
            [WINDOW * n for n in range(len(each["service"]))],
            each["service"],
            label=f"{each['day']}, {each['brokers']} brokers, seed {each['seed']}",
        )
    axes.set_xlabel("seconds since the fault")
    axes.set_ylabel("served within the aim")
    axes.legend(fontsize=6)
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=120)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--day", choices=sorted(SCENARIOS), action="append")
    parser.add_argument("--brokers", type=int, default=20)
    parser.add_argument("--nodes", type=int, default=12)
    parser.add_argument(
        "--load", type=float, default=1.0, help="multiple of the rate that the volumes are sized for"
    )
    parser.add_argument(
        "--stretch",
        type=float,
        default=1.0,
        help="factor for work and aims, divisor for rates; about 8 in the platform's larger fleets",
    )
    parser.add_argument("--seed", type=int, action="append")
    parser.add_argument(
        "--memory",
        choices=("off", "on", "both"),
        default="off",
        help="whether brokers keep what they learned over a restart; both: each seed without, then with",
    )
    parser.add_argument("--json", type=Path)
    parser.add_argument("--plot", type=Path)
    options = parser.parse_args()
    results = []
    for scenario in options.day or sorted(SCENARIOS):
        for seed, memory in itertools.product(options.seed or [1], MEMORY_MODES[options.memory]):
            each = asyncio.run(
                run_scenario(
                    scenario, options.brokers, options.nodes, seed, options.load, options.stretch, memory
                )
            )
            results.append(each)
            print(
                f"{scenario:8s} seed {seed}{' with memory' * memory}: {each['before']:.3f} before, "
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
    if options.json:
        options.json.parent.mkdir(parents=True, exist_ok=True)
        options.json.write_text(json.dumps(results, indent=1) + "\n")
    if options.plot:
        plot_results(results, options.plot)


if __name__ == "__main__":
    main()
