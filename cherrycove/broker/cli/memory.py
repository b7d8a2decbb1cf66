"""``cherrycove memory``: look at a broker's memory, check it, throw it away.

It owns how a memory is shown. It must never change one: ``forget`` removes the whole file.
"""

from __future__ import annotations

import json
import os
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, NoReturn

import click

from cherrycove.broker import config
from cherrycove.broker.warm_restart import snapshot, snapshot_file
from cherrycove.broker.warm_restart.restore import moment

NO, USAGE = 1, 2
FILE = click.option(
    "--file",
    "given",
    type=click.Path(dir_okay=False),
    help="The memory; else that of the broker of this environment, by RELAY_CONFIG and CHERRYCOVE_OPERATOR.",
)
JSON = click.option("--json", "as_json", is_flag=True, help="For a program: JSON.")
NODE = (
    "id",
    "has_start",
    "started_ago_s",
    "latency_s",
    "heard_ago_s",
    "threshold",
    "overload",
    "failures",
    "rests_s",
    "lot",
    "sent_units",
    "sent_ago_s",
)
VOLUME = ("name", "credits", "refilled_ago_s", "beyond_ago_s")


def _end(why: str, code: int, as_json: bool = False) -> NoReturn:
    if as_json:
        click.echo(json.dumps({"ok": False, "error": why}))
    click.echo(f"cherrycove: {why}", err=True)
    sys.exit(code)


def _configured(as_json: bool) -> tuple[config.PlatformConfig, config.OperatorConfig]:
    path = Path(os.environ.get("CHERRYCOVE_OPERATOR", "deploy/operator.toml"))
    try:
        platform = config.load_platform_config()
        return platform, config.load_operator_config(path, platform.settings)
    except config.ConfigError as error:
        _end(str(error), USAGE, as_json)


def _path(given: str | None, as_json: bool) -> Path:
    if given:
        return Path(given)
    platform, operator = _configured(as_json)
    if operator.warm_restart is None:
        _end("[memory] in the operator's file is not enabled: give --file", USAGE, as_json)
    return snapshot_file.path(operator.warm_restart.directory, platform.name)


def _read(where: Path, as_json: bool) -> dict[str, Any]:
    try:
        rows = snapshot_file.read(where)
        if not isinstance(rows, dict):
            raise snapshot.UnusableError("it holds no table")
        written = snapshot.moment_of(rows)
    except FileNotFoundError:
        _end(f"{where}: there is none", NO, as_json)
    except (OSError, snapshot.UnusableError) as error:
        _end(f"{where}: {getattr(error, 'strerror', None) or error}", NO, as_json)
    return rows | {"absence_s": moment().since(written)}


@click.group()
def memory() -> None:
    """What a broker keeps of what it has learned, for its next life."""


@memory.command()
@FILE
@JSON
def show(given: str | None, as_json: bool) -> None:
    """What a memory holds, and how old it is."""
    where = _path(given, as_json)
    rows = _read(where, as_json)
    nodes = [dict(zip(NODE, row, strict=False)) for row in rows.get("nodes", [])]
    volumes = [dict(zip(VOLUME, row, strict=False)) for row in rows.get("volumes", [])]
    if as_json:
        click.echo(json.dumps(rows | {"nodes": nodes, "volumes": volumes}))
        return
    age = (
        "of unknown age: the clock was set back"
        if rows["absence_s"] is None
        else f"{rows['absence_s']:.1f} s old"
    )
    click.echo(
        f"{where}: of broker {rows.get('broker')}, deployment {rows.get('deployment')}, written "
        f"{datetime.fromtimestamp(rows['wall'], UTC).isoformat(timespec='seconds')}, {age}, "
        f"{'whole' if rows.get('whole') else 'of a life that went on'}"
    )
    click.echo(
        "longest waits: "
        + (" ".join(f"{name}={longest:g}s" for name, longest in rows.get("budgets", {}).items()) or "none")
    )
    for node in nodes:
        marks = ("overloaded " if node["overload"] else "") + (
            f"failed {node['failures']} times in a row " if node["failures"] else ""
        )
        click.echo(
            f"node {node['id']}: {node['latency_s'] * 1000:.0f} ms, L {node['threshold']:.1f}, "
            f"{marks}{node['sent_units']:g} units sent in the window"
        )
    for volume in volumes:
        click.echo(f"volume {volume['name']}: {volume['credits']:.1f} units of credit")


@memory.command()
@FILE
@JSON
def check(given: str | None, as_json: bool) -> None:
    """Whether a broker that started now would take it up, and what of it."""
    where = _path(given, as_json)
    rows = _read(where, as_json)
    platform, _ = _configured(as_json)
    try:
        told, absence, aside = snapshot.unpack(rows, 0.0, moment(), platform.settings, platform.name)
    except snapshot.UnusableError as error:
        _end(f"{where}: {error}", NO, as_json)
    if as_json:
        click.echo(
            json.dumps(
                {
                    "ok": True,
                    "file": str(where),
                    "absence_s": absence,
                    "whole": told.whole,
                    "nodes": len(told.nodes),
                    "volumes": len(told.volumes),
                    "aside": dict(aside),
                }
            )
        )
        return
    click.echo(
        f"{where}: {len(told.nodes)} nodes and {len(told.volumes)} volumes would be taken up after "
        f"{absence:.1f} s" + (f"; left aside: {dict(aside)}" if aside.total() else "")
    )


@memory.command()
@FILE
@JSON
def forget(given: str | None, as_json: bool) -> None:
    """Throw a memory away. A broker in service writes it anew: end it first."""
    where = _path(given, as_json)
    try:
        found = snapshot_file.delete(where)
    except OSError as error:
        _end(f"{where}: {error.strerror}", NO, as_json)
    if as_json:
        click.echo(json.dumps({"ok": True, "file": str(where), "found": found}))
    else:
        click.echo(f"{where}: {'forgotten' if found else 'there was none'}")
