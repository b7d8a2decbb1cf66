"""The rules of the wire page, held against what hosts are told, what they do, and what becomes of it.

It owns one book a rule and the words for what is broken. It must never look into a scheduler, draw anything,
or forgive: a rule that allows slack says how much here.
"""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass, field
from math import inf

from cherrycove.scheduling import interface as api

HALF = 0.5  # part of a request's time after which one with no attempt must have its answer (the operators')
ROUNDING = 1e-6


@dataclass(slots=True, eq=False)
class Try:
    node: api.Node
    sent: float
    ended: float = inf
    outcome: api.Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        return self.outcome is None or not self.outcome.never_ran


@dataclass(slots=True, eq=False)
class Taken:
    event: api.RequestArrival
    cls: api.RequestClass
    at: float
    tries: list[Try] = field(default_factory=list)
    answered: float | None = None
    gone: bool = False  # its client has left: an answer that crosses that is disregarded

    @property
    def out(self) -> int:
        return sum(each.outcome is None for each in self.tries)


@dataclass(slots=True)
class Store:
    """A volume's limit, over all hosts."""

    level: float
    at: float


class Checker:
    """One day. ``broken`` holds (rule, words) in the order in which they were found."""

    def __init__(self, settings: api.Settings, lent: float = 0.0) -> None:
        self.settings, self._lent = settings, lent
        self.broken: list[tuple[str, str]] = []
        self._taken: dict[tuple[int, int], Taken] = {}  # by host's life and request
        self._chains: dict[tuple[int, str], list[Taken]] = defaultdict(list)
        self._known: dict[int, dict[str, api.Node]] = defaultdict(dict)
        self._shut: dict[tuple[int, str], float] = {}  # since when a host knows that a node takes nothing
        self._arrived: dict[int, deque[float]] = defaultdict(deque)
        self._extras: dict[int, deque[float]] = defaultdict(deque)
        self._stores: dict[str, Store] = {}
        self._cold: dict[tuple[str, float], deque[tuple[float, float]]] = defaultdict(deque)
        self._most: dict[tuple[str, float], float] = defaultdict(float)
        self._did: dict[tuple[str, float], deque[tuple[float, float]]] = defaultdict(deque)

    def _break(self, rule: str, now: float, words: str) -> None:
        self.broken.append((rule, f"{now:.4f} s: {words}"))

    # What a host is told.

    def listed(self, host: int, now: float, event: api.NodeListUpdate) -> None:
        if event.kind is not api.ListKind.CHANGES:
            named = {node.id for node in event.nodes}
            for name, node in self._known[host].items():
                if name not in named:
                    self._shut.setdefault((host, node.id), now)
        for node in event.nodes:
            self._known[host][node.id] = node
            if node.state is api.NodeState.UP:
                self._shut.pop((host, node.id), None)
            else:
                self._shut.setdefault((host, node.id), now)

    def arrived(self, host: int, now: float, event: api.RequestArrival) -> None:
        taken = Taken(event, self.settings.classes[event.cls], now)
        self._taken[host, event.request] = taken
        self._arrived[host].append(now)
        if taken.cls.ordered and event.key:
            self._chains[host, event.key].append(taken)

    def ended(self, host: int, now: float, event: api.AttemptEnd) -> None:
        taken = self._taken[host, event.request]
        each = taken.tries[event.attempt]
        each.ended, each.outcome = now, event.outcome
        if event.outcome is api.Outcome.SERVED and each.node.started is not None:
            self._did[each.node.id, each.node.started].append((now, taken.event.units))
        if event.outcome is api.Outcome.SERVED and taken.answered is None:
            self._answer(taken, now, "served")

    def left(self, host: int, now: float, request: int) -> None:
        """Its client has gone; no answer is owed."""
        taken = self._taken.get((host, request))
        if taken is not None and taken.answered is None:
            taken.answered, taken.gone = now, True

    def died(self, host: int) -> None:
        """What it held is its clients' to repeat."""
        for key in [key for key in self._taken if key[0] == host]:
            del self._taken[key]
        self._chains = defaultdict(list, {k: v for k, v in self._chains.items() if k[0] != host})
        self._known.pop(host, None)
        self._shut = {key: since for key, since in self._shut.items() if key[0] != host}
        self._arrived.pop(host, None)
        self._extras.pop(host, None)

    # What it does.

    def did(self, host: int, now: float, action: api.Action) -> api.Node | None:
        """Hold an action against the rules; for a send the node that it goes to."""
        s = self.settings
        match action:
            case api.Send(request, name, _, _, within):
                return self._sent(host, now, request, name, inf if within is None else within)
            case api.Refuse(request):
                taken = self._taken.get((host, request))
                if taken is None:
                    self._break("own", now, f"refused {request}, which it was never given")
                elif not self._harmless(taken):
                    self._break(
                        "refusal",
                        now,
                        f"{taken.cls.effect.value}/{taken.cls.group.value} request "
                        f"{request} refused though an attempt may have run",
                    )
                if taken is not None:
                    self._answer(taken, now, "refused")
            case api.Fail(request):
                taken = self._taken.get((host, request))
                if taken is None:
                    self._break("own", now, f"failed {request}, which it was never given")
                else:
                    self._answer(taken, now, "failed")
            case api.Cancel() if not s.may_cancel:
                self._break("own", now, "called an attempt off where that is not allowed")
            case api.Probe() if not s.may_probe:
                self._break("own", now, "probed where that is not allowed")
        return None

    def _answer(self, taken: Taken, now: float, how: str) -> None:
        number, budget = taken.event.request, taken.event.budget
        if taken.gone:
            return
        if taken.answered is not None:
            self._break("answer", now, f"request {number} answered twice ({how})")
        elif now > taken.at + budget + self.settings.answer_grace + ROUNDING:
            self._break("answer", now, f"request {number} {how} {now - taken.at - budget:.3f} s too late")
        elif not taken.tries and now > taken.at + HALF * budget + 2 * self.settings.tick:
            self._break("half", now, f"request {number} {how} with no attempt after more than half its time")
        taken.answered = now if taken.answered is None else taken.answered

    def _harmless(self, taken: Taken) -> bool:
        if taken.cls.effect is api.Effect.SAFE or not any(each.may_have_run for each in taken.tries):
            return True
        return taken.cls.effect is api.Effect.KEYED and taken.cls.group is api.Group.ALL

    def _sent(self, host: int, now: float, request: int, name: str, within: float) -> api.Node | None:
        node, taken = self._known[host].get(name), self._taken.get((host, request))
        if node is None or taken is None:
            self._break("own", now, f"sent {request} to {name}: one of them it was never told of")
            return None
        if taken.answered is not None:
            self._break("answer", now, f"sent {request}, which is over")
        since = self._shut.get((host, name), inf)
        if now > since + self.settings.drain_grace + ROUNDING:
            self._break("drain", now, f"sent {request} to {name} {now - since:.3f} s after it was told")
        if len(taken.tries) >= self.settings.max_attempts:
            self._break("attempts", now, f"attempt {len(taken.tries) + 1} of request {request}")
        if taken.out and not self.settings.second_copies:
            self._break("duplicate", now, f"two attempts of request {request} are out")
        self._effects(taken, now, node, within)
        self._turn(host, taken, now)
        if taken.tries:
            self._budget(host, now)
        else:
            self._limit(taken, now)
        self._cold_room(host, node, now, taken.event.units)
        taken.tries.append(Try(node, now))
        return node

    def _effects(self, taken: Taken, now: float, node: api.Node, within: float) -> None:
        cls, ran = taken.cls, [each for each in taken.tries if each.may_have_run]
        if not ran or cls.effect is api.Effect.SAFE:
            return
        first = ran[0]
        words = f"{cls.effect.value}/{cls.group.value} request {taken.event.request} sent again"
        if cls.effect is api.Effect.UNSAFE:
            return self._break("duplicate", now, words)
        if now + within > first.sent + cls.repeat_window + ROUNDING:
            self._break("duplicate", now, f"{words}, and may leave later than its window lasts")
        if now > first.sent + cls.repeat_window + ROUNDING:
            late = now - first.sent - cls.repeat_window
            self._break("duplicate", now, f"{words} {late:.4f} s behind its window")
        if cls.group is api.Group.ZONE and node.zone != first.node.zone:
            self._break("duplicate", now, f"{words} in another zone")
        one = (node.id, node.started) == (first.node.id, first.node.started)
        # The wire's cell is the shard; a node that took another's place there may know nothing of the first.
        if cls.group is api.Group.SHARD and not (one and node.shard == first.node.shard):
            self._break("duplicate", now, f"{words} to {node.id}, it may have run at {first.node.id}")

    def _turn(self, host: int, taken: Taken, now: float) -> None:
        if not (taken.cls.ordered and taken.event.key):
            return
        for other in self._chains[host, taken.event.key]:
            if other is taken:
                return
            rests = max(
                (
                    each.ended
                    for each in other.tries
                    if each.outcome in (api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED)
                ),
                default=-inf,
            )
            if other.answered is None or other.out or now < rests + self.settings.order_settle - ROUNDING:
                return self._break("order", now, f"sent {taken.event.request} ahead of its turn")

    def _budget(self, host: int, now: float) -> None:
        s = self.settings
        if s.extra_spare is None:
            return
        extras = self._extras[host]
        extras.append(now)
        made = sum(at >= now - s.extra_window for at in extras)
        took = sum(at >= now - s.extra_window for at in self._arrived[host])
        if made > s.extra_spare + s.extra_ratio * took + ROUNDING:
            self._break("budget", now, f"{made} further attempts with {took} requests taken")

    def _limit(self, taken: Taken, now: float) -> None:
        plan = self.settings.plans[taken.event.plan]
        if not plan.limit:
            return
        store = self._stores.setdefault(taken.event.volume, Store(plan.burst, now))
        store.level = min(plan.burst, store.level + (now - store.at) * plan.limit) - taken.event.units
        store.at = now
        if store.level < -plan.slack - ROUNDING:
            self._break("limit", now, f"{taken.event.volume} is {-store.level:.2f} units beyond its limit")

    def _cold_room(self, host: int, node: api.Node, now: float, units: float) -> None:
        """Where a host's part is less than a request, what the node has done meanwhile it could do, and the
        rule's multiple of that may be sent; for the lots drawn beside the page allows some slack for chance,
        here as much again as is borne, and of each host a request by lot and one for an answer."""
        s = self.settings
        if node.started is None or now > node.started + s.warm_after:
            return
        sent = self._cold[node.id, node.started]
        sent.append((now, units))
        while sent[0][0] < now - s.fall_window:
            sent.popleft()
        age = max(now - s.fall_window - node.started, 0.0)
        bears = s.cold_units * (1 + (1 / s.start_capacity - 1) * age / s.warm_after)
        lots = s.cold_units / s.schedulers * (1 - self._lent) < s.max_units
        total = sum(amount for _, amount in sent)
        if lots:
            # While it warms it can do no less than before: the most that it did in any window of this life.
            done = sum(amount for at, amount in self._did[node.id, node.started] if at >= now - s.fall_window)
            most = self._most[node.id, node.started] = max(self._most[node.id, node.started], done)
            total -= s.fall_multiple * most
        if total > (2 * (bears + s.schedulers * s.max_units) if lots else bears) + ROUNDING:
            self._break(
                "cold",
                now,
                f"{total:.1f} units sent to {node.id}, {now - node.started:.2f} s old, "
                f"which bears {bears:.1f}",
            )

    def over(self, now: float) -> None:
        """The day has ended; whatever has no answer by now is lost."""
        for (_, number), taken in self._taken.items():
            if taken.answered is None and now > taken.at + taken.event.budget + self.settings.answer_grace:
                self._break("answer", now, f"request {number} never answered")
