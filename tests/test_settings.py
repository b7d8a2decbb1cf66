"""Settings of other deployments: used, ignored and unknown names, and that each is documented."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import pytest
from support import raw

from cherrycove.broker import config
from cherrycove.scheduling import settings_check as known
from cherrycove.scheduling import simulator_codec as wire


def test_the_example_has_no_unknown_settings_and_an_unknown_name_is_reported() -> None:
    whole = raw()
    assert (
        config.parse_platform_config(whole, {}).unknown_settings
        == ()
        == config.parse_platform_config(whole, {}).unsupported_settings
    )
    whole["settings"]["guarantees"]["sparesOnly"] = 3
    whole["settings"]["classes"][1]["stream"] = True
    whole["settings"]["classes"][0]["prio"] = 1
    whole["chaos"] = {}
    found = config.parse_platform_config(whole, {})
    assert found.unknown_settings == ("classes[].prio", "guarantees.sparesOnly", "chaos")
    assert len(found.unsupported_settings) == 1 and "claim-write" in found.unsupported_settings[0]


class RecordingSettings(dict[str, Any]):
    """A settings object that records which of its names are looked up."""

    def __init__(self, raw: dict[str, Any], at: str, seen: set[str]) -> None:
        super().__init__(
            {key: self._wrap(value, f"{at}.{key}" if at else key, seen) for key, value in raw.items()}
        )
        self.at, self.seen = at, seen

    @classmethod
    def _wrap(cls, value: Any, at: str, seen: set[str]) -> Any:
        if isinstance(value, dict):
            return cls(value, at, seen)
        return [cls._wrap(each, f"{at}[]", seen) for each in value] if isinstance(value, list) else value

    def __getitem__(self, key: str) -> Any:
        self.seen.add(f"{self.at}.{key}" if self.at else key)
        return super().__getitem__(key)

    def get(self, key: str, default: Any = None) -> Any:
        self.seen.add(f"{self.at}.{key}" if self.at else key)
        return super().get(key, default)


def test_the_settings_listed_as_used_are_the_ones_read(monkeypatch: pytest.MonkeyPatch) -> None:
    seen: set[str] = set()
    settings = raw()["settings"] | {"me": 0}
    settings["limits"]["mayTell"] = True
    whole = raw() | {
        "settings": RecordingSettings(settings, "", seen),
        "peers": ["127.0.0.1:1"],
        "peer_listen": "127.0.0.1:1",
    }
    loads = wire.json.loads
    monkeypatch.setattr(wire.json, "loads", lambda text: RecordingSettings(loads(text), "", seen))
    monkeypatch.setattr(
        config.platform_file.json, "dumps", lambda value: wire.json.JSONEncoder().encode(dict(value))
    )
    monkeypatch.setattr(known, "setting_paths", lambda info: set())  # it looks up all names
    monkeypatch.setattr(known, "unsupported_requests", lambda info: [])
    config.parse_platform_config(whole, {})
    assert seen == known.USED_NAMES


def test_the_page_on_deployments_names_every_setting() -> None:
    """Its table says for each setting what uses it, or why nothing does."""
    page = (Path(__file__).parent.parent / "docs/design/deployments.md").read_text(encoding="utf-8")
    named = set(re.findall(r"`([A-Za-z]+(?:\[\])?(?:\.[A-Za-z]+)?)`", page))
    assert (known.USED_NAMES | known.IGNORED_NAMES) - named == set()
