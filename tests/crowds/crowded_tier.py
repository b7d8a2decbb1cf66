"""A small tier with lowered limits, and the requests of crowds and of ordinary callers."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import aiohttp
import attrs
import yaml
from crowd import Crowd, ProcessUsage, answered

from examples import tier_client
from examples.small_tier import CONFIGURATION_PATH, SmallTier
from examples.tier_processes import Daemon, Sizes
from examples.toy_broker import ToyBroker

MEMORY_MB = 160
FILE_DESCRIPTORS = 512
BYTES_PER_MB = 1_000_000
HEADER_BYTES = 16384  # maxHeaderBytes of the examples' configuration
BODY_BYTES = 4194304  # its maxBodyBytes
SHORT_LINE = b"a:\r\n"
ONE_PROXY = Sizes(keepers=1, stores=0, proxies=1, machine_failures=0)
ONE_STORE = Sizes(keepers=1, stores=1, proxies=1, machine_failures=0)
CALL_TIMEOUT_S = 5.0


@attrs.define(eq=False)
class CrowdedTier(SmallTier):
    """A tier whose processes have little memory and few descriptors; ``limits`` overrides theirs."""

    limits: Mapping[str, float] = attrs.field(factory=dict)

    def _create_daemons(self) -> list[Daemon]:
        daemons = super()._create_daemons()
        for daemon in daemons:
            settings = yaml.safe_load(daemon.settings_path.read_text())
            settings["limits"] |= {
                "memoryMb": MEMORY_MB,
                "fileDescriptors": FILE_DESCRIPTORS,
                **self.limits,
            }
            daemon.settings_path.write_text(yaml.safe_dump(settings))
        return daemons

    async def serve(self) -> None:
        """Put the configuration into force: the examples' one, and a route whose service has no broker."""
        document = json.loads(CONFIGURATION_PATH.read_text())
        waiting = {**document["routes"][0], "name": "waiting", "pathPrefix": "/waiting/", "service": "absent"}
        document["routes"].append(waiting)
        document["services"].append({**document["services"][0], "name": "absent"})
        path = self.directory / "configuration.json"
        path.write_text(json.dumps(document))
        await self.put_configuration(path)
        await self.ready()

    async def check_after(self, crowd: Crowd, *daemons: Daemon, serves_batch_jobs: bool = False) -> None:
        """Let ``crowd`` do its worst to ``daemons``; an ordinary caller is served while it stays open."""
        async with crowd:
            await crowd.wait_until_at_rest()
            self._check_usage(daemons)
            await answered(lambda: ordinary_stream(self.proxies[0]))
            if serves_batch_jobs:
                await answered(lambda: ordinary_batch_job(self.proxies[0]), status=202)
            self._check_usage(daemons)
        await answered(lambda: ordinary_stream(self.proxies[0]))
        self._check_usage(daemons)

    def _check_usage(self, daemons: Iterable[Daemon]) -> None:
        for daemon in daemons:
            print(f"{daemon.name}: {check_usage(daemon, self.limits)}")


def check_usage(daemon: Daemon, limits: Mapping[str, float]) -> ProcessUsage:
    """Assert that a process lives and was always within its own limits."""
    assert daemon.running, daemon.log_tail()
    assert daemon.process is not None
    usage = ProcessUsage.of(daemon.process.pid)
    assert usage.peak_resident_bytes <= limits.get("memoryMb", MEMORY_MB) * BYTES_PER_MB, usage
    assert usage.open_descriptors <= limits.get("fileDescriptors", FILE_DESCRIPTORS), usage
    return usage


def crowded_tier(
    directory: Path, sizes: Sizes, broker: ToyBroker | None = None, **limits: Any
) -> CrowdedTier:
    """Return a tier that is not started yet; its broker echoes bodies unless ``broker`` is given."""
    return CrowdedTier(directory, [broker or ToyBroker()], sizes, limits=limits)


def head(target: str, *fields: str, method: str = "POST", is_complete: bool = True) -> bytes:
    """Return the head of a request."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {tier_client.HOST}", "Request-Id: crowd", *fields]
    return "\r\n".join([*lines, "", "" if is_complete else "a"]).encode()


def filled_head(target: str, *fields: str, is_complete: bool = True) -> bytes:
    """Return a head of short lines that is as long as ``maxHeaderBytes`` allows."""
    start = head(target, *fields).removesuffix(b"\r\n")
    short_lines = SHORT_LINE * ((HEADER_BYTES - len(start) - len(b"\r\n")) // len(SHORT_LINE))
    return start + short_lines + (b"\r\n" if is_complete else b"")


async def ordinary_stream(proxy: Daemon) -> int:
    """Send an ordinary request to a proxy and return the status, 0 if there is none."""
    try:
        async with tier_client.open_stream(proxy.frontend) as answer:
            return answer.status
    except (aiohttp.ClientError, OSError, TimeoutError):
        return 0


async def ordinary_batch_job(proxy: Daemon) -> int:
    """Submit a batch job of one item to a proxy and return the status, 0 if there is none."""
    job_id = tier_client.new_id()
    document = {"requests": [tier_client.batch_item(tier_client.new_id())]}
    return await status_of("POST", f"http://{proxy.frontend}/bundle/{job_id}", json.dumps(document), job_id)


async def status_of(method: str, url: str, body: str | None = None, request_id: str = "ordinary") -> int:
    """Call ``url`` over a new connection and return the status, 0 if there is none."""
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    headers = {"Host": tier_client.HOST, "Request-Id": request_id}
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, data=body, headers=headers) as response,
        ):
            await response.read()
            return response.status
    except (aiohttp.ClientError, OSError, TimeoutError):
        return 0
