"""All decisions of the storage broker. Types, events and actions: cherrycove/scheduling/interface.py.

After "Storage Performance Virtualization via Throughput and Latency Control"; docs/design.md says how.
Credits by volume (SARC), deadline queues drained to L by node (AVATAR). "Guard:" marks answers to failures.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence
from math import inf

from cherrycove.scheduling import interface as api
from cherrycove.scheduling.concurrency_limit import LEAST_L, ROOM, set_threshold
from cherrycove.scheduling.object_placement import Placed
from cherrycove.scheduling.restart_state import Former, taken_down
from cherrycove.scheduling.retry_safety import may_refuse, may_repeat, ran_at, write_within
from cherrycove.scheduling.slow_start import ColdRoom
from cherrycove.scheduling.state import (
    PERIOD,
    Agenda,
    Members,
    NodeQueue,
    Recent,
    Request,
    Volume,
    Window,
    percentile,
)

START_L = 4.0  # requests out at a node nothing is known of (design), while all schedulers together keep
FLEET_L = 16.0  # to this many; above that each starts with its even part of them
SAMPLES = 4  # answers that a new L is worked out from; a window that has fewer goes on
CEILING = 0.5  # part of the shortest aim that L may let a node's latency grow to among many hosts, each of
MEAN_CEILING = 0.2  # which has little at any node, and with few
BEYOND = 0.67  # part of the ceiling over which a node is busy; half is near the plain work of quiet nodes
PATIENCE = 0.5  # part of the aim, and at least FAR_SLOWER times the node's mean latency, after which an
FAR_SLOWER = 5.0  # attempt no longer counts as out
MEMORY = 4.0  # s after which what a node answered like weighs half, against all nodes' typical latency; among
# many hosts it is one aim, in which a queue that one answer told of has gone, or another answer tells of it
PAUSE = 0.1  # part of the aim between a request's attempts; doubles up to it for a node that does not answer
FORGET = 10 * PERIOD  # s without a request after which a volume is forgotten
WAITS = 256  # the most that a window keeps of one class: without answers it does not end
HALF = 0.49  # part of a request's time after which it is not held any longer if it was never sent
REPORT = 5.0  # s between the lines for the report
ASK_AGAIN = 0.2  # part of ask_within between calls for the node list after one failed


class Scheduler:
    """One host's scheduler. ``handle`` takes what happened by ``now`` and returns what to do, in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random, self.stalled = random.Random(seed), False
        self.actions: list[api.Action] = []
        self.requests: dict[int, Request] = {}
        self.volumes: dict[str, Volume] = {}
        self.nodes: dict[int | None, NodeQueue] = {}  # None: a place where new objects wait for credit
        self.members = Members()
        self.chains: dict[str, deque[Request]] = {}  # ordered keys: the first may run
        self.attempts: dict[tuple[int, int], tuple[Request, NodeQueue, int]] = {}
        self.budgets: dict[int, float] = {}  # the longest seen, by class
        self.arrived = Recent(max(settings.extra_window - 2 * settings.tick, 0.0))  # none the rule forgot
        self.extras = Recent(settings.extra_window)
        self.placed, self.former = Placed(), Former()
        self.agenda = Agenda()
        self.now, self.armed, self.started, self.window_end, self.epoch = -inf, inf, inf, inf, 0
        self.touched: dict[int | None, NodeQueue] = {}
        self.aim = min(cls.aim for cls in settings.classes)
        self.typical = 0.0  # median latency of the nodes heard lately
        self.room = ColdRoom(settings, self.random)
        self.places: float = inf
        part = FLEET_L / settings.schedulers
        self.crowded, self.start_l = part < LEAST_L, max(min(START_L, part), LEAST_L)
        self.memory = self.aim if self.crowded else MEMORY

    def handle(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        self.now, self.actions = max(now, self.now), []  # Guard: a clock that leaps back undoes nothing
        if self.started == inf:
            self.started = self.now
            self.room.begin(self.now)
            self._new_period(None)
            self._report(None)
            if self.settings.list_on_request:
                self._watch(None)
        # Guard: after a stall of this host, what it finds came at unknown times: no evidence of its nodes.
        self.stalled = self.now > self.armed + PAUSE * self.aim
        for event in events:
            match event:
                case api.Arrived() if event.request not in self.requests:
                    self._arrive(event)
                case api.Uploaded() if event.request in self.requests:
                    self._uploaded(self.requests[event.request])
                case api.AttemptEnded() if (event.request, event.attempt) in self.attempts:
                    self._ended(event)
                case api.Lapsed() if event.request in self.requests:
                    self._close(self.requests[event.request])
                case api.NodesListed():
                    self._listed(event)
                case api.Places():
                    self.places = event.most
                case api.Shared():
                    self._shared(event)
                case api.Recalled():
                    self._recalled(event)
                case api.RoomPooled():
                    self.room.lent = event.lent
                case api.RoomLent():
                    for node in self.nodes.values():
                        if node.id == event.node:
                            node.borrow(event.units, self.now, event.time)
                            self._touch(node)
                case api.ListUnavailable() if self.settings.list_on_request:
                    self.agenda.at(self.now + ASK_AGAIN * self.settings.ask_within, self._watch)
                case api.TimerFired():
                    self.armed = inf  # whatever the clock says: a timer may fire a rounding error early
        self.agenda.run(self.now)
        self._make_places()
        while self.touched:
            self._drain(self.touched.pop(next(iter(self.touched))))
        if self.agenda.next() < self.armed:
            self.armed = self.agenda.next()
            self.actions.append(api.SetTimer(0, self.armed - self.now))
        return self.actions

    def _shared(self, event: api.Shared) -> None:
        """Guard: two processes of one host, as one replaces the other, are one to limits and cold nodes."""
        self.room.share(event.part, event.sent, self.now)
        for volume in self.volumes.values():
            volume.share(self.now, self.room.part)

    def _recalled(self, event: api.Recalled) -> None:
        self.former = Former(event)
        self.room.recalled(event.whole)
        self.budgets = {
            cls: max(self.budgets.get(cls, 0.0), event.budgets.get(cls, 0.0))
            for cls in range(len(self.settings.classes))
        }
        for node in self.nodes.values():
            self._meet(node)

    def _meet(self, node: NodeQueue) -> None:
        self.agenda.at(self.former.meet(node, self.start_l, self.now), self._touch, node)

    def remember(self) -> api.Recalled:
        """What the next life of this host may take up."""
        return taken_down(
            self.nodes.values(), self.volumes, self.budgets, self.epoch, self.now, self.window_end - PERIOD
        )

    def sent(self) -> dict[str, float]:
        """What each node was sent within the window of the rule on cold nodes, in units."""
        return {node.id: node.recent.total(self.now) for node in self.nodes.values() if node.id is not None}

    def in_use(self) -> set[str]:
        """The nodes that get requests as they come: none that drains, none at which nobody answers."""
        return {node.id for node in self.nodes.values() if node.id is not None and not node.failures}

    def _watch(self, _: None) -> None:
        self.actions.append(api.Watch())

    def _touch(self, node: NodeQueue) -> None:
        for each in (node,) if node.shard is not None else self.nodes.values():
            self.touched[each.shard] = each

    def _arrive(self, event: api.Arrived) -> None:
        self.arrived.add(self.now)
        cls, plan = self.settings.classes[event.cls], self.settings.plans[event.plan]
        volume, hosts = self.volumes.get(event.volume), max(event.hosts, 1)
        if volume is None:
            # Guard: this may be a restart whose former life spent the burst: the store fills from the start.
            volume = self.volumes[event.volume] = Volume(
                event.volume, plan, (plan.reserve or plan.usual) / hosts * PERIOD, self.started, hosts
            )
            volume.share(self.now, self.room.part)
            self.former.charge(volume, self.epoch, self.now)
        volume.asked_at = self.now
        # A client's repeat keeps the aim of its first try; its smaller budget tells how long ago that was.
        budget = self.budgets[event.cls] = max(self.budgets.get(event.cls, 0.0), event.budget)
        # Guard: a client less patient than the aim tells nothing of its first try, but is gone after it.
        due = self.now + (cls.aim - (budget - event.budget) if event.budget >= cls.aim else event.budget)
        end = self.now + event.budget - 2 * self.settings.tick  # leaves time for an answer
        heavy = max(event.units / self.settings.usual_units, 1.0)  # Guard: it is no evidence of a slow node
        shard = self.placed.where(event.key, event.shard)
        request = Request(
            event.request,
            cls,
            volume,
            event.units,
            heavy,
            shard,
            event.key,
            due,
            end,
            event.budget,
            event.upload,
            fresh=event.shard is None,
        )
        self.requests[request.id] = request
        self.agenda.at(end, self._retry, request)
        self.agenda.at(self.now + HALF * event.budget, self._halfway, request)
        self._review(request)
        if request.done:
            return
        if cls.ordered and event.key:
            chain = self.chains.setdefault(event.key, deque())
            chain.append(request)
            request.waits_turn = len(chain) > 1
            if request.waits_turn:
                return
        self._admit(request)

    def _admit(self, request: Request) -> None:
        """Into the volume's first-in queue, and on at once while its credits are positive."""
        request.wait_for_credit(self._node(request.shard))
        if request.volume.limit:
            self._shed_over_limit(request.volume)
        self._release(request.volume)
        self._touch(self._node(request.shard))

    def _release(self, volume: Volume) -> None:
        """Spend the volume's credits on its requests, first come first."""
        if volume.epoch != self.epoch:
            # Guard: where a request is more than a refill (many hosts), what it overdrew is paid back first.
            full = volume.full + (volume.short if self.now - volume.told < MEMORY else 0.0)
            volume.credits = min(volume.credits + full * (self.epoch - volume.epoch), full)
            volume.epoch = self.epoch
        while volume.lanes and volume.credits > 0:
            request = min((lane[0] for lane in volume.lanes.values()), key=lambda r: r.due - r.cls.aim)
            if not self._within_limit(volume, request):
                return
            volume.credits -= request.units
            self._enqueue(request, api.Code.CREDIT)

    def _within_limit(self, volume: Volume, request: Request) -> bool:
        """The limit gate: only this host's part is used, so all hosts together never pass the limit."""
        if not volume.limit or request.attempts:
            return True
        lack = volume.pending + request.units - volume.level(self.now)
        if lack > 0 and not volume.waking:
            volume.waking = True
            self.agenda.at(self.now + lack / volume.limit + self.settings.tick, self._wake, volume)
        return lack <= 0

    def _shed_over_limit(self, volume: Volume) -> None:
        """Guard: what the limit would let through only when past hope is refused at once, not held till then.
        Also against a surge far over the limit; harmful if units reserved before it then go unused.
        The limit's units go to what is worth most: refused here, it earns nothing."""
        need = volume.pending - volume.level(self.now)
        held = [request for lane in volume.lanes.values() for request in lane]
        for request in sorted(held, key=lambda r: (-r.cls.worth, r.due - r.cls.aim)):
            wait = (need + request.units) / volume.limit
            if self._past_hope(request, wait):
                self._give_up(request, api.Code.OVER_LIMIT, wait)
            else:
                need += request.units

    def _wake(self, volume: Volume) -> None:
        volume.waking = False
        self._release(volume)
        for shard in volume.lanes:
            self._touch(self._node(shard))

    def _enqueue(self, request: Request, why: api.Code) -> None:
        request.leave()
        request.why = why
        node = self._node(request.shard) if request.shard is not None else self._roomiest(request)
        if node is None:
            return self._give_up(request, api.Code.NO_NODE)
        request.wait_at(node, self.now)
        node.window.new_due += request.due <= self.window_end
        self._touch(node)

    def _roomiest(self, request: Request) -> NodeQueue | None:
        """For a new object: a warm, answering node with the least work for its threshold and quick answers.
        Guard: among many hosts each L is at its least and nothing out, so work alone is blind to slow nodes.
        Also against nodes that age or stall; harmful where heavy requests alone make a node look slow.
        Guard: one that may have run goes only where a repeat is dropped, though any node would take it."""
        nodes = (node for node in self.nodes.values() if node.id)
        allowed = [node for node in nodes if self._may_repeat(request, self.now, node)]
        return min(
            allowed,
            default=None,
            key=lambda node: (
                self._cold(node),
                node.failures > 0 or self.now < node.resting_until,
                (node.out + node.waiting + 1)
                / node.threshold
                * max(self._expected(node), self.settings.tick),
                self.random.random(),
            ),
        )

    def _keeps_up(self, node: NodeQueue) -> bool:
        return node.id is not None and not (node.overload or node.failures or self._cold(node))

    def _past_hope(self, request: Request, wait: float = 0.0) -> bool:
        """Whether an attempt after this wait would be late. A node that keeps up still takes what has passed
        credit and limit; a new object has its whole aim, since any node may take it.
        Guard: with few hosts a backlog seen is gone once its own time is over, so no node stays shut."""
        node = request.node if request.place == "queue" else None
        if node is None and request.shard is not None:
            node = self._node(request.shard)
        if node is None:
            return self.now + wait > request.due
        late = self.now + max(wait, self._latency(node)) > request.due
        return late and not ((request.attempts or request.place == "queue") and self._keeps_up(node))

    def _review(self, request: Request) -> None:
        """Guard: past hope means answered at once, wherever it waits: for credit, the limit, its key's turn,
        a node that rests or is gone. Also against waits not thought of; harmful if the latency misleads."""
        if request.done or request.out:
            return
        if self._past_hope(request):
            return self._give_up(request)
        node = self._node(request.shard) if request.shard is not None else None
        hope = request.due - (self._expected(node) if node and self.crowded else 0.0)
        if hope >= self.now:
            self.agenda.at(hope + self.settings.tick, self._review, request)

    def _make_places(self) -> None:
        """Guard: each request holds a place of its client's; once what waits for credit holds all, nobody can
        ask for what the reserves owe. The least worth give way, of these the ones due first."""
        excess = len(self.requests) - self.places
        if excess > 0:
            held = [r for volume in self.volumes.values() for lane in volume.lanes.values() for r in lane]
            for request in sorted(held, key=lambda r: (r.cls.worth, r.due))[: int(excess)]:
                self._give_up(request, api.Code.PLACES)

    def _halfway(self, request: Request) -> None:
        """Guard: one turned away late costs its client the time to ask again; half of it has to do here."""
        if not request.done and not request.attempts:
            self._give_up(request, api.Code.HALF_TIME)

    def _expected(self, node: NodeQueue) -> float:
        """The latency of an attempt sent now: the node's own, which fades into what all nodes answer like."""
        known: float = 0.5 ** ((self.now - node.heard) / self.memory)
        return known * node.service + (1 - known) * self.typical

    def _latency(self, node: NodeQueue) -> float:
        """What hope reckons with."""
        return self._expected(node) if self.crowded else node.service - (self.now - node.heard)

    def _drain(self, node: NodeQueue) -> None:
        """Send from the head until L are out; spare room then refills all volumes with waiting requests.
        Guard: with many hosts not at a node expected slower than the ceiling."""
        waiting = [r for volume in node.lanes.values() for r in volume.lanes[node.shard]]
        for request in [*node.held(), *waiting]:
            if self._past_hope(request):
                self._give_up(request)
        while node.id is not None and self.now >= node.resting_until:
            self._send_waiting(node)
            room = node.out < ROOM * (1.0 if node.failures else node.threshold)
            if node.waiting or not room or (self.crowded and self._expected(node) > CEILING * self.aim):
                return
            if not self._spare_refill(node):
                return

    def _spare_refill(self, node: NodeQueue) -> bool:
        """The joint refill for spare room, volume by volume, for this node only: it must not flood others.
        Guard: also in overload, which would never end if credits alone decided what is served."""
        for place in (node, self._node(None)):
            for name, volume in list(place.lanes.items()):
                lane = volume.lanes[place.shard]
                # Guard: a volume beyond its reserve gives way to those within it at a busy node. Also
                # against a surge of one plan; harmful, for a meter's delay, to a surge just over. One slow
                # answer makes no busy node: nodes as a rule must be slow too.
                over = self.now - volume.told < MEMORY and not volume.short
                busy = min(self._expected(node), self.typical) > BEYOND * CEILING * self.aim
                if self.crowded and over and busy:
                    continue
                spent, latest = 0.0, self.now + self._expected(node)
                for request in sorted(lane, key=lambda r: -r.cls.worth):  # first in, first out of one worth
                    room = node.out + node.waiting < node.threshold
                    if spent >= volume.full or not room or not self._within_limit(volume, request):
                        break
                    # Guard: one that would be late, of a client in a hurry, must not hold up those behind it.
                    if request.due >= latest:
                        spent += request.units
                        self._enqueue(request, api.Code.SPARE)
                if lane:
                    place.lanes[name] = place.lanes.pop(name)  # the next refill begins with the others
                if spent:
                    return True
        return False

    def _send_waiting(self, node: NodeQueue) -> None:
        while node.head():
            request, keeps_up = node.queue[0][2], self._keeps_up(node)
            # Guard: one attempt at a time tries a node of which nobody answers.
            full = node.out >= (1 if node.failures else node.threshold)
            if full and (request.due > self.now or not keeps_up) or not self._warm_enough(node, request):
                return
            code = api.Code.OVERDUE if full else api.Code.TRIAL if node.failures else request.why
            self._send_or_give_up(node, request, code)

    def _send_or_give_up(self, node: NodeQueue, request: Request, code: api.Code) -> None:
        request.leave()
        why = self._reason(request, node, code, self._latency(node))
        if not request.attempts:
            request.volume.take(self.now, request.units)
        elif self._may_try_again(request, node):
            self.extras.add(self.now)
        else:
            return self._give_up(request, self._no_more(request, self.now) or api.Code.EXTRAS)
        self.attempts[request.id, request.attempts] = request, node, node.life
        if not request.upload:
            self._await_answer(node, request, request.attempts)
        request.attempts += 1
        request.out, request.counted, request.sent_at = True, not request.upload, self.now
        waits = node.window.waits.setdefault(request.cls.name, deque(maxlen=WAITS))
        waits.append(self.now - request.queued_at)
        node.count_sent(self.now, request.units, not request.upload)
        within = write_within(request.cls, request.ran, self.now)
        self.actions.append(api.Send(request.id, node.id or "", why=why, within=within))

    def _await_answer(self, node: NodeQueue, request: Request, number: int) -> None:
        patience = max(PATIENCE * request.cls.aim, FAR_SLOWER * node.service)
        self.agenda.at(self.now + patience, self._write_off, (request.id, number))

    def _uploaded(self, request: Request) -> None:
        """Guard: a node begins with the last byte. What its client needed to send tells nothing of it, and
        holds no place of L; the client's time counts from here, too."""
        attempt = request.id, request.attempts - 1
        _, node, life = self.attempts.get(attempt, (request, None, 0))
        request.upload, request.sent_at, request.due = False, self.now, self.now + request.cls.aim
        request.end = self.now + request.budget - 2 * self.settings.tick
        self.agenda.at(request.end, self._retry, request)
        if node is not None and life == node.life:
            request.counted = True
            node.count_sent(self.now, request.units)
            self._await_answer(node, request, attempt[1])

    def _write_off(self, attempt: tuple[int, int]) -> None:
        """Guard: an answer long overdue by its node's measure may never come; it must not fill L."""
        request, node, life = self.attempts.get(attempt, (None, None, 0))
        if node is not None and request is not None and life == node.life:
            request.counted = False
            node.out -= 1
            self._touch(node)

    def _ended(self, event: api.AttemptEnded) -> None:
        request, node, life = self.attempts.pop((event.request, event.attempt))
        request.out = False
        if life == node.life:
            self._judge(node, request, event)
        if event.use is not None:
            # Guard: a volume's busy host must not be held to its even part while the reserve is unused. Also
            # against clients that change hosts; harmful, for a meter's delay, where all hosts surge at once.
            plan, volume = request.volume.plan, request.volume
            volume.short, volume.told = max(plan.reserve - event.use * plan.usual, 0.0) * PERIOD, self.now
        if not event.outcome.never_ran and request.ran is None:
            request.ran = ran_at(request.cls, node, life, request.sent_at)
        if event.outcome in (api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED):
            request.rest_until = self.now + self.settings.order_settle  # the attempt may still be running
        if request.fresh and event.outcome is api.Outcome.SERVED:
            self.placed.put(request.key, node.shard)
        if event.closed or request.done:
            self._close(request)
        elif event.outcome is api.Outcome.MOOT and life == node.life and not request.fresh:
            self._not_there(request, node)
        else:
            again = self.now + PAUSE * request.cls.aim
            code = self._no_more(request, again)
            if code or self._past_hope(request):
                return self._give_up(request, code)
            self.agenda.at(again, self._retry, request)
            self._review(request)

    def _not_there(self, request: Request, node: NodeQueue) -> None:
        """Guard: a client may name the wrong shard for an object just written. Asked again the node says the
        same; where this host saw it put, it goes there, and otherwise its client may know better by now."""
        other = self.placed.missed(request.key, node.shard)
        code = self._no_more(request, self.now)
        if code or other is None:
            return self._give_up(request, code or api.Code.NOT_THERE)
        request.shard = other
        self._enqueue(request, api.Code.AGAIN)

    def _judge(self, node: NodeQueue, request: Request, event: api.AttemptEnded) -> None:
        """What an outcome says of its node. Only served work counts as served and as evidence of speed."""
        node.out -= request.counted
        self._touch(node)
        if event.outcome is api.Outcome.SERVED:
            node.window.served += 1
            node.failures = 0
            self.room.answered(node, request.units, self.now)
            if not self.stalled:
                latency = max(event.latency, self.settings.tick)
                node.window.latencies.setdefault(request.cls.name, []).append(latency)
                before = 0.5 ** ((self.now - node.heard) / PERIOD)
                node.service += (1 - before) * (latency / request.heavy - node.service)
                node.heard = self.now
        elif event.outcome in (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.RESET):
            node.failures += 1  # Guard: a node full, down or cut off rests for a while, then is tried by one
            pause = min(PAUSE * 2 ** min(node.failures - 1, 8), 1.0) * request.cls.aim
            node.resting_until = max(node.resting_until, self.now + pause)
            self.agenda.at(node.resting_until, self._touch, node)

    def _retry(self, request: Request) -> None:
        """After a pause, or when the budget ends; one that is out then gets its time-out from the caller."""
        if request.done or request.out:
            return
        code = self._no_more(request, self.now)
        self._give_up(request, code) if code else self._enqueue(request, api.Code.AGAIN)

    def _no_more(self, request: Request, when: float) -> api.Code | None:
        """Why no attempt may be sent then, if none may."""
        if not self._may_repeat(request, when, None if request.shard is None else self._node(request.shard)):
            return api.Code.MAY_HAVE_RUN
        last = request.attempts >= self.settings.max_attempts
        return api.Code.LAST_ATTEMPT if last else api.Code.NO_TIME if when >= request.end else None

    def _may_repeat(self, request: Request, when: float, node: NodeQueue | None) -> bool:
        return may_repeat(request.cls, request.ran, when + self.settings.tick, node)

    def _may_try_again(self, request: Request, node: NodeQueue) -> bool:
        """The rules on repeats and on further attempts, looked at when one would be sent."""
        spare, ratio = self.settings.extra_spare, self.settings.extra_ratio
        return self._may_repeat(request, self.now, node) and (
            spare is None or (self.extras.total(self.now) + 1 <= spare + ratio * self.arrived.total(self.now))
        )

    def _reason(self, request: Request, node: NodeQueue, code: api.Code, wait: float) -> api.Reason:
        return api.Reason(
            code,
            node.id or "",
            request.place,
            node.threshold,
            node.out,
            node.waiting,
            request.volume.credits,
            wait,
            request.due - self.now,
            self.window_end - self.now,
            self.epoch,
        )

    def _give_up(self, request: Request, code: api.Code | None = None, wait: float = 0.0) -> None:
        """Guard: a refusal says that a new try does no harm; where that is not known, the request fails.
        It tells the client to keep away until what stands before it, here or at the node, will be gone."""
        node = request.node if request.place == "queue" and request.node else self._node(request.shard)
        why = self._reason(
            request, node, code or request.held_by(node, self._cold(node)), max(wait, self._latency(node))
        )
        node = self._node(request.shard)
        if request.shard is not None and not self._keeps_up(node):
            wait = inf
        wait = max(wait, self._expected(node), self.window_end - self.now)
        if code is api.Code.NOT_THERE:
            wait = 0.0
        refusal = api.Refuse(request.id, min(wait, self.settings.retry_advice), why)
        self.actions.append(refusal if may_refuse(request.cls, request.ran) else api.Fail(request.id, why))
        self._close(request)

    def _close(self, request: Request) -> None:
        if not request.done:
            request.leave()
            request.done = True
            del self.requests[request.id]
        if request.key in self.chains:
            self.agenda.at(max(request.rest_until, self.now), self._advance, request.key)

    def _advance(self, key: str) -> None:
        """The next request with this key may go once those before it are over, none out, and rested."""
        chain = self.chains.get(key, deque())
        while chain and chain[0].done and not chain[0].out and chain[0].rest_until <= self.now:
            chain.popleft()
        if chain and not chain[0].done and not chain[0].admitted:
            self._admit(chain[0])
        elif not chain:
            self.chains.pop(key, None)

    def _new_period(self, _: None) -> None:
        """Refill all volumes at once (one without a backlog learns of it when next looked at); set each L."""
        self.epoch += 1
        self.window_end = self.now + PERIOD
        self.agenda.at(self.window_end, self._new_period)
        for volume in list(self.volumes.values()):
            self._release(volume)
            if volume.idle(self.now - FORGET):
                # Guard: names that clients make up must not pile up. One seen anew has a refill, as this has.
                del self.volumes[volume.name]
        heard = [node.service for node in self.nodes.values() if self.now - node.heard < 2 * MEMORY]
        self.typical = percentile(heard, 0.5) if len(heard) >= SAMPLES else 0.0
        quick = (CEILING if self.crowded else MEAN_CEILING) * self.aim
        for node in self.nodes.values():
            # Guard: nothing served is a stall, not overload; with too few answers the window goes on.
            if sum(map(len, node.window.latencies.values())) >= SAMPLES:
                set_threshold(
                    node,
                    self.settings.classes,
                    self.window_end,
                    quick / max(node.service, self.settings.tick),
                )
                node.window = Window(most_out=node.out)
            self._touch(node)

    def _node(self, shard: int | None) -> NodeQueue:
        if shard not in self.nodes:
            span = self.settings.fall_window
            self.nodes[shard] = NodeQueue(shard, self.start_l, Recent(span), Recent(span))
        return self.nodes[shard]

    def _listed(self, event: api.NodesListed) -> None:
        """A drain or a loss stops all sends at once; a replacement or a new start begins anew, and cold."""
        holders = {self._node(shard): entry for shard, entry in self.members.apply(event).items()}
        for node in self.nodes.values():
            entry = holders.get(node)
            if entry is None:
                node.id, node.lost = None, self.members.lost(node.shard)
                for request in node.held():
                    if request.shard is None:
                        self._enqueue(request, request.why)
            elif node.life == 0 or node.started != entry.started or node.id != entry.id:
                cold_from = (self.now if node.life else -inf) if entry.started is None else entry.started
                node.begin(entry, cold_from, self.start_l)
                self._meet(node)
            self._touch(node)

    def _cold(self, node: NodeQueue) -> bool:
        return self.room.cold(node, self.now)

    def _warm_enough(self, node: NodeQueue, request: Request) -> bool:
        admission = self.room.admit(node, request.units, self.now)
        if admission.ask:
            self.actions.append(api.AskRoom(node.id or "", request.units))
        for when in admission.again:
            self.agenda.at(when, self._touch, node)
        return admission.granted

    def _report(self, _: None) -> None:
        lines = [node.summary() for node in self.nodes.values() if node.life]
        self.actions.append(api.Note("L(!overload ?failing -gone)/out/queued/held " + " ".join(lines)))
        self.agenda.at(self.now + REPORT, self._report)
