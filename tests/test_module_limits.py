"""The scheduler's functions and lines stay short, and it has no dependencies outside the standard library."""

import ast
from pathlib import Path

FOLDER = Path(__file__).parent.parent / "cherrycove" / "scheduling"
SOURCE = FOLDER / "scheduler.py"
PURE = [
    SOURCE,
    FOLDER / "state.py",
    FOLDER / "retry_safety.py",
    FOLDER / "slow_start.py",
    FOLDER / "object_placement.py",
    FOLDER / "concurrency_limit.py",
    FOLDER / "restart_state.py",
    FOLDER / "timer_queue.py",
    FOLDER / "scheduler_state.py",
    FOLDER / "latency_estimate.py",
    FOLDER / "key_order.py",
    FOLDER / "request_completion.py",
    FOLDER / "load_shedding.py",
    FOLDER / "retry_policy.py",
    FOLDER / "deadline_queue.py",
    FOLDER / "credits.py",
    FOLDER / "limit_policy.py",
    FOLDER / "attempts.py",
    FOLDER / "dispatch.py",
    FOLDER / "arrivals.py",
    FOLDER / "node_membership.py",
]


MAX_FUNCTION_LINES = 30
MAX_LINE_CHARACTERS = 110


def functions(path: Path) -> list[ast.FunctionDef]:
    tree = ast.parse(path.read_text(encoding="utf-8"))
    return [item for item in ast.walk(tree) if isinstance(item, ast.FunctionDef)]


def test_functions_and_lines_are_short() -> None:
    for path in PURE:
        assert max(map(len, path.read_text(encoding="utf-8").splitlines())) <= MAX_LINE_CHARACTERS
        for function in functions(path):
            lines = (function.end_lineno or 0) - function.lineno + 1
            assert lines <= MAX_FUNCTION_LINES, f"{path.name}: {function.name} has {lines} lines"


def test_imports_are_the_standard_library_without_clock_or_input() -> None:
    allowed = {
        "__future__",
        "dataclasses",
        "random",
        "typing",
        "collections",
        "collections.abc",
        "heapq",
        "itertools",
        "math",
        "cherrycove.scheduling",
        "cherrycove.scheduling.slow_start",
        "cherrycove.scheduling.concurrency_limit",
        "cherrycove.scheduling.restart_state",
        "cherrycove.scheduling.interface",
        "cherrycove.scheduling.object_placement",
        "cherrycove.scheduling.retry_safety",
        "cherrycove.scheduling.state",
        "cherrycove.scheduling.timer_queue",
        "cherrycove.scheduling.scheduler_state",
        "cherrycove.scheduling.latency_estimate",
        "cherrycove.scheduling.key_order",
        "cherrycove.scheduling.request_completion",
        "cherrycove.scheduling.load_shedding",
        "cherrycove.scheduling.retry_policy",
        "cherrycove.scheduling.deadline_queue",
        "cherrycove.scheduling.credits",
        "cherrycove.scheduling.limit_policy",
        "cherrycove.scheduling.attempts",
        "cherrycove.scheduling.dispatch",
        "cherrycove.scheduling.arrivals",
        "cherrycove.scheduling.node_membership",
    }
    trees = [ast.parse(path.read_text(encoding="utf-8")) for path in PURE]
    for item in [item for tree in trees for item in ast.walk(tree)]:
        if isinstance(item, ast.Import):
            assert {name.name for name in item.names} <= allowed
        elif isinstance(item, ast.ImportFrom):
            assert item.module in allowed


def test_docstring_names_the_interface_and_the_paper() -> None:
    text = ast.get_docstring(ast.parse(SOURCE.read_text(encoding="utf-8"))) or ""
    assert "interface.py" in text
    assert "Storage Performance Virtualization via Throughput and Latency Control" in text
