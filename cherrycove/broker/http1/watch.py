"""Discovery's list of disk nodes, followed for ever.

It owns the one connection to discovery and when it is asked again. It must never change the list by itself:
the last good one stands until there is a better one.
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

WATCH_TIMEOUT_S = 5.0  # s that a watch may wait for news
WATCH_SLACK_S = 1.0  # s past that until it counts as silent
FULL_LIST_TIMEOUT_S = (
    4.0  # s for the whole list, which waits for no news; both are within what silence may take
)
MIN_BACKOFF_S = 0.1  # s before a watch that failed is renewed, doubled with each failure and drawn anew:
MAX_BACKOFF_S = 1.0  # the first within the 200 ms in which one continues, all within what news may take


async def watch(core: Core, address: str, zones: Mapping[str, int], afresh: bool = False) -> None:
    """Follow discovery's list for ever. Whatever it answers, the last good list stands until a better one."""
    # Guard: the library rounds its own limits of over 5 s up to a whole second of the loop's clock.
    limit = aiohttp.ClientTimeout(total=None, sock_connect=WATCH_SLACK_S)
    async with aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar(), timeout=limit) as session:
        known, silent, again = core.version is not None and not afresh, False, MIN_BACKOFF_S
        while True:
            query = f"?since={core.version}&timeout_ms={int(WATCH_TIMEOUT_S * 1000)}" if known else ""
            try:
                url = URL(f"http://{address}/api/targets{query}", encoded=True)
                async with (
                    asyncio.timeout(WATCH_TIMEOUT_S + WATCH_SLACK_S if known else FULL_LIST_TIMEOUT_S),
                    session.get(url, allow_redirects=False) as answer,
                ):
                    if answer.status != 200:
                        raise NodeListError(f"status {answer.status}")
                    news = parse_node_list(await answer.read(), zones)
                if not news.full and not known:
                    raise NodeListError("changes, where the whole list was asked for")
                if not news.full and news.version < (core.version or 0):
                    known = False  # it has started over: changes of an unknown list say nothing
                    continue
                if news.full or news.members or news.version != core.version:
                    log.info("nodes.listed", version=news.version, nodes=_told(news))
                    core.update(news)
                known, silent, core.silent, again = True, False, False, MIN_BACKOFF_S
            except (NodeListError, aiohttp.ClientError, OSError, ValueError) as error:
                if not silent:
                    log.warning("discovery.silent", why=str(error) or type(error).__name__)
                silent = True
                core.list_unavailable()
                # Guard: many brokers that ask in step and at once keep a discovery down that is overbooked.
                await asyncio.sleep(again * random.uniform(0.5, 1.0))
                again = min(2 * again, MAX_BACKOFF_S)


def _told(news: NodeList) -> str:
    return " ".join(f"{m.name}:{m.state.value}" for m in news.members) or "no change"
