"""Recognises calls of the batch API: submissions of a job, and queries about one.

Performs no I/O.
"""

from __future__ import annotations

from cherrycove.tier.configuration import Configuration, Route

BATCH_PATHS = ("/api/lots/", "/api/items/")


def is_batch_api_request(method: str, path: str, route: Route | None, host_batch_route: Route | None) -> bool:
    """Whether a request is for the batch API.

    ``route`` is the route that the request matches, ``host_batch_route`` the batch route of its host. A
    GET or DELETE below ``BATCH_PATHS`` is a batch API call even if another route matches it, unless the
    prefix of that route is itself below ``BATCH_PATHS`` or the host has no batch route.
    """
    if route is None:
        return path.startswith(BATCH_PATHS)
    if route.is_batch and method == "POST":
        return True
    is_query = path.startswith(BATCH_PATHS) and method in ("GET", "DELETE")
    return host_batch_route is not None and is_query and not route.path_prefix.startswith(BATCH_PATHS)


def find_batch_route(configuration: Configuration, host: str) -> Route | None:
    """The first batch route of the host named in a ``Host`` field; None if the host has none."""
    name = host.partition(":")[0].lower()
    of_host = (route for route in configuration.routes if route.hostname.lower() == name)
    return next((route for route in of_host if route.is_batch), None)
