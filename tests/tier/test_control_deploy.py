"""Compares the alternative layout with controllers (keepers) on core machines with the deployed layout."""

from __future__ import annotations

import tomllib
from pathlib import Path

DEPLOY = Path(__file__).parent.parent.parent / "deploy"


def test_the_layouts_differ_only_in_the_machines_of_the_keepers() -> None:
    deployed = tomllib.loads((DEPLOY / "system.toml").read_text(encoding="utf-8"))
    alternative = tomllib.loads((DEPLOY / "alternatives/keepers-on-core.toml").read_text(encoding="utf-8"))
    assert (deployed["roles"]["keeper"].pop("on"), alternative["roles"]["keeper"].pop("on")) == (
        "storage",
        "core",
    )
    assert deployed == alternative
