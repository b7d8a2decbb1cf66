"""Memory that a connection has reserved for what it is about to take."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cherrycove.http_listener.client_memory import MemoryAccount


class MemoryCredit:
    """The part of an account that is reserved and not used yet; owned by a connection.

    At most one reservation waits. Once it is granted, ``on_granted`` is called with the seconds of the wait.
    """

    def __init__(self, account: MemoryAccount, on_granted: Callable[[float], None]) -> None:
        self.free_bytes = 0
        self._account = account
        self._on_granted = on_granted
        self._waiting_since: float | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether a reservation waits."""
        return self._waiting_since is not None

    def reserve(self, size: int) -> bool:
        """Have ``size`` bytes free; if they do not fit now, wait for them and return False."""
        missing_bytes = size - self.free_bytes
        if missing_bytes <= 0:
            return True
        if self.is_waiting:
            return False
        if self._account.try_reserve(missing_bytes):
            self.free_bytes += missing_bytes
            return True
        self._waiting_since = asyncio.get_running_loop().time()
        self._account.reserve_when_free(missing_bytes, lambda: self._granted(missing_bytes))
        return not self.is_waiting

    def use(self, size: int) -> int:
        """Use up to ``size`` free bytes, which stay reserved; return how many."""
        used = min(size, self.free_bytes)
        self.free_bytes -= used
        return used

    def release(self) -> None:
        """Return what is free to the account."""
        if self.free_bytes:
            released, self.free_bytes = self.free_bytes, 0
            self._account.release(released)

    def cancel(self) -> None:
        """Withdraw the reservation that waits, if any, and return what is free."""
        if self.is_waiting:
            self._account.cancel_waiting()
            self._waiting_since = None
        self.release()

    def _granted(self, size: int) -> None:
        assert self._waiting_since is not None
        waited_s = asyncio.get_running_loop().time() - self._waiting_since
        self._waiting_since = None
        self.free_bytes += size
        self._on_granted(waited_s)
