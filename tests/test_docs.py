"""Checks that the files, modules, tests and types named in the documentation exist.

A page that names something that was removed misleads a reader on call. Historical pages are excluded, as they
keep the names from the time when the entry was written.
"""

from __future__ import annotations

import ast
import functools
import re
import subprocess
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
HISTORY = {"CHANGELOG.md", "docs/system-rounds.md", "docs/questions.md"}
PAGES = sorted(
    path.relative_to(ROOT).as_posix()
    for path in [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md"), *ROOT.glob("examples/*.md")]
    if path.relative_to(ROOT).as_posix() not in HISTORY
)
BUILD_OUTPUTS = frozenset({"target/"})  # created by the build of deploy/system.toml, not committed
BASE_FOLDERS = (
    "",
    "docs",
    "docs/design",
    "cherrycove",
    "cherrycove/tier",
    "cherrycove/broker",
    "tests",
    "tests/tier",
)
SPANS = re.compile(r"`([^`\n]+)`")
FENCES = re.compile(r"^```.*?^```", re.MULTILINE | re.DOTALL)
FILE = re.compile(r"(?<![\w/.<-])([A-Za-z_][\w.-]*/)*[A-Za-z_][\w-]*\.(?:py|md|toml|proto)(?![\w/])")
FOLDER = re.compile(r"(?:[A-Za-z_][\w-]*/)+")
MODULE = re.compile(r"python3? -m ((?:cherrycove|bench|examples)(?:\.\w+)*)")
TEST = re.compile(r"\btest_\w+\b")


@functools.cache
def tracked() -> frozenset[str]:
    """Return all files and folders of the repository; folder names end with a slash."""
    listing = subprocess.run(
        ["git", "ls-files", "--cached", "--others", "--exclude-standard"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    files = {name for name in listing.stdout.splitlines() if (ROOT / name).exists()}
    folders = {f"{parent.as_posix()}/" for name in files for parent in Path(name).parents}
    return frozenset(files | folders | BUILD_OUTPUTS)


@functools.cache
def names_of_tests() -> frozenset[str]:
    """Return the names of all functions and modules below ``tests``."""
    names: set[str] = set()
    for path in (ROOT / "tests").rglob("*.py"):
        names.add(path.stem)
        tree = ast.parse(path.read_text(encoding="utf-8"))
        functions = (ast.FunctionDef, ast.AsyncFunctionDef)
        names |= {node.name for node in ast.walk(tree) if isinstance(node, functions)}
    return frozenset(names)


def exists(name: str) -> bool:
    """Whether ``name`` is a file or folder relative to a base folder, or the end of the path of one."""
    if any(f"{base}/{name}".lstrip("/") in tracked() for base in BASE_FOLDERS):
        return True
    return any(known.endswith(f"/{name}") for known in tracked())


def module_exists(module: str) -> bool:
    path = module.replace(".", "/")
    return f"{path}.py" in tracked() or f"{path}/__main__.py" in tracked()


def spans(page: str) -> list[str]:
    text = (ROOT / page).read_text(encoding="utf-8")
    return SPANS.findall(FENCES.sub("", text))


@pytest.mark.parametrize("page", PAGES)
def test_each_file_and_folder_named_on_a_page_exists(page: str) -> None:
    missing = set()
    for span in spans(page):
        if span.startswith(("/", "..", "$", "~")) or "*" in span or " " in span:
            continue
        named = span if FOLDER.fullmatch(span) else (FILE.fullmatch(span) or [""])[0]
        if named and not exists(named):
            missing.add(named)
    assert not missing


@pytest.mark.parametrize("page", PAGES)
def test_each_command_on_a_page_names_a_module_that_exists(page: str) -> None:
    named = set(MODULE.findall((ROOT / page).read_text(encoding="utf-8")))
    assert not {module for module in named if not module_exists(module)}


@pytest.mark.parametrize("page", PAGES)
def test_each_test_named_on_a_page_exists(page: str) -> None:
    named = {name for span in spans(page) for name in TEST.findall(span)}
    missing = {
        name
        for name in named
        if name not in names_of_tests() and not any(one.startswith(name) for one in names_of_tests())
    }
    assert not missing


TYPE = re.compile(r"[A-Z][a-z0-9]+(?:[A-Z][a-z0-9]+)+(?:\.\w+)?")


@functools.cache
def names_of_code() -> frozenset[str]:
    """Return every identifier in the sources and in the messages of the internal protocol."""
    names: set[str] = set()
    for name in tracked():
        if name.endswith((".py", ".proto")) and not name.startswith("tests/"):
            names |= set(re.findall(r"[A-Za-z_]\w+", (ROOT / name).read_text(encoding="utf-8")))
    return frozenset(names)


@pytest.mark.parametrize("page", PAGES)
def test_each_type_named_on_a_page_exists(page: str) -> None:
    named = {span for span in spans(page) if TYPE.fullmatch(span)}
    assert not {name for name in named if not set(name.split(".")) <= names_of_code()}
