"""The decision module stays short, narrow and free of outside dependencies."""

import ast
from pathlib import Path

FOLDER = Path(__file__).parent.parent / "finchrack"
SOURCE = FOLDER / "decide.py"
PURE = [
    SOURCE,
    FOLDER / "state.py",
    FOLDER / "repeats.py",
    FOLDER / "cold.py",
    FOLDER / "objects.py",
    FOLDER / "controller.py",
    FOLDER / "evidence.py",
]


def test_lines_are_few_and_narrow() -> None:
    lines = SOURCE.read_text(encoding="utf-8").splitlines()
    assert sum(1 for line in lines if line.strip()) <= 540
    assert max(map(len, lines)) <= 110


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
        "finchrack",
        "finchrack.cold",
        "finchrack.controller",
        "finchrack.evidence",
        "finchrack.interface",
        "finchrack.objects",
        "finchrack.repeats",
        "finchrack.state",
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
