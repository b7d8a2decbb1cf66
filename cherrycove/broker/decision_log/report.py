"""Writes an HTML report of recent requests: refusals over time, latency by node, the latest refusals.

All data on the page comes from the broker's answers. Texts from clients are escaped, and the page loads no
resources from elsewhere.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import matplotlib
from jinja2 import Environment, PackageLoader, StrictUndefined

matplotlib.use("svg")  # needs no display

from matplotlib import pyplot  # noqa: E402

SendQuery = Callable[[str], list[str]]
VERDICTS = ("refused", "failed", "gone")


class ReportError(ValueError):
    """The broker has no summary. The text is the first line of its answer."""


def _parse_summary(answer: list[str]) -> dict[str, Any]:
    if not answer or answer[0].startswith("NO") or len(answer) < 2:
        raise ReportError(answer[0] if answer else "no answer")
    summary: dict[str, Any] = json.loads(answer[1])
    return summary


def write(out: Path, send_query: SendQuery, since: str) -> Path:
    """Query a broker and write the report into a folder, which is created if needed.

    Returns:
        The path of the HTML page.

    Raises:
        ReportError: the broker has no summary.
        OSError: the folder or a file in it cannot be written.
    """
    summary = _parse_summary(send_query(f"why --summary --json --since {since}"))
    rows = send_query(f"why --only refused,failed --most 50 --json --since {since}")
    recent = [json.loads(line) for line in rows if line.startswith("{")]
    out.mkdir(parents=True, exist_ok=True)
    plots = {"refusals.svg": _refusals, "latency.svg": _latency}
    for name, draw in plots.items():
        figure, axes = pyplot.subplots(figsize=(9, 3.5), layout="constrained")
        draw(axes, summary)
        figure.savefig(out / name, metadata={"Date": None})
        pyplot.close(figure)
    environment = Environment(
        loader=PackageLoader("cherrycove.broker.decision_log", "templates"),
        autoescape=True,
        undefined=StrictUndefined,
    )
    template = environment.get_template("report.html")
    page = template.render(summary=summary, recent=recent, since=since, plots=list(plots))
    path = out / "index.html"
    path.write_text(page, encoding="utf-8")
    return path


def _refusals(axes: Any, summary: dict[str, Any]) -> None:
    minutes = summary["minutes"]
    below = [0] * len(minutes)
    for verdict in VERDICTS:
        counts = [row[verdict] for row in minutes]
        axes.bar(range(len(minutes)), counts, bottom=below, label=verdict)
        below = [one + other for one, other in zip(below, counts, strict=True)]
    step = max(len(minutes) // 12, 1)
    axes.set_xticks(range(0, len(minutes), step), [row["minute"][11:16] for row in minutes[::step]])
    axes.set(xlabel="minute (UTC)", ylabel="requests", title="Requests without a served answer")
    axes.legend()


def _latency(axes: Any, summary: dict[str, Any]) -> None:
    names = [f"{row['node']}\n{row['class']}" for row in summary["nodes"]]
    for part, mark in ((50, "o"), (95, "^"), (99, "x")):
        axes.plot(range(len(names)), [row[f"p{part}_ms"] for row in summary["nodes"]], mark, label=f"{part}%")
    # Matplotlib interprets text between dollar signs as a formula.
    axes.set_xticks(
        range(len(names)), [name.replace("$", r"\$") for name in names], rotation=45, ha="right", fontsize=7
    )
    axes.set(ylabel="ms", title="Latency of served attempts by node and class")
    if names:
        axes.set_yscale("log")
    axes.legend()
