"""``losses``: why proxies did not answer requests in time."""

from __future__ import annotations

from collections import Counter
from http import HTTPStatus

import attrs
from cleo.helpers import argument

from cherrycove.tier.cli.command import JSON_OPTION, CommandError, ExitCode, Outcome, Problem
from cherrycove.tier.cli.http_client import HttpRequest, HttpResponse, send
from cherrycove.tier.cli.network_command import TIMEOUT_OPTION, NetworkCommand
from cherrycove.tier.cli.operator_command import parse_object, rejection

LOSSES_PATH = "/api/losses"


@attrs.frozen
class RouteLosses:
    """Requests of one route that were not answered in time, by cause, the most frequent first."""

    route: str
    causes: dict[str, int]


@attrs.frozen
class LossesDocument:
    """The losses of all proxies that were asked, since each of them started."""

    proxies: list[str]
    routes: list[RouteLosses]

    def lines(self) -> list[str]:
        """One line for each route and cause."""
        return [
            f"{each.route}: {cause} {count}" for each in self.routes for cause, count in each.causes.items()
        ]


class LossesCommand(NetworkCommand):
    """Adds up the losses that proxies counted; each is asked at its readiness address."""

    name = "losses"
    description = "Counts requests that were not answered in time, by route and cause."
    arguments = [argument("proxy", "HOST:PORT of a proxy's readiness address.", multiple=True)]
    options = [TIMEOUT_OPTION, JSON_OPTION]

    def perform(self) -> Outcome:
        """Return the sums; raises CommandError where a proxy does not answer, or not with losses."""
        proxies: list[str] = self.argument("proxy")
        counts: dict[str, Counter[str]] = {}
        for proxy in proxies:
            for route, causes in self._fetch(proxy).items():
                counts.setdefault(route, Counter()).update(causes)
        routes = [RouteLosses(route, dict(causes.most_common())) for route, causes in sorted(counts.items())]
        document = LossesDocument(proxies, routes)
        return Outcome(document, document.lines() or ["no losses"])

    def _fetch(self, proxy: str) -> dict[str, dict[str, int]]:
        response = send([proxy], HttpRequest("GET", LOSSES_PATH), self.timeout_s())
        if response.status != HTTPStatus.OK:
            raise rejection(response)
        return _parse(response)


def _parse(response: HttpResponse) -> dict[str, dict[str, int]]:
    losses = parse_object(response.body, response.address).get("losses")
    if not isinstance(losses, dict) or not all(_is_counts(causes) for causes in losses.values()):
        raise CommandError(
            ExitCode.INVALID, Problem("is not counts by route and cause", response.address, "losses")
        )
    return losses


def _is_counts(causes: object) -> bool:
    return isinstance(causes, dict) and all(type(count) is int for count in causes.values())
