"""The sub-commands, defined with click."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import Any, NoReturn

import click
from click.shell_completion import get_completion_class

from cherrycove.broker.cli.call import CallError, address, call

EXIT_NO, EXIT_USAGE, EXIT_NO_ANSWER = 1, 2, 3
ADMIN = click.option(
    "--admin",
    metavar="HOST:PORT",
    help="The broker's operators' address; else RELAY_ADMIN, else that of the file that RELAY_CONFIG names.",
)
JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


class _Broker:
    """The broker that a command calls; ends the program with the exit code of the error if the call fails."""

    def __init__(self, admin: str | None) -> None:
        try:
            self._endpoint = address(admin)
        except ValueError as error:
            _fail(str(error), EXIT_USAGE)

    def query(self, line: str) -> list[str]:
        """Send a call and return the lines of the answer."""
        try:
            return call(self._endpoint, line)
        except ValueError as error:
            _fail(str(error), EXIT_USAGE)
        except CallError as error:
            _fail(f"nobody answers: {error}", EXIT_NO_ANSWER)

    def run(self, line: str) -> None:
        """Send a call, print the answer, and exit with ``EXIT_NO`` if it begins with NO, else with 0."""
        answer = self.query(line)
        for each in answer:
            click.echo(each)
        sys.exit(EXIT_NO if answer[0].startswith("NO") else 0)


def _fail(why: str, code: int) -> NoReturn:
    click.echo(f"cherrycove: {why}", err=True)
    sys.exit(code)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A storage broker, and what its operators ask of it.

    Exit codes: 0 done, or yes; 1 the broker said no, or could not start; 2 wrong usage, or a configuration
    that cannot be used; 3 nobody answers at the operators' address.
    """


@main.command()
def run() -> None:
    """Run the broker that RELAY_CONFIG configures; the same as python -m cherrycove."""
    sys.stdout.flush()
    os.execv(sys.executable, [sys.executable, "-m", "cherrycove"])


@main.command("check-config")
@click.option("--platform", type=click.Path(dir_okay=False), help="The platform's file; else RELAY_CONFIG.")
@click.option(
    "--operator",
    type=click.Path(dir_okay=False),
    help="The operator's file; else CHERRYCOVE_OPERATOR, else deploy/operator.toml.",
)
@JSON
def check_config(platform: str | None, operator: str | None, as_json: bool) -> None:
    """Read both configurations as the broker would, and say what they enable or what is wrong."""
    # Imported here because it imports much of the broker.
    from cherrycove.broker import config

    env = dict(os.environ) | ({"RELAY_CONFIG": platform} if platform else {})
    path = Path(operator or env.get("CHERRYCOVE_OPERATOR", "deploy/operator.toml"))
    if operator and not path.exists():
        _fail(f"{path}: no such file", EXIT_USAGE)
    try:
        platform_config = config.load_platform_config(env)
        operator_config = config.load_operator_config(path, platform_config.settings)
    except config.ConfigError as error:
        if as_json:
            click.echo(json.dumps({"ok": False, "error": str(error)}))
        _fail(str(error), EXIT_USAGE)
    tables = {
        "nbd": operator_config.nbd,
        "consul": operator_config.consul,
        "store": operator_config.shared_map,
        "why": operator_config.decision_log,
        "memory": operator_config.warm_restart,
    }
    enabled = [name for name, table in tables.items() if table is not None]
    if as_json:
        click.echo(
            json.dumps(
                {
                    "ok": True,
                    "name": platform_config.name,
                    "listen": list(platform_config.listen),
                    "on": enabled,
                    "admin": list(platform_config.admin) if platform_config.admin else None,
                    "log": operator_config.log.form,
                }
            )
        )
        return
    click.echo(
        f"{platform_config.name} would serve on {platform_config.listen[0]}:{platform_config.listen[1]}; "
        f"also enabled: {', '.join(enabled) or 'nothing'}"
    )


@main.command()
@ADMIN
def status(admin: str | None) -> None:
    """Whether the broker serves."""
    _Broker(admin).run("status")


def figures(lines: list[str]) -> dict[str, Any]:
    """Return nested counters from lines such as ``broker.passed.claim-read:812|c``.

    Raises:
        ValueError: a line is not of that form; the message names it.
    """
    result: dict[str, Any] = {}
    for line in lines:
        name, separator, value = line.partition(":")
        number, _, _ = value.partition("|")
        if not separator or not number.isdigit():
            raise ValueError(f"not a line of statistics: {line!r}")
        table, (*path, last) = result, name.split(".")[1:]
        for part in path:
            table = table.setdefault(part, {})
        table[last] = int(number)
    return result


@main.command()
@ADMIN
@JSON
def stats(admin: str | None, as_json: bool) -> None:
    """The broker's statistics."""
    answer = _Broker(admin).query("stats")
    try:
        counters = figures(answer)
    except ValueError as error:
        _fail(str(error), EXIT_NO)
    if as_json:
        click.echo(json.dumps(counters))
        return
    for name, value in counters.items():
        nested = value if isinstance(value, dict) else {}
        shown = " ".join(f"{key}={count}" for key, count in nested.items()) or value
        click.echo(f"{name:22} {shown}")


@main.group()
def maint() -> None:
    """Take a disk node out, or put it back."""


@maint.command("on")
@click.argument("node")
@ADMIN
def maint_on(node: str, admin: str | None) -> None:
    """Take NODE out: nothing more is sent to it, whatever discovery says."""
    _Broker(admin).run(f"maint-on {node}")


@maint.command("off")
@click.argument("node")
@ADMIN
def maint_off(node: str, admin: str | None) -> None:
    """Put NODE back: it may serve again, beginning with slow start."""
    _Broker(admin).run(f"maint-off {node}")


@main.command()
@click.argument("id", default="", metavar="[REQUEST-ID | report]")
@click.option("--volume", metavar="V", help="Requests of this volume.")
@click.option("--since", metavar="5m", help="Not older than this; 5m if not given.")
@click.option(
    "--only", metavar="VERDICTS", help="Requests with these of the verdicts served,refused,failed,gone."
)
@click.option("--most", metavar="N", help="At most N requests, the newest; 100 if not given.")
@click.option("--summary", is_flag=True, help="Counts by reason, volume, node and minute.")
@click.option("--out", type=click.Path(file_okay=False), help="With report: the folder for the pages.")
@ADMIN
@JSON
def why(
    id: str,
    volume: str | None,
    since: str | None,
    only: str | None,
    most: str | None,
    summary: bool,
    out: str | None,
    admin: str | None,
    as_json: bool,
) -> None:
    """Why a recent request went where it went, or was refused or failed."""
    broker = _Broker(admin)
    if out is not None:
        if id != "report":
            raise click.UsageError("--out goes with report")
        # Imported here because it imports templates and plots.
        from cherrycove.broker.decision_log import report

        path = report.write(Path(out), broker.query, since or "1h")
        click.echo(str(path))
        return
    if id == "report":
        raise click.UsageError("report needs --out FOLDER")
    words = ["why"] + ([id] if id else [])
    for name, value in (("--volume", volume), ("--since", since), ("--only", only), ("--most", most)):
        words += [name, value] if value else []
    words += ["--summary"] if summary else []
    words += ["--json"] if as_json else []
    if any(set(word) & set(" \t\r\n") for word in words):
        raise click.UsageError("no argument may contain white space")
    broker.run(" ".join(words))


class _LazyMemoryGroup(click.Group):
    """The group ``memory``; its module is imported only when it is used."""

    def _group(self) -> click.Group:
        from cherrycove.broker.cli.memory import memory

        return memory

    def list_commands(self, ctx: click.Context) -> list[str]:
        return self._group().list_commands(ctx)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        return self._group().get_command(ctx, cmd_name)


@main.command("memory", cls=_LazyMemoryGroup)
def memory() -> None:
    """What a broker has learned, kept in a file for its next process."""


@main.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """A script that completes commands and options: eval "$(cherrycove completion bash)"."""
    completion_class = get_completion_class(shell)
    if completion_class is None:
        _fail(f"no completion for {shell}", EXIT_USAGE)
    click.echo(completion_class(main, {}, "cherrycove", "_CHERRYCOVE_COMPLETE").source())
