"""Checks that CI ignores the failures of tests listed in KNOWN-RED.txt, and no others."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from support import ROOT

SCRIPT = ROOT / ".ci" / "known_red.py"
LISTED = "tests/test_a.py::test_flaky: a reason; issue 1\n"
CASE = '<testcase classname="tests.{module}" name="{name}">{inside}</testcase>'


def case(module: str, name: str, inside: str = "") -> str:
    return CASE.format(module=module, name=name, inside=inside)


def exit_code(folder: Path, cases: str | None, listed: str) -> int:
    results, known_red = folder / "results.xml", folder / "KNOWN-RED.txt"
    if cases is not None:
        results.write_text(f"<testsuites><testsuite>{cases}</testsuite></testsuites>")
    known_red.write_text(listed)
    return subprocess.run([sys.executable, str(SCRIPT), str(results), str(known_red)], check=False).returncode


FAILED = "<failure/>"


@pytest.mark.parametrize(
    ("cases", "listed", "code"),
    [
        (case("test_a", "test_flaky", FAILED), LISTED, 0),
        (case("test_a", "test_flaky[one-2]", FAILED) + case("test_a", "test_other"), LISTED, 0),
        (case("test_a", "test_flaky", FAILED) + case("test_b", "test_flaky", FAILED), LISTED, 1),
        (case("test_a", "test_flaky_too", FAILED), LISTED, 1),
        (case("test_a", "test_flaky", "<error/>"), "", 1),
        (case("test_a", "test_flaky"), LISTED, 1),  # the run failed although no test did
        (None, LISTED, 1),
    ],
    ids=["listed", "with parameters", "another file", "another name", "empty list", "none", "no results"],
)
def test_only_failures_of_listed_tests_are_ignored(
    tmp_path: Path, cases: str | None, listed: str, code: int
) -> None:
    assert exit_code(tmp_path, cases, listed) == code


def test_an_unlisted_failure_in_any_of_several_results_is_found(tmp_path: Path) -> None:
    known_red = tmp_path / "KNOWN-RED.txt"
    known_red.write_text(LISTED)
    arguments = []
    for number, name in enumerate(["test_flaky", "test_other"]):
        results = tmp_path / f"results-{number}.xml"
        results.write_text(f"<testsuites><testsuite>{case('test_a', name, FAILED)}</testsuite></testsuites>")
        arguments.append(str(results))
    for chosen, code in (
        (arguments[:1], 0),
        (arguments, 1),
        ([*arguments[:1], str(tmp_path / "none.xml")], 1),
    ):
        command = [sys.executable, str(SCRIPT), *chosen, str(known_red)]
        assert subprocess.run(command, check=False).returncode == code
