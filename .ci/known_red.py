"""Whether all tests that failed are listed in KNOWN-RED.txt: ``known_red.py RESULTS.xml... KNOWN-RED.txt``.

Prints the failed tests. Exit code: 0 if some failed and all of these are listed, 1 otherwise (also where a
run ended without results, or with an error outside a test).
"""

from __future__ import annotations

import sys
import xml.etree.ElementTree as ElementTree
from pathlib import Path


def failed_tests(results: Path) -> set[str]:
    """Return the tests that failed, as ``path::function`` without parameters."""
    failed: set[str] = set()
    for case in ElementTree.parse(results).iter("testcase"):
        if case.find("failure") is None and case.find("error") is None:
            continue
        path = case.get("classname", "").replace(".", "/")
        failed.add(f"{path}.py::{case.get('name', '').partition('[')[0]}")
    return failed


def listed_tests(known_red: Path) -> set[str]:
    """Return the tests that the list names: the part of each line before the first ``: ``."""
    lines = known_red.read_text(encoding="utf-8").splitlines()
    return {line.partition(": ")[0].strip() for line in lines if line.strip()}


def main() -> int:
    """Compare the two files that the command line names."""
    *results, known_red = map(Path, sys.argv[1:])
    if not results or not all(path.exists() for path in results):
        print("the tests left no results")
        return 1
    failed = set().union(*map(failed_tests, results))
    listed = listed_tests(known_red)
    for test in sorted(failed):
        print(f"failed, {'known' if test in listed else 'NOT known'}: {test}")
    return 0 if failed and failed <= listed else 1


if __name__ == "__main__":
    sys.exit(main())
