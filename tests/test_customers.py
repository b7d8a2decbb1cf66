"""Settings of other customers: the program starts with them, keeps the rules, and reports invalid values."""

from __future__ import annotations

import asyncio
import copy
import json
import os
import re
import signal
import sys
import tomllib
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from support import RAW, ROOT, Node, answer, message, run

from bench.rules.draw import draw
from bench.rules.simulation import Simulation
from cherrycove.broker import config
from cherrycove.scheduling import settings_check as known

SITES = {
    path.stem: tomllib.loads(path.read_text(encoding="utf-8"))
    for path in sorted((ROOT / "deploy/sites").glob("*/*.toml"))
}
EFFECTS = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}
MS = 1_000_000  # ns


def settings(site: dict[str, Any]) -> dict[str, Any]:
    """Return a site's settings in the format in which the platform sends them to a broker."""
    whole, allow, rules = copy.deepcopy(RAW["settings"]), site["allow"], site["rules"]
    whole["classes"] = [
        {
            "name": cls["name"],
            "aimNs": cls["aim_ms"] * MS,
            "deadlineNs": cls["deadline_ms"] * MS,
            "gain": cls["worth"],
            "lateValue": cls["late_worth"],
            "idempotency": EFFECTS[cls["effect"]],
            "group": cls.get("group", "all"),
            "windowNs": cls.get("window_ms", 5000) * MS,
            "stream": False,
        }
        for cls in site["class"]
    ]
    whole["policies"] = []
    for tenant, plan in zip(site["tenant"], site["fam"]["plan"], strict=True):
        rate = 10.0 * plan["size"]
        limit = rate * plan.get("limit", 0.0)
        burst = max(limit * max(plan.get("burst_s", [0.0])), 8.0 * site["fam"]["most_units"] * bool(limit))
        whole["policies"].append(
            {
                "name": tenant["name"],
                "nominal": rate,
                "floorRate": rate * plan["reserve"],
                "parts": plan["weight"],
                "valueFactor": plan["price"],
                "ceilingRate": limit,
                "burst": burst,
                "capSlack": site["fam"]["slack"] * burst,
            }
        )
    whole["familyInfo"] |= {
        "writes": [cls["write"] for cls in site["class"]],
        "maxUnits": site["fam"]["most_units"],
        "meterNs": int(site["fam"]["meter_s"] * 1000) * MS,
        "countsOthers": site["fam"]["tells"] == "both",
    }
    whole["guarantees"] |= {
        "drainGraceNs": rules["drain_grace_ms"] * MS,
        "fallNs": rules["fall_ms"] * MS,
        "fallMultiple": rules["fall_multiple"],
    }
    whole["limits"] |= {
        "cancel": allow["cancel"],
        "probing": allow["probes"],
        "mayTell": allow["peers"],
        "secondCopies": allow["second_copies"],
        "retryAfter": allow["retry_after"],
        "maxAttempts": allow["max_attempts"],
        "maxRetryAfterNs": site["clients"]["max_retry_after_ms"] * MS,
        "dialTimeoutNs": site["tier"][0]["conn"]["connect_timeout_ms"] * MS,
        "connIdleNs": site["tier"][0]["conn"]["idle_s"] * 1000 * MS,
    }
    whole["zones"], whole["feedback"] = site["net"]["zones"], {"how": "none", "names": []}
    whole["clients"] = {"marksRetry": site["clients"]["marks_retry"]}
    return whole


@pytest.mark.parametrize("first", range(0, 60, 20))
@pytest.mark.parametrize("name", SITES)
def test_no_rule_is_broken_with_another_customers_settings(name: str, first: int) -> None:
    """Faults, the numbers of hosts and shards, and node speeds are drawn at random."""
    whole = config.parse_platform_config(
        copy.deepcopy(RAW) | {"settings": settings(SITES[name])}, {}
    ).settings
    broken = {}
    for seed in range(first, first + 20):
        day = draw(seed)
        drawn = day.settings
        theirs = replace(
            whole,
            schedulers=drawn.schedulers,
            shards=drawn.shards,
            cold_units=drawn.cold_units,
            warm_after=drawn.warm_after,
            start_capacity=drawn.start_capacity,
            tick=drawn.tick,
            plans=tuple(
                replace(
                    plan, burst=max(plan.burst, 2 * whole.max_units * drawn.schedulers) if plan.limit else 0.0
                )
                for plan in whole.plans
            ),
        )
        if words := Simulation(replace(day, settings=theirs)).run():
            broken[seed] = words
    assert not broken


@pytest.mark.parametrize("name", SITES)
def test_the_program_starts_and_serves_each_class_of_another_customer(name: str, tmp_path: Path) -> None:
    async def story() -> None:
        site = SITES[name]
        node = await Node().start()
        whole = copy.deepcopy(RAW) | {"settings": settings(site), "listen": "127.0.0.1:0"}
        del whole["admin"]
        for cls in whole["settings"]["classes"]:  # so that a busy machine does not fail the test
            cls["aimNs"], cls["deadlineNs"] = 40 * cls["aimNs"], 40 * cls["deadlineNs"]
        whole["known"]["endpoints"] = [
            whole["known"]["endpoints"][0]
            | {"address": f"127.0.0.1:{node.port}", "zone": site["net"]["zones"][0]}
        ]
        path = tmp_path / "config.json"
        path.write_text(json.dumps(whole))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cherrycove",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env=os.environ
            | {
                "RELAY_CONFIG": str(path),
                "TMPDIR": str(tmp_path),
                "CHERRYCOVE_OPERATOR": str(tmp_path / "none.toml"),
            },
        )
        assert process.stderr is not None
        while b"broker.serves " not in (line := await process.stderr.readline()):
            assert line and b"ERROR" not in line
        port = int(line.rpartition(b"port=")[2])
        for number, cls in enumerate(site["class"]):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(
                message(
                    cls["name"],
                    "PUT" if cls["write"] else "GET",
                    id=f"c{number}",
                    body=b"x" * 100 * cls["write"],
                    Tier=site["tenant"][0]["name"],
                    **({"Idempotency_Key": f"k{number}"} if cls["effect"] == "keyed" else {}),
                )
            )
            status, _, data = await answer(reader)
            assert (status, data) == (200, f"data of c{number}".encode()), cls["name"]
            writer.close()
        process.send_signal(signal.SIGTERM)
        await process.stderr.read()
        assert await process.wait() == 0

    run(story())


def places(info: Any, at: tuple[Any, ...] = ()) -> Iterator[tuple[tuple[Any, ...], str]]:
    """Yield the path of each setting in use, and its name on the wire protocol page."""
    path = "".join("[]" if isinstance(each, int) else f".{each}" for each in at).removeprefix(".")
    if path in known.USED_NAMES:
        yield at, path
    for key, value in (
        info.items() if isinstance(info, dict) else enumerate(info) if isinstance(info, list) else ()
    ):
        yield from places(value, (*at, key))


@pytest.mark.parametrize("name", SITES)
def test_a_setting_of_the_wrong_type_is_named_with_its_file_and_reason(name: str, tmp_path: Path) -> None:
    right = copy.deepcopy(RAW) | {"settings": settings(SITES[name])}
    path = tmp_path / "config.json"
    for at, page in places(right["settings"]):
        for wrong in ("x", None, [1], {"a": 1}, True, -1, float("nan"), 10**400):
            whole = copy.deepcopy(right)
            owner = whole["settings"]
            for key in at[:-1]:
                owner = owner[key]
            if type(owner[at[-1]]) is type(wrong) and wrong != -1 and wrong == wrong or page == "feedback":
                continue
            owner[at[-1]] = wrong
            path.write_text(json.dumps(whole))
            place = "settings" + "".join(f"[{k}]" if isinstance(k, int) else f".{k}" for k in at)
            with pytest.raises(config.ConfigError) as found:
                config.load_platform_config({"RELAY_CONFIG": str(path)})
            assert str(found.value).startswith(f"{path}: {place}"), (place, wrong)


@pytest.mark.parametrize(
    ("at", "wrong"),
    [("limits.sockets", 10**19), ("limits.memory_mb", 10**400), ("limits.memory_mb", float("inf"))],
    ids=["sockets", "memory", "infinite"],
)
def test_a_limit_beyond_any_machine_is_named_with_its_file_and_reason(
    at: str, wrong: float, tmp_path: Path
) -> None:
    whole, path = copy.deepcopy(RAW), tmp_path / "config.json"
    whole["limits"][at.partition(".")[2]] = wrong
    path.write_text(json.dumps(whole))
    with pytest.raises(config.ConfigError, match=f"{re.escape(str(path))}: {at} must be"):
        config.load_platform_config({"RELAY_CONFIG": str(path)})


@pytest.mark.parametrize("depth", [500, 100_000])  # within the depth that the JSON parser accepts, and beyond
def test_a_file_that_is_nested_too_deeply_is_named(depth: int, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text('{"settings": ' + '{"a": ' * depth + "1" + "}" * depth + "}")
    with pytest.raises(config.ConfigError, match=re.escape(str(path))):
        config.load_platform_config({"RELAY_CONFIG": str(path)})


@pytest.mark.parametrize("name", SITES)
def test_a_setting_that_is_missing_is_named_or_not_needed(name: str, tmp_path: Path) -> None:
    right = copy.deepcopy(RAW) | {"settings": settings(SITES[name])}
    path, needed = tmp_path / "config.json", 0
    for at, _ in places(right["settings"]):
        whole = copy.deepcopy(right)
        owner = whole["settings"]
        for key in at[:-1]:
            owner = owner[key]
        del owner[at[-1]]
        path.write_text(json.dumps(whole))
        try:
            config.load_platform_config({"RELAY_CONFIG": str(path)})
        except config.ConfigError as error:
            assert str(error).startswith(f"{path}: settings") and str(at[-1]) in str(error)
            needed += 1
    assert needed > 30
