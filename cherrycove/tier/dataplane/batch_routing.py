"""Which requests hand a batch job in, or ask for one. Pure."""

from __future__ import annotations

from cherrycove.tier.configuration import Configuration, Route

BATCH_KIND = "batch"
BATCH_PATHS = ("/api/lots/", "/api/items/")


def is_batch_api_request(method: str, path: str, route: Route | None, lots: Route | None) -> bool:
    """Whether the request is for the batch plane; ``route`` is what it matches, ``lots`` its host's batch
    route. Paths of batch jobs belong to no other route, unless its prefix is one of them, or its host has no
    batch jobs."""
    if route is None:
        return path.startswith(BATCH_PATHS)
    if route.route_kind == BATCH_KIND and method == "POST":
        return True
    asks = path.startswith(BATCH_PATHS) and method in ("GET", "DELETE")
    return lots is not None and asks and not route.path_prefix.startswith(BATCH_PATHS)


def find_batch_route(configuration: Configuration, host: str) -> Route | None:
    """The first batch route of a host."""
    name = host.partition(":")[0].lower()
    of_host = (each for each in configuration.routes if each.hostname.lower() == name)
    return next((each for each in of_host if each.route_kind == BATCH_KIND), None)
