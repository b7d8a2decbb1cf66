"""Generates random deployments from a seed: every kind of setting that the wire page allows, and fault rates.

It defines the ranges. No kind of setting may be left out because no known deployment uses it: faults were
found on code paths that the first deployment never took.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from cherrycove.scheduling import interface as api


@dataclass(frozen=True, slots=True)
class Deployment:
    """Describes one simulation. Times are seconds."""

    seed: int
    settings: api.Settings
    shards: int  # each served by one node at a time, or by two
    zones: int
    paired_nodes: bool  # shards with an odd number have two nodes
    volumes: int
    gap: float  # mean time between requests of a volume
    service_time: float  # mean service time of a request
    max_list_delay: float  # longest delay of a node list update
    outcome_weights: tuple[float, ...]  # weights of served, error, full, refused, reset, no answer
    crashes: float  # node faults per second, over all nodes
    host_crashes: float  # host crashes per second, over all hosts
    seconds: float
    retry_fraction: float  # fraction of refused requests that are retried
    lent_fraction: float = 0.0  # of the capacity of cold nodes, lent between hosts; 0: no lending

    def describe(self) -> str:
        s = self.settings
        classes = "; ".join(
            f"{c.name} {c.effect.value}/{c.group.value} aim {c.aim:.3f} deadline {c.deadline:.2f}"
            f" window {c.repeat_window:.3f}{' ordered' if c.ordered else ''}"
            for c in s.classes
        )
        plans = "; ".join(
            f"{p.name} limit {p.limit:.1f} burst {p.burst:.1f} slack {p.slack:.1f}" for p in s.plans
        )
        return (
            f"seed {self.seed}: {s.schedulers} hosts, {self.shards} shards, {self.zones} zones; "
            f"{classes}; {plans}; attempts {s.max_attempts}, extra {s.extra_spare}, "
            f"drain grace {s.drain_grace:.2f}, list {'asked for' if s.list_on_request else 'pushed'}"
        )


def _class(rng: random.Random, number: int, ordered: bool) -> api.RequestClass:
    # KEYED is drawn more often, as it has the most failure modes.
    effect = rng.choice([*api.Effect, api.Effect.KEYED])
    aim = rng.uniform(0.05, 0.8)
    return api.RequestClass(
        name=f"c{number}",
        aim=aim,
        deadline=aim * rng.uniform(1.2, 8.0),
        effect=effect,
        worth=rng.choice((0.0, 1.0, 3.0)),
        late_worth=rng.choice((0.0, 0.1, 0.5)),
        group=rng.choice(list(api.Group)),
        # A window may be shorter than the aim, or than the pause between attempts.
        repeat_window=rng.choice((rng.uniform(0.0, aim), rng.uniform(0.5, 5.0), rng.uniform(0.5, 5.0))),
        ordered=ordered and rng.random() < 0.5,
        writes=rng.random() < 0.5,
    )


def _plan(rng: random.Random, number: int, max_units: float, hosts: int) -> api.Plan:
    usual = rng.uniform(2.0, 20.0)
    limited = rng.random() < 0.5
    burst = max(2 * max_units * hosts, usual * rng.uniform(0.5, 2.0)) if limited else 0.0
    return api.Plan(
        name=f"p{number}",
        usual=usual,
        reserve=usual * rng.choice((0.0, 0.3, 1.0, 1.2)),
        weight=rng.choice((1.0, 3.0)),
        price=rng.choice((0.7, 1.0, 1.4)),
        limit=usual * rng.choice((0.3, 1.0, 8.0)) if limited else 0.0,
        burst=burst,
        slack=rng.choice((0.0, 0.1 * burst)) if limited else 0.0,
    )


def draw(seed: int) -> Deployment:
    """Return the deployment of this seed, which is the same on every machine."""
    rng = random.Random(seed)
    hosts, shards = rng.choice((1, 2, 3, 5)), rng.choice((1, 2, 4, 8))
    max_units = float(rng.choice((1, 6, 8)))
    ordered, budget = rng.random() < 0.3, rng.random() < 0.3
    settings = api.Settings(
        schedulers=hosts,
        classes=tuple(_class(rng, n, ordered) for n in range(rng.randint(1, 4))),
        plans=tuple(_plan(rng, n, max_units, hosts) for n in range(rng.randint(1, 3))),
        max_attempts=rng.randint(1, 5),
        tick=rng.choice((0.001, 0.002)),
        answer_grace=0.008,
        cold_units=rng.choice((0.5, 2.0, 6.0)) * max_units * hosts,
        fall_window=rng.uniform(0.5, 3.0),
        start_capacity=rng.choice((0.18, 0.24, 1.0)),
        warm_after=rng.uniform(0.5, 4.0),
        drain_grace=rng.choice((0.0, 0.25, 2.0)),
        order_settle=rng.choice((0.0, 0.05, 0.3)) if ordered else 0.0,
        extra_spare=rng.choice((0.0, 1.0, 3.0)) if budget else None,
        extra_ratio=rng.choice((0.0, 0.05, 0.3)) if budget else 0.0,
        extra_window=rng.uniform(0.5, 3.0) if budget else 0.0,
        list_on_request=rng.random() < 0.3,
        ask_within=2.0,
        second_copies=rng.random() < 0.3,
        may_cancel=rng.random() < 0.5,
        may_probe=rng.random() < 0.5,
        retry_advice=rng.choice((0.0, 1.0)),
        max_units=max_units,
        usual_units=max(max_units / 3, 1.0),
        share_worth=0.35,
        spare_worth=0.1,
        meter_period=rng.choice((0.0, 0.5, 1.0)),
        tells_elsewhere=rng.random() < 0.5,
        shards=shards,
        load_names=rng.choice(((), ("cpu_share",), ("busy_reqs", "svc_ms"))),
        fall_multiple=(1.0, 3.0, 4.0)[seed % 3],
    )
    fault_weight = rng.choice((0.02, 0.15, 0.5))
    outcome_weights = (1.0, *(fault_weight * rng.choice((0.0, 1.0)) for _ in range(5)))
    return Deployment(
        seed=seed,
        settings=settings,
        shards=shards,
        zones=rng.choice((1, 2, 3)),
        paired_nodes=rng.random() < 0.2,
        volumes=rng.randint(1, 6),
        gap=rng.choice((0.02, 0.06, 0.2)),
        service_time=rng.uniform(0.002, 0.1),
        max_list_delay=rng.choice((0.05, 1.0)),
        outcome_weights=outcome_weights,
        crashes=rng.choice((0.0, 0.5, 2.0)),
        host_crashes=rng.choice((0.0, 0.0, 0.3)),
        seconds=rng.uniform(1.0, 3.0),
        retry_fraction=rng.choice((0.0, 0.7)),
        lent_fraction=rng.choice((0.0, 0.0, 0.8)),
    )
