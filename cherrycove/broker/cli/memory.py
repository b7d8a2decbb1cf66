"""The sub-commands ``cherrycove memory``: show, check and delete a broker's snapshot file.

This module defines how a snapshot is printed. It must never change one; ``forget`` deletes the whole file.
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

EXIT_NO, EXIT_USAGE = 1, 2
FILE = click.option(
    "--file",
    "given",
    type=click.Path(dir_okay=False),
    help="The memory's file; else that of the broker that RELAY_CONFIG and CHERRYCOVE_OPERATOR configure.",
)
JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
NODE_FIELDS = (
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
VOLUME_FIELDS = ("name", "credits", "refilled_ago_s", "beyond_ago_s")


def _fail(why: str, code: int, as_json: bool = False) -> NoReturn:
    if as_json:
        click.echo(json.dumps({"ok": False, "error": why}))
    click.echo(f"cherrycove: {why}", err=True)
    sys.exit(code)


def _load_configs(as_json: bool) -> tuple[config.PlatformConfig, config.OperatorConfig]:
    path = Path(os.environ.get("CHERRYCOVE_OPERATOR", "deploy/operator.toml"))
    try:
        platform = config.load_platform_config()
        return platform, config.load_operator_config(path, platform.settings)
    except config.ConfigError as error:
        _fail(str(error), EXIT_USAGE, as_json)


def _path(given: str | None, as_json: bool) -> Path:
    if given:
        return Path(given)
    platform, operator = _load_configs(as_json)
    if operator.warm_restart is None:
        _fail("[memory] in the operator's file is not enabled: give --file", EXIT_USAGE, as_json)
    return snapshot_file.path(operator.warm_restart.directory, platform.name)


def _read(file_path: Path, as_json: bool) -> dict[str, Any]:
    try:
        rows = snapshot_file.read(file_path)
        if not isinstance(rows, dict):
            raise snapshot.UnusableError("the snapshot is not a map")
        written = snapshot.moment_of(rows)
    except FileNotFoundError:
        _fail(f"{file_path}: no such file", EXIT_NO, as_json)
    except (OSError, snapshot.UnusableError) as error:
        _fail(f"{file_path}: {getattr(error, 'strerror', None) or error}", EXIT_NO, as_json)
    return rows | {"absence_s": moment().since(written)}


@click.group()
def memory() -> None:
    """What a broker has learned, kept in a file for its next process."""


@memory.command()
@FILE
@JSON
def show(given: str | None, as_json: bool) -> None:
    """What a memory holds, and how old it is."""
    file_path = _path(given, as_json)
    rows = _read(file_path, as_json)
    nodes = [dict(zip(NODE_FIELDS, row, strict=False)) for row in rows.get("nodes", [])]
    volumes = [dict(zip(VOLUME_FIELDS, row, strict=False)) for row in rows.get("volumes", [])]
    if as_json:
        click.echo(json.dumps(rows | {"nodes": nodes, "volumes": volumes}))
        return
    age = (
        "of unknown age: the clock was set back"
        if rows["absence_s"] is None
        else f"{rows['absence_s']:.1f} s old"
    )
    click.echo(
        f"{file_path}: of broker {rows.get('broker')}, deployment {rows.get('deployment')}, written "
        f"{datetime.fromtimestamp(rows['wall'], UTC).isoformat(timespec='seconds')}, {age}, "
        f"{'complete' if rows.get('whole') else 'written while requests could still be sent'}"
    )
    for node in nodes:
        remarks = ("overloaded " if node["overload"] else "") + (
            f"failed {node['failures']} times in a row " if node["failures"] else ""
        )
        click.echo(
            f"node {node['id']}: {node['latency_s'] * 1000:.0f} ms, threshold {node['threshold']:.1f}, "
            f"{remarks}{node['sent_units']:g} units sent in the window"
        )
    for volume in volumes:
        click.echo(f"volume {volume['name']}: {volume['credits']:.1f} units of credit")


@memory.command()
@FILE
@JSON
def check(given: str | None, as_json: bool) -> None:
    """Whether a broker that started now would restore a memory, and how much of it."""
    file_path = _path(given, as_json)
    rows = _read(file_path, as_json)
    platform, _ = _load_configs(as_json)
    try:
        restored, absence_s, skipped = snapshot.unpack(rows, 0.0, moment(), platform.settings, platform.name)
    except snapshot.UnusableError as error:
        _fail(f"{file_path}: {error}", EXIT_NO, as_json)
    if as_json:
        click.echo(
            json.dumps(
                {
                    "ok": True,
                    "file": str(file_path),
                    "absence_s": absence_s,
                    "whole": restored.whole,
                    "nodes": len(restored.nodes),
                    "volumes": len(restored.volumes),
                    "aside": dict(skipped),
                }
            )
        )
        return
    click.echo(
        f"{file_path}: {len(restored.nodes)} nodes and {len(restored.volumes)} volumes would be restored "
        f"after {absence_s:.1f} s" + (f"; skipped: {dict(skipped)}" if skipped.total() else "")
    )


@memory.command()
@FILE
@JSON
def forget(given: str | None, as_json: bool) -> None:
    """Delete a memory. A running broker writes it again: stop the broker first."""
    file_path = _path(given, as_json)
    try:
        found = snapshot_file.delete(file_path)
    except OSError as error:
        _fail(f"{file_path}: {error.strerror}", EXIT_NO, as_json)
    if as_json:
        click.echo(json.dumps({"ok": True, "file": str(file_path), "found": found}))
    else:
        click.echo(f"{file_path}: {'forgotten' if found else 'there was none'}")
