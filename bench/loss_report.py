"""Combines the losses in the proxies' logs with the bench report of the same day; prints tables and plots.

python -m bench.loss_report --log DAY.log [--report DAY.json] [--route ROUTE=KIND]... [--plot losses.png]

The log is the output of ``fleetbench run --log all``, the report is the file that its ``--report`` writes.
Route names of a day are random; ``--route`` gives the request kind of a route, and other routes are listed by
their names. The worth that a kind lost is distributed over its causes in proportion to their counts. The
program does not use these results.
"""

from __future__ import annotations

import argparse
import json
import re
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path

import attrs

LOSS_EVENT = "requests_lost"
LOG_LINE = re.compile(r"^\s*(-?\d+\.\d+)\s+(\S+)\s+(\{.*\})\s*$")


@attrs.frozen
class LossLine:
    """The number of requests of a route lost by one cause, from one line of a proxy's log."""

    second: int  # since the start of the day's traffic
    zone: str
    route: str
    cause: str
    count: int


@attrs.frozen
class KindLoss:
    """The share of its worth that a request kind lost, from the bench report."""

    kind: str
    requests: int
    lost_share: float


def read_log(lines: Iterable[str]) -> Iterator[LossLine]:
    """Yield the counts of all ``requests_lost`` events; skip other lines."""
    for line in lines:
        match = LOG_LINE.match(line) if LOSS_EVENT in line else None
        if match is None:
            continue
        event = json.loads(match[3])
        if event.get("event") != LOSS_EVENT:
            continue
        for route, causes in event["losses"].items():
            for cause, count in causes.items():
                yield LossLine(int(float(match[1])), zone_of(match[2]), route, cause, count)


def zone_of(node: str) -> str:
    """Return the zone in a machine's name, which has the form CLASS-ZONE-NUMBER[/ROLE]."""
    return node.partition("/")[0].partition("-")[2].rpartition("-")[0]


def read_report(document: Mapping[str, object]) -> dict[str, KindLoss]:
    """Return the request kinds of a report by name; raises ``KeyError`` for a document of another form."""
    classes = document["classes"]
    if not isinstance(classes, list):
        raise KeyError("classes")  # noqa: TRY004 - the form of the document, not of an argument
    return {
        entry["name"]: KindLoss(entry["name"], entry["n"], 1.0 - float(entry["worth"])) for entry in classes
    }


def table(lines: Iterable[LossLine], kinds: Mapping[str, KindLoss], names: Mapping[str, str]) -> list[str]:
    """Return a row per kind (or route) and cause, with the count and the lost share of the kind's worth."""
    counts: Counter[tuple[str, str]] = Counter()
    for line in lines:
        counts[names.get(line.route, line.route), line.cause] += line.count
    totals: Counter[str] = Counter()
    for (kind, _), count in counts.items():
        totals[kind] += count
    rows = []
    for (kind, cause), count in counts.most_common():
        loss = kinds.get(kind)
        share = f"{loss.lost_share * count / totals[kind]:.4f}" if loss else "-"
        rows.append(f"{kind:20} {cause:26} {count:7} {share:>8}")
    return rows


def by_second(lines: Iterable[LossLine]) -> dict[int, Counter[str]]:
    """Return the counts by cause for each second."""
    seconds: dict[int, Counter[str]] = {}
    for line in lines:
        seconds.setdefault(line.second, Counter())[line.cause] += line.count
    return dict(sorted(seconds.items()))


def plot(seconds: Mapping[int, Counter[str]], path: Path) -> None:
    """Write a stacked bar chart of causes by second."""
    import matplotlib  # noqa: PLC0415 - the only part that needs it

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    causes = [cause for cause, _ in sum(seconds.values(), Counter[str]()).most_common()]
    bottom = dict.fromkeys(seconds, 0)
    figure, axes = pyplot.subplots(figsize=(12, 5))
    for cause in causes:
        heights = [counts[cause] for counts in seconds.values()]
        axes.bar(list(seconds), heights, bottom=list(bottom.values()), label=cause)
        bottom = {second: bottom[second] + counts[cause] for second, counts in seconds.items()}
    axes.set_xlabel("second of traffic")
    axes.set_ylabel("requests lost")
    axes.legend(fontsize="small")
    figure.savefig(path)


def main() -> None:
    """Print the tables of one day, and write the plot if requested."""
    parser = argparse.ArgumentParser(prog="python -m bench.loss_report", description=__doc__)
    parser.add_argument("--log", type=Path, required=True)
    parser.add_argument("--report", type=Path)
    parser.add_argument("--route", action="append", default=[], metavar="ROUTE=KIND")
    parser.add_argument("--plot", type=Path)
    arguments = parser.parse_args()
    names = dict(entry.split("=", 1) for entry in arguments.route)
    kinds = read_report(json.loads(arguments.report.read_text())) if arguments.report else {}
    with arguments.log.open(encoding="utf-8", errors="replace") as log:
        lines = list(read_log(log))
    print(f"{'kind':20} {'cause':26} {'count':>7} {'worth':>8}")
    print("\n".join(table(lines, kinds, names)))
    zones: Counter[str] = Counter()
    for line in lines:
        zones[line.zone] += line.count
    print("by zone: " + ", ".join(f"{zone} {count}" for zone, count in sorted(zones.items())))
    for second, counts in by_second(lines).items():
        print(f"{second:4} s: " + ", ".join(f"{cause} {count}" for cause, count in counts.most_common(5)))
    if arguments.plot:
        plot(by_second(lines), arguments.plot)


if __name__ == "__main__":
    main()
