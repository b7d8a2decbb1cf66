"""Clients of a day: request arrival times, prompts and retries."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from bench.admission.clock import Clock
from bench.admission.outcomes import Outcome
from bench.admission.proxy import Exchange, Proxy, new_request
from bench.admission.site import Day, Fault, RequestKind, Site, Size, ZoneTraffic
from cherrycove.tier.dataplane.prompt import Prompt, PromptSegment

DEADLINE_MARGIN_S = 0.02
MAX_RETRY_FRACTION = 1 / 3
MIN_RETRY_LEFT_S = 0.05
JobSubmitted = Callable[[ZoneTraffic, RequestKind, float], None]


class PromptMaker:
    """Creates prompts: segments shared by several requests, then a segment of the request's own."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._sizes: dict[str, int] = {}
        self._own = 0

    def make(self, kind: RequestKind, events: int, stride: int) -> Prompt:
        """Return a new prompt; its maximum output is the tokens of ``events`` events."""
        segments = [self._shared(kind, number) for number in range(len(kind.shared))]
        self._own += 1
        segments.append(PromptSegment(f"own-{self._own}", self.size(kind.own_tokens)))
        return Prompt(tuple(segments), sum(segment.tokens for segment in segments), events * stride)

    def size(self, size: Size) -> int:
        """Draw a random size of at least 1."""
        if size.spread <= 0:
            return max(round(size.mean), 1)
        deviation = math.sqrt(math.log(1 + size.spread**2))
        drawn = self._rng.lognormvariate(math.log(size.mean) - deviation**2 / 2, deviation)
        return max(round(min(drawn, size.maximum)), 1)

    def _shared(self, kind: RequestKind, number: int) -> PromptSegment:
        part = kind.shared[number]
        segment_id = f"{kind.name}-{number}-{self._rng.randrange(part.variants)}"
        if segment_id not in self._sizes:
            self._sizes[segment_id] = self.size(part.size)
        return PromptSegment(segment_id, self._sizes[segment_id])


class Clients:
    """Sends all requests of a day; each client uses one proxy and another one for a retry."""

    def __init__(
        self,
        clock: Clock,
        site: Site,
        day: Day,
        proxies: list[Proxy],
        rng: random.Random,
        on_job: JobSubmitted,
    ) -> None:
        self.outcomes: list[Outcome] = []
        self.prompts = PromptMaker(rng)
        self._clock = clock
        self._site = site
        self._proxies = proxies
        self._rng = rng
        self._on_job = on_job
        self._kinds = {kind.name: kind for kind in site.kinds}
        self._bursts = [fault for fault in day.faults if fault.kind == "burst"]
        for zone in day.traffic:
            self._start_zone(zone)

    def _start_zone(self, zone: ZoneTraffic) -> None:
        candidates = [proxy for proxy in self._proxies if proxy.zone == zone.zone]
        home_proxies = [self._rng.choice(candidates) for _ in range(zone.clients)]
        total = sum(zone.mix.values())
        for name, share in zone.mix.items():
            self._schedule_next(zone, self._kinds[name], zone.per_s * share / total, home_proxies)

    def _schedule_next(
        self, zone: ZoneTraffic, kind: RequestKind, per_s: float, home_proxies: list[Proxy]
    ) -> None:
        """Schedule the next arrival by thinning a Poisson process (Lewis, Shedler: thinning, 1979)."""
        highest = (
            per_s * (1 + zone.amplitude) * max([1.0, *(burst.number("x", 1.0) for burst in self._bursts)])
        )
        when = self._clock.now
        while True:
            when += self._rng.expovariate(highest)
            if when > self._site.length_s:
                return
            if self._rng.random() * highest < per_s * self._factor(zone, kind, when):
                break
        self._clock.at(when, self._send_and_schedule_next, zone, kind, per_s, home_proxies)

    def _factor(self, zone: ZoneTraffic, kind: RequestKind, when: float) -> float:
        factor = 1 + zone.amplitude * math.sin(2 * math.pi * (when / zone.period_s + zone.phase))
        for burst in self._bursts:
            factor *= self._burst_factor(burst, zone, kind, when)
        return factor

    def _burst_factor(self, burst: Fault, zone: ZoneTraffic, kind: RequestKind, when: float) -> float:
        is_matching = burst.fields.get("class", kind.name) == kind.name
        is_matching = is_matching and burst.fields.get("zone", zone.zone) == zone.zone
        is_on = burst.at <= when < burst.at + burst.number("for_s", 5.0)
        return burst.number("x", 1.0) if is_matching and is_on else 1.0

    def _send_and_schedule_next(
        self, zone: ZoneTraffic, kind: RequestKind, per_s: float, home_proxies: list[Proxy]
    ) -> None:
        if kind.is_batch:
            self._on_job(zone, kind, self._clock.now)
        else:
            outcome = Outcome(kind, zone.zone, self._clock.now)
            self.outcomes.append(outcome)
            events = self.prompts.size(kind.events)
            prompt = self.prompts.make(kind, events, self._site.engine.stride)
            self._send(outcome, prompt, events, self._rng.choice(home_proxies))
        self._schedule_next(zone, kind, per_s, home_proxies)

    def _send(self, outcome: Outcome, prompt: Prompt, events: int, proxy: Proxy) -> None:
        arrived_at = self._clock.now + self._site.client_s
        left_s = outcome.sent_at + outcome.kind.client_timeout_s - self._clock.now
        if left_s <= MIN_RETRY_LEFT_S:
            return
        self._clock.at(arrived_at, self._arrive, outcome, prompt, events, proxy, left_s)

    def _arrive(self, outcome: Outcome, prompt: Prompt, events: int, proxy: Proxy, left_s: float) -> None:
        def retry(retry_after_s: float) -> None:
            delay_s = min(retry_after_s, left_s * MAX_RETRY_FRACTION) + 3 * self._site.client_s
            if outcome.rejections < 1 and outcome.first_event_at is None:
                outcome.rejections += 1
                self._clock.after(delay_s, self._send, outcome, prompt, events, self._other_proxy(proxy))

        def failed() -> None:
            if outcome.kind.is_resumable and outcome.first_event_at is None:
                retry(0.0)

        if not proxy.is_up:
            retry(0.0)
            return
        timeout_s = min(left_s, outcome.kind.route_timeout_s) - DEADLINE_MARGIN_S
        now = self._clock.now
        request = new_request(outcome, outcome.kind.name, prompt, now, timeout_s, math.inf)
        proxy.accept(
            Exchange(
                outcome=outcome,
                request=request,
                events_left=events,
                on_rejected=retry,
                on_failed=failed,
                on_done=_ignore_completion,
            )  # fmt: skip
        )

    def _other_proxy(self, proxy: Proxy) -> Proxy:
        candidates = [each for each in self._proxies if each.zone == proxy.zone and each.is_up]
        return self._rng.choice(candidates or self._proxies)


def _ignore_completion() -> None:
    """Do nothing: the client has its complete response."""
