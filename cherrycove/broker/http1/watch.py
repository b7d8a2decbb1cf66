"""Discovery's list of disk nodes, followed for ever.

It owns the one connection to discovery and when it is queried again. It must never change the list by itself:
the last good one is kept until there is a better one.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping

import aiohttp
from yarl import URL

from cherrycove.broker.core import Core, NodeList
from cherrycove.broker.event_log import Log
from cherrycove.broker.http1.parse import NodeListError, parse_node_list

log = Log("cherrycove.http1")

WATCH_TIMEOUT_S = 5.0  # that discovery may hold a watch until something changes
WATCH_SLACK_S = 1.0  # past that until discovery counts as unreachable
FULL_LIST_TIMEOUT_S = 4.0  # for the full list, which waits for no change
# The first retry of a failed watch is due within the 200 ms in which a watch must continue; both bounds are
# within the time in which a change must be known.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0


async def watch(core: Core, address: str, zones: Mapping[str, int], need_full_list: bool = False) -> None:
    """Follow discovery's list at ``address`` until cancelled, and update the core.

    ``need_full_list``: whether the core's list is from another source. Any failure
    is logged, once until the next success, and retried for ever.
    """
    # aiohttp rounds time-outs over 5 s up to a full second of the loop's clock: they are set apart from it.
    limit = aiohttp.ClientTimeout(total=None, sock_connect=WATCH_SLACK_S)
    async with aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar(), timeout=limit) as session:
        is_known, is_silent, backoff_s = core.version is not None and not need_full_list, False, MIN_BACKOFF_S
        while True:
            try:
                nodes = await _query(session, address, zones, core.version if is_known else None)
                if not nodes.full and nodes.version < (core.version or 0):
                    is_known = False  # discovery has restarted: changes of an unknown list say nothing
                    continue
                _update(core, nodes)
                is_known, is_silent, core.silent, backoff_s = True, False, False, MIN_BACKOFF_S
            except (NodeListError, aiohttp.ClientError, OSError, ValueError) as error:
                if not is_silent:
                    log.warning("discovery.silent", why=str(error) or type(error).__name__)
                is_silent = True
                core.list_unavailable()
                # Jitter: many brokers that retry in step would keep an overloaded discovery down.
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)


async def _query(
    session: aiohttp.ClientSession, address: str, zones: Mapping[str, int], since: int | None
) -> NodeList:
    """The changes since a version, once there are any; the full list if that is None."""
    query = "" if since is None else f"?since={since}&timeout_ms={int(WATCH_TIMEOUT_S * 1000)}"
    url = URL(f"http://{address}/api/targets{query}", encoded=True)
    async with (
        asyncio.timeout(FULL_LIST_TIMEOUT_S if since is None else WATCH_TIMEOUT_S + WATCH_SLACK_S),
        session.get(url, allow_redirects=False) as response,
    ):
        if response.status != 200:
            raise NodeListError(f"status {response.status}")
        nodes = parse_node_list(await response.read(), zones)
    if not nodes.full and since is None:
        raise NodeListError("changes, where the whole list was asked for")
    return nodes


def _update(core: Core, nodes: NodeList) -> None:
    if nodes.full or nodes.members or nodes.version != core.version:
        log.info("nodes.listed", version=nodes.version, nodes=_summary(nodes))
        core.update(nodes)


def _summary(nodes: NodeList) -> str:
    return " ".join(f"{member.name}:{member.state.value}" for member in nodes.members) or "no change"
