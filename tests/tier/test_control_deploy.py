"""The layout with keepers on machines of their own differs from the deployed one in nothing else."""

from __future__ import annotations

import tomllib
from pathlib import Path

DEPLOY = Path(__file__).parent.parent.parent / "deploy"


def test_keepers_on_core_machines_are_the_only_difference() -> None:
    deployed = tomllib.loads((DEPLOY / "system.toml").read_text(encoding="utf-8"))
    apart = tomllib.loads((DEPLOY / "alternatives/keepers-on-core.toml").read_text(encoding="utf-8"))
    assert (deployed["roles"]["keeper"].pop("on"), apart["roles"]["keeper"].pop("on")) == ("storage", "core")
    assert deployed == apart
