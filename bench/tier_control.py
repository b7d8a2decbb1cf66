"""Measures the control plane of the serving tier: real keepers on loopback, each in its own process.

    python -m bench.tier_control [--orders N] [--losses N] [--starts N] [--document BYTES]

Measured are:

- the time from sending a configuration change to its acknowledgement (p50, p99), and the sequential syncs in
  that time: the longest chain of syncs of all keepers, each of which began after the previous one had ended
- the time from the kill of the primary keeper to the next acknowledged change, which is sent to all other
  keepers at the same time
- the time from the start of all keepers, after all were killed, to the first response 200 to a read

Measurement starts after a first change is in force.
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

REQUEST_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 0.005
TRACED_LAUNCHER = ("-m", "bench.traced_syncs")
CHANGE_INTERVAL_S = 0.05  # between two changes, so that syncs of one are not counted for the next


class TracedTier(SmallTier):
    """A tier of keepers only, which record their syncs."""

    def _create_daemons(self) -> list[Daemon]:
        daemons = super()._create_daemons()
        for daemon in daemons:
            daemon.launcher = TRACED_LAUNCHER
            daemon.environment[TRACE_VARIABLE] = str(self.trace_path(daemon))
        return daemons

    def trace_path(self, daemon: Daemon) -> Path:
        return self.directory / f"{daemon.name}.syncs"

    def syncs(self) -> list[tuple[float, float]]:
        """Return the start and end time of every sync of all keepers."""
        paths = (self.trace_path(daemon) for daemon in self.daemons)
        lines = [line for path in paths if path.exists() for line in path.read_text().splitlines()]
        return [(float(began), float(ended)) for began, ended in (line.split() for line in lines)]


@attrs.frozen
class AcknowledgedChange:
    """An acknowledged configuration change; times are monotonic seconds."""

    sent: float
    acknowledged: float
    keeper: Daemon

    @property
    def seconds(self) -> float:
        return self.acknowledged - self.sent


class Operator:
    """Sends one configuration change after the other, each based on the previous version."""

    def __init__(self, tier: SmallTier, session: aiohttp.ClientSession, size: int) -> None:
        self._tier = tier
        self._session = session
        self._document = json.loads(CONFIGURATION_PATH.read_text())
        self._padding = "x" * size
        self._version = 0
        self._keeper: Daemon | None = None

    async def change(self) -> AcknowledgedChange:
        """Send the next change until a keeper acknowledges it."""
        document = {**self._document, "version": self._version + 1, "padding": self._padding}
        body = json.dumps(document).encode()
        sent = time.monotonic()
        running = self._tier.keepers
        keepers = [self._keeper] if self._keeper in running else running
        self._keeper = await _first_completed(
            self._send_until_acknowledged(keeper, body) for keeper in keepers
        )
        self._version += 1
        return AcknowledgedChange(sent, time.monotonic(), self._keeper)

    async def _send_until_acknowledged(self, keeper: Daemon, body: bytes) -> Daemon:
        """Send ``body`` to ``keeper`` until it acknowledges it."""
        while not await self._returns_200("PUT", keeper, body):
            await asyncio.sleep(RETRY_INTERVAL_S)
        return keeper

    async def read(self) -> Daemon:
        """Read from all keepers until one returns a configuration, and return that keeper."""
        return await _first_completed(self._read_until_answered(keeper) for keeper in self._tier.keepers)

    async def _read_until_answered(self, keeper: Daemon) -> Daemon:
        while not await self._returns_200("GET", keeper):
            await asyncio.sleep(RETRY_INTERVAL_S)
        return keeper

    async def _returns_200(self, method: str, keeper: Daemon, body: bytes | None = None) -> bool:
        headers = {"If-Match": f'"{self._version}"'} if body is not None else {}
        url = f"http://{keeper.control_plane}/api/configuration"
        request = self._session.request(method, url, data=body, headers=headers, allow_redirects=False)
        try:
            async with request as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


async def _first_completed(attempts: Iterable[Coroutine[Any, Any, Daemon]]) -> Daemon:
    """Return the result of the first of ``attempts`` to complete; cancel the others."""
    tasks = [asyncio.ensure_future(attempt) for attempt in attempts]
    done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
    return done.pop().result()


def longest_chain(syncs: Sequence[tuple[float, float]], change: AcknowledgedChange) -> int:
    """Return the length of the longest chain of sequential syncs within ``change``."""
    last_end = float("-inf")
    chain = 0
    for began, ended in sorted(syncs, key=lambda sync: sync[1]):
        if began >= max(change.sent, last_end) and ended <= change.acknowledged:
            chain += 1
            last_end = ended
    return chain


def _milliseconds(values: Sequence[float]) -> str:
    ordered = sorted(values)
    last = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    return (
        f"p50 {statistics.median(ordered) * 1000:.1f} ms, p99 {last * 1000:.1f} ms,"
        f" {len(ordered)} samples, range {ordered[0] * 1000:.1f} to {ordered[-1] * 1000:.1f} ms"
    )


async def measure_changes(tier: TracedTier, operator: Operator, count: int) -> None:
    changes: list[AcknowledgedChange] = []
    for _ in range(count):
        changes.append(await operator.change())
        await asyncio.sleep(CHANGE_INTERVAL_S)
    print(f"change to acknowledgement: {_milliseconds([change.seconds for change in changes])}")
    syncs = tier.syncs()
    chains = [longest_chain(syncs, change) for change in changes]
    print(f"sequential syncs per change: median {statistics.median(chains):g}, most {max(chains)}")


async def measure_failovers(operator: Operator, count: int) -> None:
    """Measure the time from the kill of the primary to the next acknowledged change.

    The killed keeper is restarted after each measurement and follows the new primary before the next one.
    """
    durations: list[float] = []
    for _ in range(count):
        killed = (await operator.change()).keeper
        began = time.monotonic()
        await killed.kill()
        durations.append((await operator.change()).acknowledged - began)
        await killed.start()
        await _wait_until_follower(killed)
    print(f"kill of the primary to the next acknowledged change: {_milliseconds(durations)}")


async def _wait_until_follower(keeper: Daemon) -> None:
    """Wait until ``keeper`` redirects requests to another keeper as the primary."""

    async def redirects_to_primary() -> bool:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        url = f"http://{keeper.control_plane}/api/configuration"
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(url, allow_redirects=False) as response,
            ):
                return response.status == 307
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    await until(f"{keeper.name} redirects to the primary", redirects_to_primary)


async def measure_starts(tier: SmallTier, operator: Operator, count: int) -> None:
    """Measure the time from the restart of all keepers, after a kill of all, to the first successful read."""
    durations: list[float] = []
    keepers = tier.keepers
    for _ in range(count):
        await asyncio.gather(*(keeper.kill() for keeper in keepers))
        began = time.monotonic()
        await asyncio.gather(*(keeper.start() for keeper in keepers))
        await operator.read()
        durations.append(time.monotonic() - began)
    print(f"restart of all keepers to a confirmed primary: {_milliseconds(durations)}")


async def run(options: argparse.Namespace) -> None:
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    with tempfile.TemporaryDirectory() as directory:
        tier = TracedTier(Path(directory), [], Sizes(keepers=3, stores=0, proxies=0))
        async with tier, aiohttp.ClientSession(timeout=timeout) as session:
            operator = Operator(tier, session, options.document)
            await operator.change()
            await measure_changes(tier, operator, options.orders)
            await measure_failovers(operator, options.losses)
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
