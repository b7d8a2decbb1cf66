"""The command ``losses``, which counts by cause the requests that proxies did not answer in time."""

from __future__ import annotations

from collections import Counter
from http import HTTPStatus

import attrs
from cleo.helpers import argument

from cherrycove.tier.cli.command import JSON_OPTION, CommandError, ExitCode, Outcome, Problem
from cherrycove.tier.cli.http_client import HttpRequest, HttpResponse, send
from cherrycove.tier.cli.network_command import TIMEOUT_OPTION, NetworkCommand
from cherrycove.tier.cli.operator_command import parse_object, rejection_error

LOSSES_PATH = "/api/losses"


@attrs.frozen
class RouteLosses:
    """Counts by cause the requests of one route that were not answered in time, the most frequent first."""

    route: str
    causes: dict[str, int]


@attrs.frozen
class LossesDocument:
    """Describes the losses of all proxies that were asked, since each of them started."""

    proxies: list[str]
    routes: list[RouteLosses]

    def lines(self) -> list[str]:
        """Return one line for each route and cause."""
        return [
            f"{losses.route}: {cause} {count}"
            for losses in self.routes
            for cause, count in losses.causes.items()
        ]


class LossesCommand(NetworkCommand):
    """Adds up the losses that proxies have counted; each is asked at its readiness address."""

    name = "losses"
    description = "Counts requests that were not answered in time, by route and cause."
    arguments = [argument("proxy", "HOST:PORT of a proxy's readiness address.", multiple=True)]
    options = [TIMEOUT_OPTION, JSON_OPTION]

    def perform(self) -> Outcome:
        """Return the sums; raises CommandError if a proxy does not answer or its answer is invalid."""
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
            raise rejection_error(response)
        return _parse(response)


def _parse(response: HttpResponse) -> dict[str, dict[str, int]]:
    losses = parse_object(response.body, response.address).get("losses")
    if not isinstance(losses, dict) or not all(_is_counts(causes) for causes in losses.values()):
        raise CommandError(
            ExitCode.INVALID,
            Problem("is not an object of counts by route and cause", response.address, "losses"),
        )
    return losses


def _is_counts(causes: object) -> bool:
    return isinstance(causes, dict) and all(type(count) is int for count in causes.values())
