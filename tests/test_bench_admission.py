"""Admission experiments: simulation of a small site, reproducibility by seed, and constant overrides."""

from __future__ import annotations

from pathlib import Path

import pytest

from bench.admission.constants import ConstantError, ConstantSetting
from bench.admission.experiment import Experiment
from bench.admission.site import load_site
from cherrycove.tier.batch.leasing import grant_policy

SITE = """
name = "small"
length_s = 4.0
machines = [{ class = "front", zone = "a", count = 2 }, { class = "front", zone = "b", count = 2 }]
traffic = [
  { zone = "a", mix = { chat = 9.0, lots = 1.0 }, per_s = 20.0, clients = 5, shape = { kind = "flat" } },
  { zone = "b", mix = { chat = 9.0, lots = 1.0 }, per_s = 20.0, clients = 5, shape = { kind = "flat" } },
]

[net]
in_zone_ms = 0.1
cross_zone_ms = 1.0
client_ms = 2.0

[discovery]
lag_ms = 300

[[services]]
servers = [{ zone = "a", count = 2 }, { zone = "b", count = 2 }]
slots = 8
queue = 8
conn_cap = 40
speeds = [1.0, 1.3]

[services.llm]
step_ms = 1.4
step_ms_per_slot = 0.003
prefill_tokens_per_ms = 150.0
pairs_ms_per_m = 0.2
kv_tokens = 100000
stride = 20

[[classes]]
name = "chat"
kind = "stream"
aim_ms = 300
deadline_ms = 3000
timeout_ms = 3000
attempts = 2
priority = 0
worth = 3
late_worth = 0.9
[classes.stream]
pieces = { mean = 6.0, spread = 0.5, max = 20.0 }
prompt_tokens = { mean = 300.0, spread = 0.5, max = 2000.0 }
gap_aim_ms = 300
resume = true
chain = [{ tokens = { mean = 100.0, spread = 0.4, max = 200.0 }, things = 4 }]

[[classes]]
name = "lots"
kind = "batch"
aim_ms = 500
deadline_ms = 4000
timeout_ms = 6000
attempts = 3
priority = 2
worth = 3
late_worth = 0.8
[classes.stream]
pieces = { mean = 10.0, spread = 0.5, max = 20.0 }
prompt_tokens = { mean = 300.0, spread = 0.5, max = 2000.0 }
gap_aim_ms = 300
resume = true
chain = [{ tokens = { mean = 100.0, spread = 0.4, max = 200.0 }, things = 4 }]
[classes.lot]
run_aim_ms = 8000
items = { mean = 4.0, spread = 0.5, max = 10.0 }

[[day]]
name = "quiet"
seed = 1

[[day]]
name = "faulty"
seed = 2
plan = [{ at = 0.5, kind = "release", share = 0.5, gap_s = 0.5 }]
faults = [
  { at = 1.0, kind = "srv_crash", share = 0.25, for_s = 1.0, how = "dark" },
  { at = 1.5, kind = "srv_grey", share = 0.25, for_s = 1.0, how = "mute" },
  { at = 1.5, kind = "srv_flap", share = 0.25, for_s = 1.0, gap_s = 0.4 },
  { at = 2.0, kind = "herd_kill", share = 0.5, for_s = 0.5 },
  { at = 2.5, kind = "burst", x = 2.0, for_s = 1.0 },
  { at = 2.5, kind = "disk_slow" },
]
"""


@pytest.fixture
def site_file(tmp_path: Path) -> Path:
    path = tmp_path / "small.toml"
    path.write_text(SITE)
    return path


def test_a_day_without_faults_is_served_in_time(site_file: Path) -> None:
    site = load_site(site_file)
    result = Experiment(site, site.day("quiet"), seed=1).run()
    assert result.figures.mean >= 0.97
    assert set(result.figures.by_kind) == {"chat", "lots"}
    assert set(result.figures.by_zone) == {"a", "b"}
    assert result.skipped_faults == ()


def test_the_same_seed_gives_the_same_result_with_all_faults(site_file: Path) -> None:
    site = load_site(site_file)
    first, second = (Experiment(site, site.day("faulty"), seed=3).run() for _ in range(2))
    assert first == second
    assert 0.2 < first.figures.mean < 1.0
    assert first.skipped_faults == ("disk_slow",)


def test_an_experiment_sets_a_constant_of_the_program(monkeypatch: pytest.MonkeyPatch) -> None:
    # Makes monkeypatch restore the value at the end.
    monkeypatch.setattr(grant_policy, "USABLE_FRACTION", grant_policy.USABLE_FRACTION)
    ConstantSetting.parse("batch.leasing.grant_policy.USABLE_FRACTION=0.5").apply()
    assert grant_policy.lease_limit([100], 0) == 50


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("USABLE_FRACTION=1", "is not MODULE.NAME=VALUE"),
        ("batch.leasing.grant_policy.USABLE_FRACTION=much", "'much' is not a number"),
        ("batch.leasing.nowhere.USABLE_FRACTION=1", "there is no module"),
        ("batch.leasing.grant_policy.NOTHING=1", "has no numeric constant NOTHING"),
    ],
)
def test_an_invalid_setting_raises_an_error_with_the_reason(text: str, reason: str) -> None:
    with pytest.raises(ConstantError, match=reason):
        ConstantSetting.parse(text).apply()
