"""An operator client that changes the configuration through any controller that responds."""

from __future__ import annotations

import asyncio
import time
from random import Random

import aiohttp
import attrs

from bench.soak import traffic
from bench.soak.ledger import Ledger
from bench.soak.tier import SoakTier

CALL_TIMEOUT_S = 3.0
RETRY_PAUSE_S = 0.1
CHANGE_TIMEOUT_S = 60.0  # limit for one change, including all retries
PATH = "/api/configuration"


@attrs.frozen
class ControllerResponse:
    """The response of a controller; status 0 if there was none. ``location`` is the redirect target."""

    status: int
    body: bytes = b""
    location: str = ""


class Operator:
    """Makes one change at a time. ``acknowledged`` is the newest version that was answered with 200."""

    def __init__(self, tier: SoakTier, ledger: Ledger, random: Random) -> None:
        self._tier = tier
        self._ledger = ledger
        self._random = random
        self._lock = asyncio.Lock()
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S))
        self.acknowledged = 0

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def change(self) -> None:
        """Send the next version until it is acknowledged."""
        async with self._lock:
            base = self.acknowledged
            version = base + self._random.randint(1, 3)
            await self._put(version, base)

    async def _put(self, version: int, base: int) -> None:
        body = traffic.configuration(version)
        headers = {"If-Match": f'"{base}"'}
        began_at = time.monotonic()
        address = self._any_controller()
        while time.monotonic() - began_at < CHANGE_TIMEOUT_S:
            response = await self._call("PUT", address, headers, body)
            if response.status == 200:
                self.acknowledged = version
                self._ledger.counts["changes acknowledged"] += 1
                return
            if 400 <= response.status < 500:
                self._ledger.record_violation(
                    f"version {version} on {base} was rejected: {response.status} {response.body[:200]!r}"
                )
                return
            address = response.location or self._any_controller()
            if not response.location:
                await asyncio.sleep(RETRY_PAUSE_S)
        self._ledger.record_violation(f"version {version} was not acknowledged within {CHANGE_TIMEOUT_S} s")

    async def read(self, deadline: float) -> bytes:
        """Return the configuration in force; empty if no controller returns it before ``deadline``."""
        address = self._any_controller()
        while time.monotonic() < deadline:
            response = await self._call("GET", address, {}, b"")
            if response.status == 200:
                return response.body
            address = response.location or self._any_controller()
            if not response.location:
                await asyncio.sleep(RETRY_PAUSE_S)
        return b""

    def _any_controller(self) -> str:
        return self._random.choice(self._tier.all_of("keeper")).control_plane

    async def _call(
        self, method: str, address: str, headers: dict[str, str], body: bytes
    ) -> ControllerResponse:
        url = f"http://{address}{PATH}"
        try:
            async with self._session.request(
                method, url, data=body or None, headers=headers, allow_redirects=False
            ) as response:
                location = response.headers.get("Location", "").partition("://")[2].partition("/")[0]
                return ControllerResponse(response.status, await response.read(), location)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return ControllerResponse(0)
