"""Follows discovery's list of disk nodes until cancelled.

This module owns the one connection to discovery and decides when it is queried again. It must never change
the list by itself: the last valid one is kept until discovery sends another.
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

WATCH_TIMEOUT_S = 5.0  # how long discovery may hold a long poll until the list changes
WATCH_SLACK_S = 1.0  # added to that before discovery counts as unreachable; also the connect time-out
FULL_LIST_TIMEOUT_S = 4.0  # for the full list, which discovery returns at once
# The first retry of a failed watch is due within the 200 ms in which a watch must continue; both bounds are
# within the time in which a change must be known.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0


async def watch(core: Core, address: str, zones: Mapping[str, int], need_full_list: bool = False) -> None:
    """Follow discovery's list at ``address`` until cancelled, and update the core.

    With ``need_full_list`` the first query asks for the full list, because the core's list is from another
    source. Failures are retried for ever; only the first one after a success is logged.
    """
    # aiohttp rounds time-outs over 5 s up to a full second of the loop's clock, so ``_query`` sets its own.
    limit = aiohttp.ClientTimeout(total=None, sock_connect=WATCH_SLACK_S)
    async with aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar(), timeout=limit) as session:
        has_list, is_failing, backoff_s = (
            core.version is not None and not need_full_list,
            False,
            MIN_BACKOFF_S,
        )
        while True:
            try:
                nodes = await _query(session, address, zones, core.version if has_list else None)
                if not nodes.full and nodes.version < (core.version or 0):
                    has_list = False  # discovery has restarted: its changes refer to a list not seen here
                    continue
                _update(core, nodes)
                has_list, is_failing, core.source_unreachable, backoff_s = True, False, False, MIN_BACKOFF_S
            except (NodeListError, aiohttp.ClientError, OSError, ValueError) as error:
                if not is_failing:
                    log.warning("discovery.silent", why=str(error) or type(error).__name__)
                is_failing = True
                core.list_unavailable()
                # Without jitter many brokers would retry in step and keep an overloaded discovery down.
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)


async def _query(
    session: aiohttp.ClientSession, address: str, zones: Mapping[str, int], since: int | None
) -> NodeList:
    """Return the changes since a version, once there are any; the full list if ``since`` is None."""
    query = "" if since is None else f"?since={since}&timeout_ms={int(WATCH_TIMEOUT_S * 1000)}"
    url = URL(f"http://{address}/api/targets{query}", encoded=True)
    async with (
        asyncio.timeout(FULL_LIST_TIMEOUT_S if since is None else WATCH_TIMEOUT_S + WATCH_SLACK_S),
        session.get(url, allow_redirects=False) as response,
    ):
        if response.status != 200:
            raise NodeListError(f"discovery answered with status {response.status}")
        nodes = parse_node_list(await response.read(), zones)
    if not nodes.full and since is None:
        raise NodeListError("discovery sent changes instead of the full list")
    return nodes


def _update(core: Core, nodes: NodeList) -> None:
    if nodes.full or nodes.members or nodes.version != core.version:
        log.info("nodes.listed", version=nodes.version, nodes=_summary(nodes))
        core.update(nodes)


def _summary(nodes: NodeList) -> str:
    return " ".join(f"{member.name}:{member.state.value}" for member in nodes.members) or "no change"
