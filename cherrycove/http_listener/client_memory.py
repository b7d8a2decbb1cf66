"""The memory that the clients of one process may make it hold, accounted before it is taken.

Every connection has an account. What does not fit is not read: its account waits, and meanwhile holders that
make no progress, or that hold more than a small waiting one would, give way.
"""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable
from math import inf
from typing import Protocol

import attrs

SMALL_ACCOUNT_BYTES = 128 * 1024  # up to this size an account may use the whole limit
LARGE_FRACTION = 0.75  # of the limit, for all larger accounts together
COLLECTION_DELAY_S = 0.05  # in which the tasks of a cancelled request end
COLLECTED_GENERATION = 1  # of the garbage collector: what lives for as long as a request
REVIEW_INTERVAL_S = 0.2  # between two searches for holders that make no progress, while an account waits


class MemoryHolder(Protocol):
    """The owner of an account."""

    def can_give_way(self) -> bool:
        """Whether the holder could release what it holds without breaking a promise to its client."""

    def is_stalled(self, now: float) -> bool:
        """Whether the client makes no progress; ``now`` is a time of the event loop."""

    def give_way(self) -> None:
        """Refuse the client or close its connection; the account is released when that has taken effect."""


@attrs.define(eq=False)
class MemoryAccount:
    """What one holder has reserved; created by ``ClientMemory.open_account``, closed by its holder."""

    memory: ClientMemory
    holder: MemoryHolder
    held_bytes: int = 0
    is_yielding: bool = False  # it was asked to give way and has not released its memory yet
    is_closed: bool = False

    def try_reserve(self, size: int) -> bool:
        """Reserve ``size`` bytes if they fit; never waits."""
        return self.memory.try_reserve(self, size)

    def reserve_unchecked(self, size: int) -> None:
        """Reserve ``size`` bytes that are already held."""
        self.memory.add(self, size)

    def reserve_when_free(self, size: int, on_reserved: Callable[[], None]) -> None:
        """Reserve ``size`` bytes as soon as they fit, then call ``on_reserved``; one such call at a time."""
        self.memory.enqueue(Reservation(self, size, on_reserved))

    def cancel_waiting(self) -> None:
        """Withdraw a reservation that waits."""
        self.memory.withdraw(self)

    async def reserve(self, size: int) -> None:
        """Reserve ``size`` bytes, once they fit; if cancelled, nothing is reserved."""
        if self.try_reserve(size):
            return
        reserved: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def resolve() -> None:
            if not reserved.done():
                reserved.set_result(None)
            else:  # the task was cancelled in the same turn of the event loop
                self.release(size)

        self.reserve_when_free(size, resolve)
        try:
            await reserved
        except asyncio.CancelledError:
            if reserved.done() and not reserved.cancelled():
                self.release(size)
            self.cancel_waiting()
            raise

    def release(self, size: int) -> None:
        """Release ``size`` reserved bytes."""
        self.memory.add(self, -min(size, self.held_bytes))
        if self.memory.waiting:
            self.memory.grant_waiting()

    def close(self, *, has_request: bool = False) -> None:
        """Release everything; the account cannot be used any more.

        ``has_request``: its request is cancelled and may live until the garbage collector has run.
        """
        self.memory.close_account(self, has_request=has_request)


@attrs.frozen(eq=False)
class Reservation:
    """A reservation that waits until ``size`` bytes fit."""

    account: MemoryAccount
    size: int
    on_reserved: Callable[[], None]


class ClientMemory:
    """Accounts what all clients of a process make it hold, in bytes of the process; owned by the program.

    Small accounts may use the whole limit, larger ones together only ``LARGE_FRACTION`` of it, so that an
    ordinary request does not queue behind large ones. Waiting reservations are granted in the order of
    arrival, small ones past large ones. A single large account may exceed the limit: it would never fit.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0
        self._large_bytes = 0  # of ``reserved_bytes``, in large accounts
        self._accounts: set[MemoryAccount] = set()
        self._waiting: list[Reservation] = []
        self._review: asyncio.TimerHandle | None = None
        self._searched_at = -inf  # when holders were last asked to give way
        self._abandoned_bytes = 0  # of ``reserved_bytes``, in cancelled requests that are not collected yet
        self._collection: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """The number of reservations that wait."""
        return len(self._waiting)

    def open_account(self, holder: MemoryHolder, size: int = 0) -> MemoryAccount:
        """Open an account that holds ``size`` bytes from the beginning."""
        account = MemoryAccount(self, holder)
        self._accounts.add(account)
        self.add(account, size)
        return account

    def close_account(self, account: MemoryAccount, *, has_request: bool) -> None:
        """Release what ``account`` holds and withdraw what it waits for."""
        if account.is_closed:
            return
        account.is_closed = True
        self.withdraw(account)
        if has_request and _is_large(account.held_bytes):
            self._await_collection(account.held_bytes)
        self.add(account, -account.held_bytes)
        self._accounts.discard(account)
        self.grant_waiting()

    def try_reserve(self, account: MemoryAccount, size: int) -> bool:
        """Reserve ``size`` bytes for ``account`` if they fit now and nothing of its kind waits."""
        if account.is_closed:  # whoever still works for the client will be cancelled
            return True
        is_large = _is_large(account.held_bytes + size)
        if self._waiting and any(
            _is_large(each.account.held_bytes + each.size) == is_large for each in self._waiting
        ):
            return False
        if not self._fits(account, size):
            return False
        self.add(account, size)
        return True

    def enqueue(self, reservation: Reservation) -> None:
        """Let a reservation wait, and ask holders to give way for it."""
        self._waiting.append(reservation)
        self.grant_waiting()
        if not self._waiting:
            return
        # A search looks at every account, so many clients that begin to wait share one.
        if asyncio.get_running_loop().time() >= self._searched_at + REVIEW_INTERVAL_S:
            self._make_room()
        self._schedule_review()

    def withdraw(self, account: MemoryAccount) -> None:
        """Drop the waiting reservation of ``account``, if any."""
        self._waiting = [each for each in self._waiting if each.account is not account]

    def add(self, account: MemoryAccount, size: int) -> None:
        """Change what ``account`` holds by ``size`` bytes, whether or not it fits."""
        before = account.held_bytes
        account.held_bytes = before + size
        self.reserved_bytes += size
        self._large_bytes += _large_part(account.held_bytes) - _large_part(before)
        if size < 0:
            account.is_yielding = False

    def grant_waiting(self) -> None:
        """Grant the waiting reservations that fit now."""
        is_large_blocked = False
        for reservation in list(self._waiting):
            is_large = _is_large(reservation.account.held_bytes + reservation.size)
            if is_large and is_large_blocked:
                continue
            if not self._fits(reservation.account, reservation.size):
                is_large_blocked = is_large_blocked or is_large
                continue
            self._waiting.remove(reservation)
            self.add(reservation.account, reservation.size)
            reservation.on_reserved()

    def _await_collection(self, size: int) -> None:
        """Keep ``size`` bytes reserved until the garbage collector has run.

        The exception that cancels a task refers to its frames, and they to the task: this cycle keeps what
        the request held.
        """
        self.reserved_bytes += size
        self._abandoned_bytes += size
        if self._collection is None:
            self._collection = asyncio.get_running_loop().call_later(COLLECTION_DELAY_S, self._collect)

    def _collect(self) -> None:
        self._collection = None
        gc.collect(COLLECTED_GENERATION)
        collected_bytes, self._abandoned_bytes = self._abandoned_bytes, 0
        self.reserved_bytes -= collected_bytes
        self.grant_waiting()

    def _fits(self, account: MemoryAccount, size: int) -> bool:
        if account.is_closed:
            return False
        held_bytes = account.held_bytes + size
        is_within_limit = self.reserved_bytes + size <= self.limit_bytes
        if not _is_large(held_bytes):
            return is_within_limit
        others_bytes = self._large_bytes - _large_part(account.held_bytes)
        if not others_bytes and not self._abandoned_bytes:
            return True
        return is_within_limit and others_bytes + held_bytes <= self.limit_bytes * LARGE_FRACTION

    def _make_room(self) -> None:
        """Ask holders to give way for the first waiting reservation of each kind."""
        self._searched_at = asyncio.get_running_loop().time()
        small = [each for each in self._waiting if not _is_large(each.account.held_bytes + each.size)]
        large = [each for each in self._waiting if _is_large(each.account.held_bytes + each.size)]
        for reservations in (small, large):
            if reservations:
                self._make_room_for(reservations[0])

    def _make_room_for(self, reservation: Reservation) -> None:
        now = asyncio.get_running_loop().time()
        needed_bytes = reservation.account.held_bytes + reservation.size
        missing_bytes = reservation.size - self._yielding_bytes()
        candidates = self._candidates(reservation.account)
        stalled = [each for each in candidates if each.holder.is_stalled(now)]
        missing_bytes = self._ask_to_give_way(stalled, missing_bytes)
        if not _is_large(needed_bytes):
            larger = [each for each in candidates if each.held_bytes > needed_bytes]
            self._ask_to_give_way(larger, missing_bytes)

    def _yielding_bytes(self) -> int:
        return sum(each.held_bytes for each in self._accounts if each.is_yielding)

    def _candidates(self, requester: MemoryAccount | None) -> list[MemoryAccount]:
        return [
            each
            for each in self._accounts
            if each is not requester and not each.is_yielding and each.holder.can_give_way()
        ]

    def _ask_to_give_way(self, accounts: list[MemoryAccount], missing_bytes: int) -> int:
        """Ask the largest of ``accounts`` for ``missing_bytes``; return what is still missing."""
        for account in sorted(accounts, key=lambda each: -each.held_bytes):
            if missing_bytes <= 0:
                break
            if account.is_yielding or account.is_closed:
                continue
            missing_bytes -= account.held_bytes
            account.is_yielding = True
            account.holder.give_way()
        return missing_bytes

    def shed_excess(self) -> None:
        """Ask stalled holders to give way while more is held than the limit allows."""
        if self.reserved_bytes > self.limit_bytes:
            now = asyncio.get_running_loop().time()
            candidates = self._candidates(None)
            stalled = [each for each in candidates if each.holder.is_stalled(now)]
            self._ask_to_give_way(stalled, self.reserved_bytes - self.limit_bytes - self._yielding_bytes())
            self._schedule_review()

    def _schedule_review(self) -> None:
        if self._review is None:
            self._review = asyncio.get_running_loop().call_later(REVIEW_INTERVAL_S, self._review_waiting)

    def _review_waiting(self) -> None:
        self._review = None
        self.grant_waiting()
        self.shed_excess()
        if self._waiting:
            self._make_room()
            self._schedule_review()


def _is_large(held_bytes: int) -> bool:
    return held_bytes > SMALL_ACCOUNT_BYTES


def _large_part(held_bytes: int) -> int:
    return held_bytes if _is_large(held_bytes) else 0
