"""Checks that docs/tier-events.md lists exactly the events that the tier logs, with their levels."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "tier-events.md"
LOGGER = "_log"
LEVELS = {
    "debug": "debug", "info": "info", "warning": "warning", "error": "error", "exception": "error",
    "critical": "critical",
}  # fmt: skip
NAME = re.compile(r"[a-z]+(_[a-z]+)*")
ROW = re.compile(r"^\| `([^`]+)` \| (\w+) \| (.+) \| (.+) \|$", re.MULTILINE)


def modules() -> Iterator[ast.Module]:
    for path in sorted((ROOT / "cherrycove" / "tier").rglob("*.py")):
        yield ast.parse(path.read_text(encoding="utf-8"), str(path))


def log_calls(module: ast.Module) -> Iterator[tuple[ast.expr, str]]:
    """Yield the first argument and the level of each call that writes a log line."""
    for node in ast.walk(module):
        if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)):
            continue
        owner = node.func.value
        if isinstance(owner, ast.Name) and owner.id == LOGGER and node.func.attr in LEVELS:
            yield node.args[0], LEVELS[node.func.attr]


def event_names(event: ast.expr, module: ast.Module) -> list[str]:
    """Return the literal event name, or all names that the called function can return."""
    if isinstance(event, ast.Constant):
        return [event.value]
    assert isinstance(event, ast.Call) and isinstance(event.func, ast.Name), ast.dump(event)
    returned = [
        node.value
        for function in module.body
        if isinstance(function, ast.FunctionDef) and function.name == event.func.id
        for node in ast.walk(function)
        if isinstance(node, ast.Return)
    ]
    assert returned and all(isinstance(value, ast.Constant) for value in returned), event.func.id
    return [value.value for value in returned if isinstance(value, ast.Constant)]


def logged_events() -> set[tuple[str, str]]:
    return {
        (name, level)
        for module in modules()
        for event, level in log_calls(module)
        for name in event_names(event, module)
    }


def test_the_page_lists_exactly_the_logged_events_with_their_levels() -> None:
    rows = ROW.findall(PAGE.read_text(encoding="utf-8"))
    listed = [(name, level) for name, level, _, _ in rows]
    assert len(listed) == len(set(listed))
    assert set(listed) == logged_events()


def test_events_are_named_in_one_style() -> None:
    assert [name for name, _ in logged_events() if not NAME.fullmatch(name)] == []


def test_every_logger_has_the_same_name() -> None:
    logger_names = [
        target.id
        for module in modules()
        for node in ast.walk(module)
        if isinstance(node, ast.Assign) and "getLogger(__name__)" in ast.unparse(node.value)
        for target in node.targets
        if isinstance(target, ast.Name)
    ]
    assert logger_names and set(logger_names) == {LOGGER}
