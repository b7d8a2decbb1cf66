"""Guards of the decision module taken out one at a time, to show that the checker would miss none of them.

It owns the list, and how a copy of the module without one is played. It must never touch the tree itself.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
PACKAGES = ("bench", "cherrycove")


@dataclass(frozen=True, slots=True)
class Mutant:
    name: str
    file: str  # of cherrycove.scheduling
    guard: str  # as it stands there, once
    instead: str
    rule: str  # that is broken without it
    seed: int  # the first from 0 that found it, when last searched (python -m bench.rules --mutants)


MUTANTS = (
    Mutant(
        "a cell is one shard's",
        "retry_safety.py",
        "return (node.shard, node.incarnation) == (ran.shard, ran.incarnation)",
        "return True",
        "duplicate",
        18,
    ),
    Mutant(
        "another life is another node",
        "retry_safety.py",
        "return (node.shard, node.incarnation) == (ran.shard, ran.incarnation)",
        "return node.shard == ran.shard",
        "duplicate",
        18,
    ),
    Mutant("repeats within their window", "retry_safety.py", "or when > ran.until", "", "duplicate", 16),
    Mutant(
        "repeats within their zone",
        "retry_safety.py",
        "return node.zone == ran.zone",
        "return True",
        "duplicate",
        27,
    ),
    Mutant(
        "refused only where harmless",
        "retry_safety.py",
        "return ran is None or cls.effect is Effect.SAFE or (",
        "return True or (",
        "refusal",
        0,
    ),
    Mutant(
        "no send once a node drains",
        "node_membership.py",
        "node.id, node.absence_reason = None, self._node_list.reason_absent(node.shard)",
        "node.absence_reason = self._node_list.reason_absent(node.shard)",
        "drain",
        0,
    ),
    Mutant(
        "the limit's even part",
        "state.py",
        "self.plan.limit / self.hosts * part, self.plan.burst / self.hosts * part",
        "self.plan.limit, self.plan.burst",
        "limit",
        7,
    ),
    Mutant(
        "the limit's store fills from the start",
        "credits.py",
        "Volume(event.volume, plan, full, state.started, hosts)",
        "Volume(event.volume, plan, full, -1e9, hosts)",
        "limit",
        9,
    ),
    Mutant("room on cold nodes", "slow_start.py", "if not self.is_cold(node, now):", "if True:", "cold", 17),
    Mutant(
        "what a cold node has earned",
        "slow_start.py",
        "SERVED_MULTIPLE_FRACTION = 0.5",
        "SERVED_MULTIPLE_FRACTION = 5.0",
        "cold",
        30,
    ),
    Mutant(
        "the key's turn",
        "key_order.py",
        "request.waits_turn = len(chain) > 1",
        "request.waits_turn = False",
        "order",
        6,
    ),
    Mutant(
        "the budget of further attempts",
        "retry_policy.py",
        "self._retried.total(now) + 1 <= allowed",
        "True",
        "budget",
        2,
    ),
    Mutant(
        "as many attempts as may be",
        "retry_policy.py",
        "if request.attempts >= self._state.settings.max_attempts:",
        "if False:",
        "attempts",
        1,
    ),
    Mutant(
        "an answer in time",
        "arrivals.py",
        "state.timers.schedule(request.deadline, self._attempts.retry, request)",
        "",
        "answer",
        22,
    ),
    Mutant(
        "half of its time",
        "load_shedding.py",
        "if not request.done and not request.attempts:",
        "if False:",
        "half",
        1,
    ),
)


def found_by(mutant: Mutant, seeds: range) -> str:
    """The first of these seeds that finds a rule broken, and the rule; "none"."""
    with tempfile.TemporaryDirectory() as folder:
        for package in PACKAGES:
            shutil.copytree(
                ROOT / package, Path(folder) / package, ignore=shutil.ignore_patterns("__pycache__")
            )
        file = Path(folder) / "cherrycove" / "scheduling" / mutant.file
        text = file.read_text(encoding="utf-8")
        if text.count(mutant.guard) != 1:
            raise ValueError(f"{file.name} does not hold the guard of {mutant.name!r} just once")
        file.write_text(text.replace(mutant.guard, mutant.instead), encoding="utf-8")
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "bench.rules",
                "--until-broken",
                "--first",
                str(seeds.start),
                "--seeds",
                str(len(seeds)),
            ],
            cwd=folder,
            capture_output=True,
            text=True,
        )
        if done.returncode not in (0, 1) or not done.stdout:
            raise RuntimeError(done.stderr)
        return done.stdout.strip()
