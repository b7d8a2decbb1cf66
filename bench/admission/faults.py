"""Injects the faults of a day that concern admission; records the kinds of the others as skipped."""

from __future__ import annotations

import random
from collections.abc import Callable

from bench.admission.clock import Clock
from bench.admission.engine import EngineFault
from bench.admission.network import BrokerHost, Network
from bench.admission.site import Fault, Site

UNLISTED_AFTER_S = 2.0  # time from a crash until the platform removes the broker from its listing
DRAIN_S = 5.0  # time for which a draining broker keeps serving
RESTART_S = 1.5  # time a proxy takes to start, in addition to its downtime
GREY_FAULTS = {"mute": EngineFault.HANGING, "hang": EngineFault.HANGING}


class FaultScheduler:
    """Schedules the faults of one day. Bursts are handled by ``Clients``."""

    def __init__(
        self,
        clock: Clock,
        site: Site,
        network: Network,
        rng: random.Random,
        kill_proxies: Callable[[float, float], None],
    ) -> None:
        """``kill_proxies`` takes the share of proxies to kill and their downtime in seconds."""
        self.skipped_faults: list[str] = []
        self._clock = clock
        self._site = site
        self._network = network
        self._rng = rng
        self._kill_proxies = kill_proxies

    def add(self, fault: Fault) -> None:
        """Schedule one fault, or record its kind as skipped."""
        match fault.kind:
            case "burst":
                pass
            case "srv_crash":
                self._clock.at(fault.at, self._crash, fault)
            case "srv_grey" | "srv_lying_health" if fault.fields.get("how") != "bad":
                self._clock.at(fault.at, self._start_grey_failure, fault)
            case "srv_flap":
                self._clock.at(fault.at, self._flap, fault)
            case "release":
                self._clock.at(fault.at, self._release, fault)
            case "herd_kill":
                down_s = fault.number("for_s", 1.0) + RESTART_S
                self._clock.at(fault.at, self._kill_proxies, fault.number("share", 0.6), down_s)
            case _:
                self.skipped_faults.append(fault.kind)

    def _choose_hosts(self, fault: Fault, share: float) -> list[BrokerHost]:
        hosts = self._network.hosts
        return self._rng.sample(hosts, max(round(fault.number("share", share) * len(hosts)), 1))

    def _crash(self, fault: Fault) -> None:
        is_unresponsive = fault.fields.get("how") == "dark"
        for host in self._choose_hosts(fault, 0.15):
            self._take_down(host, EngineFault.UNRESPONSIVE if is_unresponsive else EngineFault.REFUSING)
            if fault.fields.get("how") != "gone":
                self._clock.after(fault.number("for_s", 5.0), self._network.replace, host)

    def _take_down(self, host: BrokerHost, kind: EngineFault) -> None:
        host.engine.fault = kind
        if kind is EngineFault.UNRESPONSIVE:
            host.engine.discard_all()
        else:
            host.engine.abort_all()
        self._clock.after(UNLISTED_AFTER_S, self._network.unlist, host.instance_id)

    def _start_grey_failure(self, fault: Fault) -> None:
        engine_fault = GREY_FAULTS.get(str(fault.fields.get("how", "errors")), EngineFault.FAILING)
        for host in self._choose_hosts(fault, 0.15):
            engine = host.engine
            engine.fault = engine_fault
            engine.affected_share = fault.number("x", 0.4) if fault.kind == "srv_grey" else 1.0
            self._clock.after(fault.number("for_s", 5.0), setattr, engine, "fault", EngineFault.NONE)

    def _flap(self, fault: Fault) -> None:
        period_s, ends_at = fault.number("gap_s", 1.0), self._clock.now + fault.number("for_s", 5.0)
        for host in self._choose_hosts(fault, 0.15):
            self._flap_once(host, period_s, ends_at)

    def _flap_once(self, host: BrokerHost, period_s: float, ends_at: float) -> None:
        if self._clock.now >= ends_at:
            return
        host.engine.fault = EngineFault.REFUSING
        host.engine.abort_all()
        self._clock.after(period_s / 2, setattr, host.engine, "fault", EngineFault.NONE)
        self._clock.after(period_s, self._flap_once, host, period_s, ends_at)

    def _release(self, fault: Fault) -> None:
        chosen = self._choose_hosts(fault, 0.5)
        at_once = int(fault.number("x", 1))
        for number, host in enumerate(chosen):
            delay_s = number // at_once * fault.number("gap_s", 1.0)
            self._clock.after(delay_s, self._replace_drained, host)

    def _replace_drained(self, host: BrokerHost) -> None:
        old_id, old = host.instance_id, host.engine
        self._network.replace(host)
        self._clock.after(self._site.listing_lag_s, self._network.drain, old_id)
        self._clock.after(DRAIN_S, self._network.unlist, old_id)
        self._clock.after(DRAIN_S, setattr, old, "fault", EngineFault.REFUSING)
        self._clock.after(DRAIN_S, old.abort_all)
