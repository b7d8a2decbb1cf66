"""Which client waits for memory, which one gives way, and that everything reserved is returned."""

from __future__ import annotations

import asyncio

import attrs

from cherrycove.http_listener.client_memory import (
    LARGE_FRACTION,
    SMALL_ACCOUNT_BYTES,
    ClientMemory,
    MemoryAccount,
)

LIMIT = 40 * SMALL_ACCOUNT_BYTES
LARGE = 10 * SMALL_ACCOUNT_BYTES  # three fit into the part for large accounts
SMALL = SMALL_ACCOUNT_BYTES // 2


@attrs.define(eq=False)
class Holder:
    """A client whose account is released as soon as it gives way."""

    memory: ClientMemory
    stalled: bool = False
    may_yield: bool = True
    gave_way: bool = False
    account: MemoryAccount = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.account = self.memory.open_account(self)

    def can_give_way(self) -> bool:
        return self.may_yield

    def is_stalled(self, now: float) -> bool:
        return self.stalled

    def give_way(self) -> None:
        self.gave_way = True
        self.account.close()


def run(scenario) -> None:  # type: ignore[no-untyped-def]
    asyncio.run(scenario())


def test_a_small_account_fits_while_large_ones_wait() -> None:
    async def scenario() -> None:
        memory = ClientMemory(LIMIT)
        large = [Holder(memory) for _ in range(3)]
        assert all(holder.account.try_reserve(LARGE) for holder in large)
        fourth = Holder(memory)
        granted: list[str] = []
        assert not fourth.account.try_reserve(LARGE)
        fourth.account.reserve_when_free(LARGE, lambda: granted.append("large"))
        assert Holder(memory).account.try_reserve(SMALL)
        assert not granted and not any(holder.gave_way for holder in large)
        large[0].account.close()
        assert granted == ["large"]
        assert memory.reserved_bytes == 3 * LARGE + SMALL

    run(scenario)


def test_a_stalled_holder_gives_way_to_a_waiting_one_and_one_that_makes_progress_does_not() -> None:
    async def scenario() -> None:
        memory = ClientMemory(LIMIT)
        moving, stalled, unable = Holder(memory), Holder(memory, True), Holder(memory, True, False)
        for holder in (moving, stalled, unable):
            assert holder.account.try_reserve(LARGE)
        waiting, granted = Holder(memory), []
        waiting.account.reserve_when_free(LARGE, lambda: granted.append(True))
        assert granted and stalled.gave_way
        assert not moving.gave_way and not unable.gave_way

    run(scenario)


def test_the_largest_holder_gives_way_to_a_small_one_that_waits() -> None:
    async def scenario() -> None:
        memory = ClientMemory(LIMIT)
        largest, second = Holder(memory), Holder(memory)
        assert largest.account.try_reserve(2 * LARGE) and second.account.try_reserve(LARGE)
        equal = [Holder(memory) for _ in range(20)]
        assert all(holder.account.try_reserve(SMALL) for holder in equal)
        granted: list[bool] = []
        Holder(memory).account.reserve_when_free(SMALL, lambda: granted.append(True))
        assert granted and largest.gave_way
        assert not second.gave_way and not any(holder.gave_way for holder in equal)

    run(scenario)


def test_among_equals_nobody_gives_way_and_the_first_to_wait_is_first() -> None:
    async def scenario() -> None:
        memory = ClientMemory(LIMIT)
        count = LIMIT // SMALL
        holders = [Holder(memory) for _ in range(count)]
        assert all(holder.account.try_reserve(SMALL) for holder in holders)
        order: list[int] = []
        waiting = [Holder(memory) for _ in range(3)]
        for number, holder in enumerate(waiting):
            holder.account.reserve_when_free(SMALL, lambda number=number: order.append(number))
        assert not order and not any(holder.gave_way for holder in holders)
        for holder in holders[:2]:
            holder.account.release(SMALL)
        assert order == [0, 1]
        waiting[2].account.close()
        assert memory.waiting == 0

    run(scenario)


def test_a_single_large_account_above_the_limit_is_granted() -> None:
    async def scenario() -> None:
        memory = ClientMemory(LIMIT)
        first, second = Holder(memory), Holder(memory)
        assert first.account.try_reserve(2 * LIMIT)
        assert not second.account.try_reserve(int(LIMIT * LARGE_FRACTION))
        first.account.close()
        assert second.account.try_reserve(int(LIMIT * LARGE_FRACTION))

    run(scenario)


def test_a_cancelled_wait_returns_what_it_was_granted() -> None:
    async def scenario() -> None:
        memory = ClientMemory(LIMIT)
        holder, waiting = Holder(memory), Holder(memory)
        await holder.account.reserve(LIMIT)
        for granted_first in (False, True):
            task = asyncio.create_task(waiting.account.reserve(LARGE))
            await asyncio.sleep(0)
            if granted_first:
                holder.account.release(LIMIT)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert waiting.account.held_bytes == 0 and memory.waiting == 0
        assert memory.reserved_bytes == 0

    run(scenario)


def test_what_is_held_above_the_limit_is_taken_back_from_the_stalled() -> None:
    async def scenario() -> None:
        memory = ClientMemory(LIMIT)
        reader, idle = Holder(memory), Holder(memory, stalled=True)
        idle.account.reserve_unchecked(LARGE)
        reader.account.reserve_unchecked(LIMIT)
        memory.shed_excess()
        assert idle.gave_way and not reader.gave_way
        assert memory.reserved_bytes == LIMIT

    run(scenario)
