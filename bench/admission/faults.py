"""The faults of a day, by kind, as far as they concern admission; others are left out and named."""

from __future__ import annotations

import random
from collections.abc import Callable

from bench.admission.clock import Clock
from bench.admission.engine import Fault as EngineFault
from bench.admission.network import BrokerSite, Network
from bench.admission.site import Fault, Site

UNLISTED_AFTER_S = 2.0  # after a crash
LINGER_S = 5.0  # for which a draining broker serves on
RESTART_S = 1.5  # from a kill of a proxy until it serves again
GREY_FAULTS = {"mute": EngineFault.MUTE, "hang": EngineFault.MUTE}


class FaultPlayer:
    """Puts the faults of one day on the agenda. Bursts are read by the clients."""

    def __init__(
        self,
        clock: Clock,
        site: Site,
        network: Network,
        rng: random.Random,
        kill_proxies: Callable[[float, float], None],
    ) -> None:
        """``kill_proxies`` takes a share of them, and for how long they are down in s."""
        self.left_out: list[str] = []
        self._clock = clock
        self._site = site
        self._network = network
        self._rng = rng
        self._kill_proxies = kill_proxies

    def add(self, fault: Fault) -> None:
        """Put one fault on the agenda."""
        match fault.kind:
            case "burst":
                pass
            case "srv_crash":
                self._clock.at(fault.at, self._crash, fault)
            case "srv_grey" | "srv_lying_health" if fault.fields.get("how") != "bad":
                self._clock.at(fault.at, self._be_grey, fault)
            case "srv_flap":
                self._clock.at(fault.at, self._flap, fault)
            case "release":
                self._clock.at(fault.at, self._release, fault)
            case "herd_kill":
                down_s = fault.number("for_s", 1.0) + RESTART_S
                self._clock.at(fault.at, self._kill_proxies, fault.number("share", 0.6), down_s)
            case _:
                self.left_out.append(fault.kind)

    def _chosen(self, fault: Fault, share: float) -> list[BrokerSite]:
        sites = self._network.sites
        return self._rng.sample(sites, max(round(fault.number("share", share) * len(sites)), 1))

    def _crash(self, fault: Fault) -> None:
        is_dark = fault.fields.get("how") == "dark"
        for place in self._chosen(fault, 0.15):
            self._take_down(place, EngineFault.DARK if is_dark else EngineFault.GONE)
            if fault.fields.get("how") != "gone":
                self._clock.after(fault.number("for_s", 5.0), self._network.replace, place)

    def _take_down(self, place: BrokerSite, kind: EngineFault) -> None:
        place.engine.fault = kind
        if kind is EngineFault.DARK:
            place.engine.forget_all()
        else:
            place.engine.break_all()
        self._clock.after(UNLISTED_AFTER_S, self._network.unlist, place.instance_id)

    def _be_grey(self, fault: Fault) -> None:
        how = GREY_FAULTS.get(str(fault.fields.get("how", "errors")), EngineFault.FAILING)
        for place in self._chosen(fault, 0.15):
            engine = place.engine
            engine.fault = how
            engine.fault_share = fault.number("x", 0.4) if fault.kind == "srv_grey" else 1.0
            self._clock.after(fault.number("for_s", 5.0), setattr, engine, "fault", EngineFault.NONE)

    def _flap(self, fault: Fault) -> None:
        period_s, ends_at = fault.number("gap_s", 1.0), self._clock.now + fault.number("for_s", 5.0)
        for place in self._chosen(fault, 0.15):
            self._go_down(place, period_s, ends_at)

    def _go_down(self, place: BrokerSite, period_s: float, ends_at: float) -> None:
        if self._clock.now >= ends_at:
            return
        place.engine.fault = EngineFault.GONE
        place.engine.break_all()
        self._clock.after(period_s / 2, setattr, place.engine, "fault", EngineFault.NONE)
        self._clock.after(period_s, self._go_down, place, period_s, ends_at)

    def _release(self, fault: Fault) -> None:
        chosen = self._chosen(fault, 0.5)
        at_once = int(fault.number("x", 1))
        for number, place in enumerate(chosen):
            delay_s = number // at_once * fault.number("gap_s", 1.0)
            self._clock.after(delay_s, self._replace_drained, place)

    def _replace_drained(self, place: BrokerSite) -> None:
        old_id, old = place.instance_id, place.engine
        self._network.replace(place)
        self._clock.after(self._site.listing_lag_s, self._network.drain, old_id)
        self._clock.after(LINGER_S, self._network.unlist, old_id)
        self._clock.after(LINGER_S, setattr, old, "fault", EngineFault.GONE)
        self._clock.after(LINGER_S, old.break_all)
