"""What admission knows: kinds of requests, brokers, and how fast these are. Folded from the views. Pure."""

from __future__ import annotations

from cherrycove.tier.configuration import Route
from cherrycove.tier.dataplane.admission.broker_state import BrokerState, new_broker
from cherrycove.tier.dataplane.admission.hope import Outlook
from cherrycove.tier.dataplane.admission.interface import Knowledge, Ticket
from cherrycove.tier.dataplane.admission.kinds import Kind, new_kind
from cherrycove.tier.dataplane.admission.pace import Pace

BATCH_KIND = "batch"


class Roster:
    """Kinds by route name, brokers by instance id, paces by service."""

    def __init__(self) -> None:
        self.kinds: dict[str, Kind] = {}
        self.states: dict[str, BrokerState] = {}
        self.paces: dict[str, Pace] = {}
        self.proxies = 1
        self._number = 0

    def know(self, now: float, knowledge: Knowledge) -> None:
        """The views have changed."""
        self.proxies = max(knowledge.proxies, 1)
        if knowledge.configuration is not None:
            for route in knowledge.configuration.routes:
                if route.route_kind != BATCH_KIND:
                    self._know_route(route, knowledge.rates.get(route.name), now)
        self._know_brokers(now, knowledge)

    def _know_route(self, route: Route, rate: float | None, now: float) -> None:
        kind = self.kinds.get(route.name)
        if kind is None or kind.route != route:
            renewed = new_kind(route, now)
            if kind is not None:
                renewed.volume, renewed.longest_s = kind.volume, kind.longest_s
            kind = self.kinds[route.name] = renewed
        if rate is not None:
            kind.rate(rate / self.proxies)

    def _know_brokers(self, now: float, knowledge: Knowledge) -> None:
        listed = {broker.instance_id: broker for broker in knowledge.brokers}
        for name, broker in listed.items():
            service = knowledge.configuration.service(broker.service) if knowledge.configuration else None
            state = self.states.get(name)
            if state is None:
                self._number += 1
                self.states[name] = new_broker(broker, service, self._number, now)
            else:
                state.broker, state.service = broker, service
        for name, state in self.states.items():
            state.listed = name in listed
        self.forget()

    def forget(self) -> None:
        """Drop brokers that are gone once nothing is open there."""
        for state in list(self.states.values()):
            if not state.listed and not state.out and not state.node.head():
                del self.states[state.id]

    def serving(self, ticket: Ticket) -> list[BrokerState]:
        """Brokers that could run the ticket, sooner or later."""
        return [state for state in self.states.values() if state.serves(ticket)]

    def pace(self, service: str) -> Pace:
        return self.paces.setdefault(service, Pace())

    def outlook(self, ticket: Ticket, ahead: int) -> Outlook:
        """What is foretold for a live request with ``ahead`` others before it: that this proxy gets its even
        part of what the brokers can take while all their places are in use."""
        serving, pace = self.serving(ticket), self.pace(ticket.service)
        answering = [state for state in serving if not state.health.failures]
        slots = sum(state.load.slots for state in answering)
        per_s = slots / max(pace.hold_s, 0.001) / self.proxies
        return Outlook(
            wait_s=(ahead + 1) / per_s if per_s else 0.0,
            answer_s=pace.usual_s,
            reachable=bool(answering),
            returned=self.kinds[ticket.route].returned(ticket),
        )
