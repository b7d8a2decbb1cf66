"""``deploy/system.toml`` lists every system package that the build and the programs need.

A machine of a deployment has only the packages listed there and their dependencies.
"""

from __future__ import annotations

import re
import shlex
import tomllib
from collections.abc import Iterator
from importlib.metadata import Distribution, distribution
from pathlib import Path
from typing import Any

import pytest
from packaging.requirements import Requirement

ROOT = Path(__file__).parents[2]
SHELL = "sh"  # runs the build line
PACKAGE_OF_COMMAND = {  # determined with dpkg -S
    SHELL: "dash",
    "cmp": "diffutils",
    "cp": "coreutils",
    "python3": "python3",
}
# Modules run with python3 -m.
PACKAGE_OF_MODULE = {"pip": "python3-pip", "compileall": "python3", "cherrycove.tier": ""}
PACKAGE_OF_LIBRARY = {
    "libc.so.6": "libc6",
    "libm.so.6": "libc6",
    "libpthread.so.0": "libc6",
    "libgcc_s.so.1": "libgcc-s1",
    "libstdc++.so.6": "libstdc++6",
}
# Used to access the registry over TLS; not referenced by a command or library.
PACKAGES_OF_PIP = {"ca-certificates"}
LIBRARY_NAME = re.compile(rb"\0(lib[\w+-]+\.so(?:\.\d+)*)(?=\0)")  # as it appears in a binary that loads it
SHELL_OPERATORS = set("&|()")


def deployment() -> dict[str, Any]:
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def build_commands() -> list[list[str]]:
    """Return the simple commands of the build line."""
    commands: list[list[str]] = [[]]
    words = shlex.shlex(deployment()["build"], posix=True, punctuation_chars=True)
    words.whitespace_split = True
    for word in words:
        if set(word) <= SHELL_OPERATORS:
            commands.append([])
        else:
            commands[-1].append(word)
    return [command for command in commands if command]


def run_commands() -> list[list[str]]:
    return [role["run"].split(" ") for role in deployment()["roles"].values()]


def packages_of(command: list[str]) -> set[str]:
    packages = {PACKAGE_OF_COMMAND[command[0]]}
    if command[0] == "python3":
        assert command[1] == "-m"
        packages |= {PACKAGE_OF_MODULE[command[2]]} - {""}
    return packages


def requirement_lines(name: str) -> Iterator[str]:
    for line in (ROOT / name).read_text().splitlines():
        requirement = line.partition("#")[0].strip()
        if requirement.startswith("-r "):
            yield from requirement_lines(requirement.removeprefix("-r "))
        elif requirement:
            yield requirement


def pinned() -> dict[str, Requirement]:
    requirements = [Requirement(line) for line in requirement_lines("requirements-tier.txt")]
    return {canonical(requirement.name): requirement for requirement in requirements}


def canonical(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).lower()


def installed() -> list[Distribution]:
    return [distribution(name) for name in pinned()]


def libraries_loaded() -> set[str]:
    """Return the shared libraries that the compiled modules of all pinned wheels reference."""
    names: set[str] = set()
    for wheel in installed():
        for file in wheel.files or []:
            if ".so" in file.suffixes:
                found = LIBRARY_NAME.findall(Path(str(file.locate())).read_bytes())
                names |= {name.decode() for name in found}
    return names


def test_packages_are_exactly_those_of_the_commands_and_libraries() -> None:
    needed = PACKAGES_OF_PIP | {PACKAGE_OF_COMMAND[SHELL]}
    for command in build_commands() + run_commands():
        needed |= packages_of(command)
    needed |= {PACKAGE_OF_LIBRARY[library] for library in libraries_loaded()}
    assert deployment()["packages"] == sorted(needed)


def test_the_build_installs_only_wheels_so_that_no_compiler_is_needed() -> None:
    (install,) = [command for command in build_commands() if command[1:4] == ["-m", "pip", "install"]]
    assert "--only-binary=:all:" in install
    assert install[-2:] == ["-r", "requirements-tier.txt"]


@pytest.mark.parametrize("name", sorted(pinned()))
def test_each_requirement_and_its_dependencies_are_pinned(name: str) -> None:
    pins = pinned()
    assert re.fullmatch(r"==[\w.]+", str(pins[name].specifier))
    for line in distribution(name).requires or []:
        needed = Requirement(line)
        if needed.marker is None or needed.marker.evaluate({"extra": ""}):
            assert canonical(needed.name) in pins


@pytest.mark.parametrize("name", sorted(pinned()))
def test_each_requirement_has_a_pure_python_or_manylinux_wheel(name: str) -> None:
    tags = re.findall(r"^Tag: (.+)$", distribution(name).read_text("WHEEL") or "", re.MULTILINE)
    assert tags
    assert all(tag.endswith("-none-any") or "-manylinux" in tag for tag in tags)
