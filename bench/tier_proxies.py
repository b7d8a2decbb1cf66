"""Measures control plane cost per proxy: ``python -m bench.tier_proxies [--proxies 10 60] [--seconds S]``.

Three real keepers run on loopback, and in this process one real puller for each proxy, with its own
connections, views and announcement. Once all proxies know each other, the CPU time of this process, the calls
and the message bytes in both directions (without HTTP headers) are measured per proxy and second. Every proxy
announces different arrival rates with each pull, as a proxy under load does.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import tempfile
import time
from pathlib import Path

import attrs
import yaml
from result import Ok, Result

from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.distribution.puller import Puller
from cherrycove.tier.errors import Failure
from cherrycove.tier.protocol.calls import Caller, OutgoingCall, ReplyT, RequestT
from cherrycove.tier.protocol.control_pb2 import Announcement
from cherrycove.tier.protocol.rpc import RpcClient
from cherrycove.tier.settings import parse_settings
from examples.small_tier import SmallTier, until
from examples.tier_processes import Daemon, Sizes, make_settings

ROUTES = 6
FIRST_ADDRESS_NUMBER = 101  # last octet of the address of the first proxy
JOIN_TIMEOUT_S = 60.0


@attrs.define
class Traffic:
    """Counts calls and the bytes of sent and received messages."""

    calls: int = 0
    sent: int = 0
    received: int = 0


class CountingCaller(Caller):
    """Wraps a caller and counts its calls and bytes in ``traffic``."""

    def __init__(self, caller: Caller, traffic: Traffic) -> None:
        self._caller = caller
        self._traffic = traffic

    async def send(self, call: OutgoingCall[RequestT, ReplyT]) -> Result[ReplyT, Failure]:
        self._traffic.calls += 1
        self._traffic.sent += call.request.ByteSize()
        outcome = await self._caller.send(call)
        if isinstance(outcome, Ok):
            self._traffic.received += outcome.ok_value.ByteSize()
        return outcome


class Proxy:
    """The control plane part of a proxy."""

    def __init__(self, tier: SmallTier, number: int, traffic: Traffic) -> None:
        ip = f"{tier.network}.{FIRST_ADDRESS_NUMBER + number}"
        self._daemon = Daemon(program="proxy", number=number, ip=ip, directory=tier.directory)
        seeds = [keeper.control_plane for keeper in tier.keepers]
        document = make_settings(self._daemon, seeds, tier.platform.address, tier.sizes)
        settings = parse_settings(yaml.safe_dump(document))
        self._client = RpcClient()
        self.views = ClusterView()
        self._puller = Puller(settings, CountingCaller(self._client, traffic), self.views, self._announcement)

    async def start(self) -> None:
        await self._client.start()
        await self._puller.start()

    async def stop(self) -> None:
        await self._puller.stop()
        await self._client.stop()

    def _announcement(self) -> Announcement:
        daemon = self._daemon
        arrivals = {f"route-{route}": random.random() * 100 for route in range(ROUTES)}
        return Announcement(
            node_name=daemon.name,
            program="proxy",
            ip=daemon.ip,
            zone="zone-1",
            region="region-1",
            incarnation=daemon.name,
            arrivals_per_s=arrivals,
        )


async def measure(count: int, seconds: float) -> None:
    with tempfile.TemporaryDirectory() as directory:
        async with SmallTier(Path(directory), [], Sizes(keepers=3, stores=0, proxies=0)) as tier:
            await tier.put_configuration()
            traffic = Traffic()
            proxies = [Proxy(tier, number, traffic) for number in range(count)]
            await asyncio.gather(*(proxy.start() for proxy in proxies))
            try:
                await _wait_until_joined(proxies)
                await _report_usage(count, seconds, traffic)
            finally:
                await asyncio.gather(*(proxy.stop() for proxy in proxies))


async def _wait_until_joined(proxies: list[Proxy]) -> None:
    async def all_know_each_other() -> bool:
        return all(len(proxy.views.proxies()) == len(proxies) for proxy in proxies)

    await until("every proxy knows all others", all_know_each_other, JOIN_TIMEOUT_S)


async def _report_usage(count: int, seconds: float, traffic: Traffic) -> None:
    before = attrs.evolve(traffic)
    started_at, cpu_before = time.monotonic(), time.process_time()
    await asyncio.sleep(seconds)
    proxy_seconds = count * (time.monotonic() - started_at)
    cpu_s = (time.process_time() - cpu_before) / proxy_seconds
    print(
        f"{count} proxies, per proxy and second: {cpu_s * 1000:.2f} ms of CPU time,"
        f" {(traffic.calls - before.calls) / proxy_seconds:.1f} calls,"
        f" {(traffic.sent - before.sent) / proxy_seconds:.0f} bytes sent,"
        f" {(traffic.received - before.received) / proxy_seconds:.0f} bytes received",
        flush=True,
    )


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m bench.tier_proxies", description=__doc__)
    parser.add_argument("--proxies", type=int, nargs="+", default=[10, 60])
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    for count in options.proxies:
        asyncio.run(measure(count, options.seconds))


if __name__ == "__main__":
    main()
