"""What the control side of the serving tier costs: real keepers on loopback, each a process of its own.

    python -m bench.tier_control [--orders N] [--losses N] [--starts N] [--document BYTES]

An order to its acknowledgement (p50, p99), and the syncs in a row that it takes: the longest chain of syncs
of all keepers between the sending and the answer of which each began after the one before had ended. The time
from the kill of the primary keeper to the next acknowledged change, which is sent to all others at once. The
time from the start of all keepers, after all were killed, to the first answer 200 to a read. Nothing is
counted before a first change is in force.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import tempfile
import time
from collections.abc import Coroutine, Iterable, Sequence
from pathlib import Path
from typing import Any

import aiohttp
import attrs

from bench.traced_syncs import TRACE_VARIABLE
from examples.small_tier import CONFIGURATION_PATH, SmallTier, until
from examples.tier_processes import Daemon, Sizes

QUESTION_TIMEOUT_S = 1.0
RETRY_S = 0.005
TRACED = ("-m", "bench.traced_syncs")
IDLE_S = 0.05  # between two orders, so that syncs of one are not taken for syncs of the next


class TracedTier(SmallTier):
    """Keepers alone, which note their syncs."""

    def _lay_out(self) -> list[Daemon]:
        daemons = super()._lay_out()
        for daemon in daemons:
            daemon.launcher = TRACED
            daemon.environment[TRACE_VARIABLE] = str(self.trace_path(daemon))
        return daemons

    def trace_path(self, daemon: Daemon) -> Path:
        return self.directory / f"{daemon.name}.syncs"

    def syncs(self) -> list[tuple[float, float]]:
        """Begin and end of every sync of all keepers."""
        paths = (self.trace_path(daemon) for daemon in self.daemons)
        lines = [line for path in paths if path.exists() for line in path.read_text().splitlines()]
        return [(float(began), float(ended)) for began, ended in (line.split() for line in lines)]


@attrs.frozen
class Answered:
    """An acknowledged order."""

    sent: float
    acknowledged: float
    keeper: Daemon

    @property
    def seconds(self) -> float:
        return self.acknowledged - self.sent


class Operator:
    """Sends one change after the other, each on top of the one before."""

    def __init__(self, tier: SmallTier, session: aiohttp.ClientSession, size: int) -> None:
        self._tier = tier
        self._session = session
        self._document = json.loads(CONFIGURATION_PATH.read_text())
        self._padding = "x" * size
        self._version = 0
        self._keeper: Daemon | None = None

    async def change(self) -> Answered:
        """The next change, sent until a keeper acknowledges it."""
        document = {**self._document, "version": self._version + 1, "padding": self._padding}
        body = json.dumps(document).encode()
        sent = time.monotonic()
        running = self._tier.keepers
        keepers = [self._keeper] if self._keeper in running else running
        self._keeper = await _first(self._sends(keeper, body) for keeper in keepers)
        self._version += 1
        return Answered(sent, time.monotonic(), self._keeper)

    async def _sends(self, keeper: Daemon, body: bytes) -> Daemon:
        """Send ``body`` to ``keeper`` until it acknowledges it."""
        while not await self._answers_200("PUT", keeper, body):
            await asyncio.sleep(RETRY_S)
        return keeper

    async def read(self) -> Daemon:
        """Ask all keepers until one answers with the newest configuration."""
        return await _first(self._reads(keeper) for keeper in self._tier.keepers)

    async def _reads(self, keeper: Daemon) -> Daemon:
        while not await self._answers_200("GET", keeper):
            await asyncio.sleep(RETRY_S)
        return keeper

    async def _answers_200(self, method: str, keeper: Daemon, body: bytes | None = None) -> bool:
        headers = {"If-Match": f'"{self._version}"'} if body is not None else {}
        url = f"http://{keeper.control_plane}/api/configuration"
        request = self._session.request(method, url, data=body, headers=headers, allow_redirects=False)
        try:
            async with request as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


async def _first(attempts: Iterable[Coroutine[Any, Any, Daemon]]) -> Daemon:
    """What the first of ``attempts`` returns; the others are given up."""
    tasks = [asyncio.ensure_future(attempt) for attempt in attempts]
    done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
    return done.pop().result()


def longest_chain(syncs: Sequence[tuple[float, float]], order: Answered) -> int:
    """How many syncs within ``order`` followed each other."""
    ends = float("-inf")
    chain = 0
    for began, ended in sorted(syncs, key=lambda sync: sync[1]):
        if began >= max(order.sent, ends) and ended <= order.acknowledged:
            chain += 1
            ends = ended
    return chain


def _milliseconds(values: Sequence[float]) -> str:
    ordered = sorted(values)
    last = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    return (
        f"p50 {statistics.median(ordered) * 1000:.1f} ms, p99 {last * 1000:.1f} ms,"
        f" {len(ordered)} times, all within {ordered[0] * 1000:.1f} to {ordered[-1] * 1000:.1f} ms"
    )


async def measure_orders(tier: TracedTier, operator: Operator, count: int) -> None:
    answered: list[Answered] = []
    for _ in range(count):
        answered.append(await operator.change())
        await asyncio.sleep(IDLE_S)
    print(f"an order to its acknowledgement: {_milliseconds([order.seconds for order in answered])}")
    syncs = tier.syncs()
    chains = [longest_chain(syncs, order) for order in answered]
    print(f"syncs in a row for an order: median {statistics.median(chains):g}, most {max(chains)}")


async def measure_losses(operator: Operator, count: int) -> None:
    """Kill the primary; the next acknowledged change; start it again, and let it catch up."""
    durations: list[float] = []
    for _ in range(count):
        lost = (await operator.change()).keeper
        began = time.monotonic()
        await lost.kill()
        durations.append((await operator.change()).acknowledged - began)
        await lost.start()
        await _follows(lost)
    print(f"the primary's loss to the next acknowledged change: {_milliseconds(durations)}")


async def _follows(keeper: Daemon) -> None:
    """Until ``keeper`` names another one as the primary."""

    async def points_elsewhere() -> bool:
        timeout = aiohttp.ClientTimeout(total=QUESTION_TIMEOUT_S)
        url = f"http://{keeper.control_plane}/api/configuration"
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(url, allow_redirects=False) as answer,
            ):
                return answer.status == 307
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    await until(f"{keeper.name} follows", points_elsewhere)


async def measure_starts(tier: SmallTier, operator: Operator, count: int) -> None:
    """Kill all keepers at once and start them again."""
    durations: list[float] = []
    keepers = tier.keepers
    for _ in range(count):
        await asyncio.gather(*(keeper.kill() for keeper in keepers))
        began = time.monotonic()
        await asyncio.gather(*(keeper.start() for keeper in keepers))
        await operator.read()
        durations.append(time.monotonic() - began)
    print(f"the start of all, after all were killed, to a confirmed primary: {_milliseconds(durations)}")


async def run(options: argparse.Namespace) -> None:
    timeout = aiohttp.ClientTimeout(total=QUESTION_TIMEOUT_S)
    with tempfile.TemporaryDirectory() as directory:
        tier = TracedTier(Path(directory), [], Sizes(keepers=3, stores=0, proxies=0))
        async with tier, aiohttp.ClientSession(timeout=timeout) as session:
            operator = Operator(tier, session, options.document)
            await operator.change()
            await measure_orders(tier, operator, options.orders)
            await measure_losses(operator, options.losses)
            await measure_starts(tier, operator, options.starts)


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m bench.tier_control", description=__doc__)
    parser.add_argument("--orders", type=int, default=300)
    parser.add_argument("--losses", type=int, default=9)
    parser.add_argument("--starts", type=int, default=5)
    parser.add_argument("--document", type=int, default=4096, help="bytes of padding in a configuration")
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
