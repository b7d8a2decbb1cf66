"""The sub-commands, on click."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import Any, NoReturn

import click
from click.shell_completion import get_completion_class

from cherrycove.broker.cli.call import CallError, address, call

NO, USAGE, NOBODY = 1, 2, 3
ADMIN = click.option(
    "--admin",
    metavar="HOST:PORT",
    help="The broker's operators' address; else RELAY_ADMIN, else that of the file that RELAY_CONFIG names.",
)
JSON = click.option("--json", "as_json", is_flag=True, help="For a program: JSON.")


class _Broker:
    """The broker that a command is about; ends the program with the right code where it does not answer."""

    def __init__(self, admin: str | None) -> None:
        try:
            self._place = address(admin)
        except ValueError as error:
            _end(str(error), USAGE)

    def ask(self, line: str) -> list[str]:
        try:
            return call(self._place, line)
        except ValueError as error:
            _end(str(error), USAGE)
        except CallError as error:
            _end(f"nobody answers: {error}", NOBODY)

    def say(self, line: str) -> None:
        """Ask, show the whole answer, and end as it says."""
        said = self.ask(line)
        for each in said:
            click.echo(each)
        sys.exit(NO if said[0].startswith("NO") else 0)


def _end(why: str, code: int) -> NoReturn:
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
    """Be the broker that RELAY_CONFIG tells of; the same as python -m cherrycove."""
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
    """Read both configurations as the broker would, and say what they turn on or what is wrong."""
    from cherrycove.broker import config  # the broker's own reading, with all that it imports

    env = dict(os.environ) | ({"RELAY_CONFIG": platform} if platform else {})
    path = Path(operator or env.get("CHERRYCOVE_OPERATOR", "deploy/operator.toml"))
    if operator and not path.exists():
        _end(f"{path}: no such file", USAGE)
    try:
        told = config.load_platform_config(env)
        found = config.load_operator_config(path, told.settings)
    except config.ConfigError as error:
        if as_json:
            click.echo(json.dumps({"ok": False, "error": str(error)}))
        _end(str(error), USAGE)
    parts = {
        "nbd": found.nbd,
        "consul": found.consul,
        "store": found.shared_map,
        "why": found.decision_log,
        "memory": found.warm_restart,
    }
    on = [name for name, part in parts.items() if part is not None]
    if as_json:
        click.echo(
            json.dumps(
                {
                    "ok": True,
                    "name": told.name,
                    "listen": list(told.listen),
                    "on": on,
                    "admin": list(told.admin) if told.admin else None,
                    "log": found.log.form,
                }
            )
        )
        return
    click.echo(
        f"{told.name} would serve on {told.listen[0]}:{told.listen[1]}; on beside that: "
        f"{', '.join(on) or 'nothing'}"
    )


@main.command()
@ADMIN
def status(admin: str | None) -> None:
    """Whether the broker serves."""
    _Broker(admin).say("status")


def figures(lines: list[str]) -> dict[str, Any]:
    """Lines such as ``broker.passed.claim-read:812|c`` as nested figures; ValueError names one that is
    none."""
    whole: dict[str, Any] = {}
    for line in lines:
        name, mark, value = line.partition(":")
        number, _, _ = value.partition("|")
        if not mark or not number.isdigit():
            raise ValueError(f"not a figure: {line!r}")
        place, (*path, last) = whole, name.split(".")[1:]
        for word in path:
            place = place.setdefault(word, {})
        place[last] = int(number)
    return whole


@main.command()
@ADMIN
@JSON
def stats(admin: str | None, as_json: bool) -> None:
    """The broker's figures."""
    said = _Broker(admin).ask("stats")
    try:
        whole = figures(said)
    except ValueError as error:
        _end(str(error), NO)
    if as_json:
        click.echo(json.dumps(whole))
        return
    for name, value in whole.items():
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
    _Broker(admin).say(f"maint-on {node}")


@maint.command("off")
@click.argument("node")
@ADMIN
def maint_off(node: str, admin: str | None) -> None:
    """Put NODE back: it may serve again, from cold."""
    _Broker(admin).say(f"maint-off {node}")


@main.command()
@click.argument("id", default="", metavar="[REQUEST-ID | report]")
@click.option("--volume", metavar="V", help="Requests of this volume.")
@click.option("--since", metavar="5m", help="Not older than this; 5m if not given.")
@click.option("--only", metavar="VERDICTS", help="Of served,refused,failed,gone.")
@click.option("--most", metavar="N", help="So many requests at most, the newest; 100 if not given.")
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
        from cherrycove.broker.decision_log import report  # templates and plots

        path = report.write(Path(out), broker.ask, since or "1h")
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
        raise click.UsageError("no word may hold a blank")
    broker.say(" ".join(words))


class _Memory(click.Group):
    """Its own module is read where it is called."""

    def _group(self) -> click.Group:
        from cherrycove.broker.cli.memory import memory

        return memory

    def list_commands(self, ctx: click.Context) -> list[str]:
        return self._group().list_commands(ctx)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        return self._group().get_command(ctx, cmd_name)


@main.command("memory", cls=_Memory)
def memory() -> None:
    """What a broker keeps of what it has learned, for its next life."""


@main.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """A script that completes commands and options: eval "$(cherrycove completion bash)"."""
    found = get_completion_class(shell)
    if found is None:
        _end(f"no completion for {shell}", USAGE)
    click.echo(found(main, {}, "cherrycove", "_CHERRYCOVE_COMPLETE").source())
