"""The decisions of admission at one proxy: credits by kind, deadline queues by broker, batch items behind.

It owns every held request. It must never look at a clock, send by itself, or hold a request back while a
broker that may run it is known to have a place.
"""

from __future__ import annotations

import random
from math import inf

from cherrycove.tier.dataplane.admission import limits, silence
from cherrycove.tier.dataplane.admission.broker_state import BrokerState
from cherrycove.tier.dataplane.admission.held import HeldRequests
from cherrycove.tier.dataplane.admission.hope import refusal
from cherrycove.tier.dataplane.admission.interface import (
    Abandon,
    Action,
    Ending,
    Knowledge,
    Refuse,
    Send,
    Ticket,
)
from cherrycove.tier.dataplane.admission.items_queue import ItemsQueue
from cherrycove.tier.dataplane.admission.placement import Placement
from cherrycove.tier.dataplane.admission.roster import Roster
from cherrycove.tier.dataplane.headers import InstanceLoad
from finchrack.state import PERIOD, NodeQueue, Recent

HELD_TICK_S = 0.02  # between looks while live requests are held
TICK_S = 0.05  # and while any are out
STALL_S = 0.25  # without a look, while requests are out, after which this process itself stood still
UNSURE_S = 0.5  # behind a stall in which a time-out is no evidence against a broker
URGENT_S = 3.0  # before its time to be done from which a batch item may use more of a broker
LOBBY_L = 1.0
SHUT_S = {  # for which a request does not go again to a broker that ended it so
    Ending.REFUSED: 0.1,
    Ending.UNREACHABLE: 0.2,
    Ending.MISDIRECTED: 1.0,
    Ending.UNSUITED: 1.0,
    Ending.BROKEN: 0.3,
    Ending.SILENT: 1.0,
}


class Scheduler:
    """Takes what happened by ``now``; each method returns what is to be done, in order."""

    def __init__(self, rng: random.Random, now: float) -> None:
        self.roster = Roster()
        self._placement = Placement(rng)
        self._held = HeldRequests()
        self._items = ItemsQueue()
        self._where: dict[Ticket, BrokerState] = {}  # sends that have not ended
        self._lobby = NodeQueue(None, LOBBY_L, Recent(PERIOD), Recent(PERIOD))  # where requests await credit
        self._serial = 0
        self._epoch = 0
        self._window_end = now + PERIOD
        self._looked_at = now
        self._stood_still_at = -inf
        self._actions: list[Action] = []

    # What happens

    def know(self, now: float, knowledge: Knowledge) -> list[Action]:
        """The views have changed."""
        self.roster.know(now, knowledge)
        for state in self.roster.states.values():
            if not state.listed or state.broker.draining:
                self._empty(state)
        self.roster.forget()
        self._refuse_unserved_items(now)
        self._look(now)
        return self._taken()

    def arrive(self, now: float, ticket: Ticket) -> list[Action]:
        """A request wants to be sent, for the first time or again."""
        ticket.held_since = now
        if ticket.batch:
            if not self.roster.serving(ticket):
                return [Refuse(ticket, 0.0)]
            self._items.add(ticket)
            self._look(now)
            return self._taken()
        kind = self.roster.kinds.get(ticket.route)
        if kind is None:
            return [Refuse(ticket, 0.0)]
        self._serial += 1
        kind.enter(ticket, self._serial, self._lobby)
        self._held.add(ticket)
        self._look(now)
        if ticket in self._held:
            self._spend_credit(ticket, now)
            self._refuse_if_hopeless(ticket, self._held.in_order(now).index(ticket), now)
        return self._taken()

    def withdraw(self, ticket: Ticket) -> None:
        """One that waits does so no more: its client left."""
        if ticket.batch:
            self._items.remove(ticket)
        elif ticket in self._held:
            self._held.remove(ticket)

    def answered(self, now: float, ticket: Ticket, load: InstanceLoad | None) -> None:
        """The head of an answer has come, perhaps with what the broker tells of its load."""
        state = self._where.get(ticket)
        if state is not None:
            state.health.heard(now)
            if load is not None:
                state.load.report(now, load)

    def heard(self, now: float, ticket: Ticket) -> None:
        """Some of an answer's body has come."""
        state = self._where.get(ticket)
        if state is None:
            return
        state.health.heard(now)
        if ticket in state.silent:
            state.silent.discard(ticket)
            self._first_event(state, ticket, now - state.out[ticket])

    def ended(self, now: float, ticket: Ticket, ending: Ending) -> list[Action]:
        """A send is over, however; a request that is to be sent again arrives again."""
        self._notice_stall(now)
        state = self._where.pop(ticket, None)
        if state is None:
            return []
        began = state.end(ticket)
        self._judge(state, ticket, ending, now)
        if ending is Ending.SERVED:
            self.roster.pace(ticket.service).held(now - began)
        self.roster.forget()
        self._look(now)
        return self._taken()

    def next_wake(self) -> float:
        """When ``wake`` is to be called; inf while nothing is open."""
        if self._held:
            return self._looked_at + HELD_TICK_S
        return self._looked_at + TICK_S if self._items or self._where else inf

    def wake(self, now: float) -> list[Action]:
        """Time has passed."""
        self._notice_stall(now)
        self._actions += [Abandon(ticket) for ticket in silence.gone_silent(self.roster, now)]
        self._look(now)
        for ahead, ticket in enumerate(self._held.in_order(now)):
            self._refuse_if_hopeless(ticket, ahead, now)
        return self._taken()

    def free_slots(self, now: float) -> int:
        """How many batch items this proxy could start now, besides those that wait here."""
        if self._held:
            return 0
        proxies = self.roster.proxies
        states = [each for each in self.roster.states.values() if each.listed and not each.broker.draining]
        places = sum(each.batch_places(now, proxies) for each in states)
        part = int(places / proxies) or int(places >= 1)
        return max(min(part, sum(each.connections(proxies) for each in states)) - len(self._items), 0)

    # What is learned

    def _first_event(self, state: BrokerState, ticket: Ticket, latency_s: float) -> None:
        shared = sum(part.tokens for part in ticket.prompt.shared)
        self.roster.pace(ticket.service).first_event(latency_s, ticket.prompt.tokens_in - shared)
        if not ticket.batch:
            limits.note_served(state, ticket.route, latency_s)

    def _judge(self, state: BrokerState, ticket: Ticket, ending: Ending, now: float) -> None:
        """What an ending tells of the broker, and for how long the ticket does not go there again."""
        ticket.shut[state.id] = now + SHUT_S.get(ending, 0.0)
        match ending:
            case Ending.SERVED:
                state.health.served()
            case Ending.REFUSED:
                state.health.heard(now)
                state.load.refused(now)
            case Ending.BROKEN:
                state.health.broke(now)
            case Ending.LEFT:
                state.health.trial = False
            case Ending.UNSUITED:
                state.health.heard(now)
            case _ if now - self._stood_still_at < UNSURE_S:
                state.health.trial = False
            case _:
                state.health.failed(now)

    def _notice_stall(self, now: float) -> None:
        """After this process stood still, what seemed silent or out of reach may not have been."""
        if self._where and now - self._looked_at > STALL_S:
            self._stood_still_at = now
            silence.stood_still(self.roster, now)

    def _look(self, now: float) -> None:
        """Close windows and periods that are over, and send what may be sent."""
        self._looked_at = now
        if now >= self._window_end:
            self._close_period(now)
        if self._held:
            self._send_held(now)
        if self._items:
            self._send_items(now)

    def _close_period(self, now: float) -> None:
        """All kinds refill together; each broker's L is set."""
        passed = int((now - self._window_end) // PERIOD) + 1
        self._epoch += passed
        self._window_end += passed * PERIOD
        classes = [kind.cls for kind in self.roster.kinds.values()]
        for state in self.roster.states.values():
            limits.close_window(state, classes, now)
        for ticket in self._held.in_order(now):
            self._spend_credit(ticket, now)

    # Live requests

    def _send_held(self, now: float) -> None:
        """To brokers with room, in order; what is past its aim also regardless of L."""
        proxies = self.roster.proxies
        states = self.roster.states.values()
        roomy = dict.fromkeys(each for each in states if each.has_room(now, proxies))
        spare = dict.fromkeys(each for each in states if each.takes_overdue(now, proxies))
        if not roomy and not spare:
            return
        for ticket in self._held.in_order(now):
            places = roomy | spare if now >= ticket.due else roomy
            among = [each for each in places if each.takes(ticket, now)]
            if not among:
                continue
            trusted = [each for each in among if each.health.trusted(now)]
            state = self._choose(ticket, trusted or among, now)
            if ticket.record is None or ticket.record.node is not state.node:
                limits.note_arrival(state, ticket.due, self._window_end)
            self._held.remove(ticket)
            limits.note_wait(state, ticket.route, now - ticket.held_since)
            self._send(ticket, state, now)
            if not state.has_room(now, proxies):
                roomy.pop(state, None)
            if not state.takes_overdue(now, proxies):
                spare.pop(state, None)
            if not roomy and not spare:
                return

    def _spend_credit(self, ticket: Ticket, now: float) -> None:
        """Move the first ticket of a kind with credit from its kind's queue to that of a broker."""
        record, kind = ticket.record, self.roster.kinds[ticket.route]
        assert record is not None
        kind.refill(self._epoch)
        if record.place != "lane" or kind.volume.credits <= 0 or kind.waiting()[0] is not record:
            return
        among = [each for each in self.roster.states.values() if each.takes(ticket, now)]
        if not among:
            return
        kind.volume.credits -= 1.0
        state = self._choose(ticket, among, now)
        record.leave()
        record.wait_at(state.node, now)  # which counts the arrival
        state.node.window.new_due += record.due <= self._window_end

    def _choose(self, ticket: Ticket, among: list[BrokerState], now: float) -> BrokerState:
        """The broker in whose queue it waits, or else the one that is expected to answer first."""
        if ticket.record is not None and ticket.record.place == "queue":
            for state in among:
                if state.node is ticket.record.node:
                    return state
        agreed = [each.id for each in self.roster.serving(ticket)]
        pace = self.roster.pace(ticket.service)
        return self._placement.choose(ticket, among, agreed, pace, now, self.roster.proxies)

    def _refuse_if_hopeless(self, ticket: Ticket, ahead: int, now: float) -> None:
        advice = refusal(ticket, now, self.roster.outlook(ticket, ahead))
        if advice is not None:
            self._held.remove(ticket)
            self._actions.append(Refuse(ticket, advice))

    def _empty(self, state: BrokerState) -> None:
        """What waits at a broker that takes nothing any more waits for credit again."""
        for record in state.node.held():
            record.leave()
            record.wait_for_credit(self._lobby)

    # Batch items

    def _refuse_unserved_items(self, now: float) -> None:
        """Those whose service has no broker left: their route may name another service by now."""
        for ticket in self._items.in_order(now):
            if not self.roster.serving(ticket):
                self._items.remove(ticket)
                self._actions.append(Refuse(ticket, 0.0))

    def _send_items(self, now: float) -> None:
        """To brokers with spare places, the most urgent first; while live requests wait, only urgent ones."""
        proxies = self.roster.proxies
        if not any(each.batch_places(now, proxies, True) >= 1 for each in self.roster.states.values()):
            return
        for ticket in self._items.in_order(now):
            urgent = ticket.due - now < URGENT_S
            if self._held and not urgent:
                return
            among = [
                each for each in self.roster.states.values()
                if each.batch_places(now, proxies, urgent) >= 1 and each.takes(ticket, now)
            ]  # fmt: skip
            if among:
                self._items.remove(ticket)
                self._send(ticket, self._choose(ticket, among, now), now)

    def _send(self, ticket: Ticket, state: BrokerState, now: float) -> None:
        ticket.sends += 1
        state.send(ticket, now)
        self._where[ticket] = state
        self._actions.append(Send(ticket, state.id))

    def _taken(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions
