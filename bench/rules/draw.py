"""Deployments drawn from a seed: settings of every kind that the wire page knows, and what goes wrong there.

It owns the ranges. It must never leave out a kind of setting because no known deployment has it: faults lay
on paths that the first deployment never took.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from cherrycove.scheduling import interface as api


@dataclass(frozen=True, slots=True)
class Deployment:
    """What a day is played on. Times are seconds."""

    seed: int
    settings: api.Settings
    nodes: int  # shards, each held by one node at a time, or by two
    zones: int
    twins: bool  # some shards have two nodes up
    volumes: int
    gap: float  # mean time between requests of a volume
    work: float  # mean time that a node needs
    late_list: float  # the longest that news of a node takes
    answers: tuple[float, ...]  # weights of served, error, full, refused, reset, silence
    crashes: float  # a second, over all nodes
    deaths: float  # of hosts, a second
    seconds: float
    retries: float  # part of the refused that come again
    lent: float = 0.0  # part of the room on cold nodes that peers lend each other; 0: they cannot talk

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
            f"seed {self.seed}: {s.schedulers} hosts, {self.nodes} shards, {self.zones} zones; "
            f"{classes}; {plans}; attempts {s.max_attempts}, extra {s.extra_spare}, "
            f"drain grace {s.drain_grace:.2f}, list {'asked for' if s.list_on_request else 'pushed'}"
        )


def _class(dice: random.Random, number: int, ordered: bool) -> api.RequestClass:
    effect = dice.choice([*api.Effect, api.Effect.KEYED])  # the kind with most ways to go wrong
    aim = dice.uniform(0.05, 0.8)
    return api.RequestClass(
        name=f"c{number}",
        aim=aim,
        deadline=aim * dice.uniform(1.2, 8.0),
        effect=effect,
        worth=dice.choice((0.0, 1.0, 3.0)),
        late_worth=dice.choice((0.0, 0.1, 0.5)),
        group=dice.choice(list(api.Group)),
        # Guard: a window may be shorter than the aim, or than the pause between attempts.
        repeat_window=dice.choice((dice.uniform(0.0, aim), dice.uniform(0.5, 5.0), dice.uniform(0.5, 5.0))),
        ordered=ordered and dice.random() < 0.5,
        writes=dice.random() < 0.5,
    )


def _plan(dice: random.Random, number: int, most: float, hosts: int) -> api.Plan:
    usual = dice.uniform(2.0, 20.0)
    limited = dice.random() < 0.5
    burst = max(2 * most * hosts, usual * dice.uniform(0.5, 2.0)) if limited else 0.0
    return api.Plan(
        name=f"p{number}",
        usual=usual,
        reserve=usual * dice.choice((0.0, 0.3, 1.0, 1.2)),
        weight=dice.choice((1.0, 3.0)),
        price=dice.choice((0.7, 1.0, 1.4)),
        limit=usual * dice.choice((0.3, 1.0, 8.0)) if limited else 0.0,
        burst=burst,
        slack=dice.choice((0.0, 0.1 * burst)) if limited else 0.0,
    )


def draw(seed: int) -> Deployment:
    """The deployment of this seed; the same on every machine."""
    dice = random.Random(seed)
    hosts, nodes = dice.choice((1, 2, 3, 5)), dice.choice((1, 2, 4, 8))
    most = float(dice.choice((1, 6, 8)))
    ordered, budget = dice.random() < 0.3, dice.random() < 0.3
    settings = api.Settings(
        schedulers=hosts,
        classes=tuple(_class(dice, n, ordered) for n in range(dice.randint(1, 4))),
        plans=tuple(_plan(dice, n, most, hosts) for n in range(dice.randint(1, 3))),
        max_attempts=dice.randint(1, 5),
        tick=dice.choice((0.001, 0.002)),
        answer_grace=0.008,
        cold_units=dice.choice((0.5, 2.0, 6.0)) * most * hosts,
        fall_window=dice.uniform(0.5, 3.0),
        start_capacity=dice.choice((0.18, 0.24, 1.0)),
        warm_after=dice.uniform(0.5, 4.0),
        drain_grace=dice.choice((0.0, 0.25, 2.0)),
        order_settle=dice.choice((0.0, 0.05, 0.3)) if ordered else 0.0,
        extra_spare=dice.choice((0.0, 1.0, 3.0)) if budget else None,
        extra_ratio=dice.choice((0.0, 0.05, 0.3)) if budget else 0.0,
        extra_window=dice.uniform(0.5, 3.0) if budget else 0.0,
        list_on_request=dice.random() < 0.3,
        ask_within=2.0,
        second_copies=dice.random() < 0.3,
        may_cancel=dice.random() < 0.5,
        may_probe=dice.random() < 0.5,
        retry_advice=dice.choice((0.0, 1.0)),
        max_units=most,
        usual_units=max(most / 3, 1.0),
        share_worth=0.35,
        spare_worth=0.1,
        meter_period=dice.choice((0.0, 0.5, 1.0)),
        tells_elsewhere=dice.random() < 0.5,
        shards=nodes,
        load_names=dice.choice(((), ("cpu_share",), ("busy_reqs", "svc_ms"))),
        fall_multiple=(1.0, 3.0, 4.0)[seed % 3],
    )
    trouble = dice.choice((0.02, 0.15, 0.5))
    answers = (1.0, *(trouble * dice.choice((0.0, 1.0)) for _ in range(5)))
    return Deployment(
        seed=seed,
        settings=settings,
        nodes=nodes,
        zones=dice.choice((1, 2, 3)),
        twins=dice.random() < 0.2,
        volumes=dice.randint(1, 6),
        gap=dice.choice((0.02, 0.06, 0.2)),
        work=dice.uniform(0.002, 0.1),
        late_list=dice.choice((0.05, 1.0)),
        answers=answers,
        crashes=dice.choice((0.0, 0.5, 2.0)),
        deaths=dice.choice((0.0, 0.0, 0.3)),
        seconds=dice.uniform(1.0, 3.0),
        retries=dice.choice((0.0, 0.7)),
        lent=dice.choice((0.0, 0.0, 0.8)),
    )
