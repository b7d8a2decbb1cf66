"""Room on cold nodes that hosts lend each other: never more than one bears, whatever is lost or doubled."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from dataclasses import replace

import pytest
from helpers import Rig
from hypothesis import given
from hypothesis import strategies as st
from support import PLATFORM, fuzz, raw, run, spoiled

from cherrycove.broker import config
from cherrycove.broker.core import Core, Member, NodeList
from cherrycove.broker.peer_capacity import datagram, exchange
from cherrycove.broker.peer_capacity.lending import (
    LENT_FRACTION,
    LOAN_VALID_S,
    Borrower,
    Lender,
    guaranteed_capacity,
    lender_of,
    node_key,
)
from cherrycove.scheduling.interface import BorrowCapacity, CapacityLoan, CapacityPool, Node

SETTINGS = replace(
    PLATFORM.settings,
    schedulers=5,
    cold_units=4.0,
    fall_window=3.0,
    start_capacity=0.18,
    warm_after=17.0,
    max_units=8.0,
    usual_units=2.0,
)
NODE = node_key("s-1", 1000.0)


@fuzz
@given(st.integers(0, 1 << 32))
def test_what_is_lent_never_passes_what_the_node_bears(seed: int) -> None:
    """Random asks over a node's whole warming, with the lender killed and started anew at random: in each
    window of the rule, what may be used of all loans stays within the part that is lent."""
    dice = random.Random(seed)
    number = lender_of(NODE, 5)
    books, started, loans = Lender(SETTINGS, number, -100.0), 0.0, list[tuple[float, float]]()
    books.set_nodes([(NODE, started)])
    now = 0.0
    while now < 25.0:
        now += dice.expovariate(8.0)
        if dice.random() < 0.01:
            books = Lender(SETTINGS, number, now)
            books.set_nodes([(NODE, started)])
        units, wait = books.lend(NODE, dice.choice([0.5, 1.0, 2.0, 8.0]), now)
        assert wait >= 0 and (units > 0) != (wait > 0)
        if units:
            loans.append((now, units))
    assert loans
    for begin, _ in loans:
        # A loan of t may be used until t + LOAN_VALID_S: these may all be used in one window of the rule.
        window = begin + LOAN_VALID_S
        used = sum(units for at, units in loans if begin <= at <= window + SETTINGS.fall_window)
        assert (
            used
            <= LENT_FRACTION * guaranteed_capacity(SETTINGS, window + SETTINGS.fall_window - started) + 1e-9
        )
        growth = 1 + (1 / 0.18 - 1) * min(max(begin - started, 0.0) / 17.0, 1.0)
        assert used <= LENT_FRACTION * 4.0 * growth + 1e-6  # of what it bore when the window began


def test_a_lender_lends_nothing_of_nodes_that_are_not_its_own_or_not_cold_or_right_after_its_start() -> None:
    number = lender_of(NODE, 5)
    other, fresh = Lender(SETTINGS, (number + 1) % 5, 0.0), Lender(SETTINGS, number, 10.0)
    for each in (other, fresh):
        each.set_nodes([(NODE, 5.0)])
    assert other.lend(NODE, 1.0, 50.0)[0] == 0.0  # two lenders would lend it twice
    assert fresh.lend(NODE, 1.0, 13.0)[0] == 0.0  # a former life's loans may still be used
    assert fresh.lend(NODE, 1.0, 13.6) == (1.0, 0.0)
    assert fresh.lend(node_key("s-2", 0.0), 1.0, 13.6)[0] == 0.0
    fresh.set_nodes([])
    assert fresh.lend(NODE, 1.0, 60.0)[0] == 0.0


def test_an_answer_counts_once_and_only_from_the_host_that_was_asked() -> None:
    borrower = Borrower(5)
    whom, serial = borrower.begin_request(NODE, 0.0) or pytest.fail()
    assert borrower.begin_request(NODE, 0.1) is None  # the first has not been answered
    assert borrower.accept_answer(whom + 1, serial, 0.0, 0.1) is None
    assert borrower.accept_answer(whom, serial, 0.0, 0.1) == (NODE, pytest.approx(LOAN_VALID_S - 0.1))
    assert borrower.accept_answer(whom, serial, 0.0, 0.1) is None  # the network repeated it
    later = (borrower.begin_request(NODE, 0.2) or pytest.fail())[1]
    assert borrower.accept_answer(whom, later, 0.0, 0.2 + LOAN_VALID_S) is None  # too late to be used


def test_a_silent_lender_is_asked_less_and_less() -> None:
    borrower, asked, now = Borrower(5), list[float](), 0.0
    while now < 30.0:
        if borrower.begin_request(NODE, now):
            asked.append(now)
        now += 0.05
    gaps = [b - a for a, b in zip(asked, asked[1:], strict=False)]
    assert all(b > a - 0.1 for a, b in zip(gaps, gaps[1:], strict=False))
    assert gaps[0] < 0.5 and 3.9 < gaps[-1] < 4.2 and len(asked) < 14


@fuzz
@given(
    st.integers(0, 0xFFFF), st.integers(0, 0xFFFFFFFF), st.floats(0, 100), st.binary(min_size=8, max_size=8)
)
def test_datagrams_keep_what_they_carry_and_are_small(
    number: int, life: int, units: float, node: bytes
) -> None:
    ask = datagram.parse(datagram.pack(datagram.LoanRequest(number, life, 7, node, units)))
    assert isinstance(ask, datagram.LoanRequest) and (ask.sender, ask.incarnation, ask.node) == (
        number,
        life,
        node,
    )
    assert units <= ask.units < units + 0.07
    loan = datagram.parse(data := datagram.pack(datagram.Loan(number, life, 5, 7, units, 0.25)))
    assert isinstance(loan, datagram.Loan) and units - 0.07 < loan.units <= units and loan.wait_s == 0.25
    assert len(data) == 22 and len(datagram.pack(ask)) == 24  # docs/fleet.md; 256 are allowed


@fuzz
@given(spoiled(datagram.pack(datagram.LoanRequest(1, 2, 3, NODE, 2.0))))
def test_garbage_is_told_as_garbage(data: bytes) -> None:
    try:
        message = datagram.parse(data)
    except datagram.DatagramError:
        return
    assert len(datagram.pack(message)) == len(data)


def test_the_module_uses_a_loan_for_what_it_covers_and_asks_again_for_the_rest() -> None:
    rig = Rig(schedulers=200, cold_units=4.0)
    rig.listed(Node("n0", 0, started=rig.now))
    rig.give(CapacityPool(LENT_FRACTION))
    rig.scheduler.state.random.random = lambda: 1.0  # type: ignore[method-assign]  # no luck with the split part
    waits = rig.arrive(units=2.0, budget=30.0)
    assert waits not in rig.sent() and BorrowCapacity("n0", 2.0) in rig.said
    rig.give(CapacityLoan("n0", 1.0, 0.5))
    assert waits not in rig.sent()  # it does not cover the request
    rig.give(CapacityLoan("n0", 2.0, 0.5))
    assert waits in rig.sent()
    rig.end(waits)
    second = rig.arrive(units=2.0, budget=30.0)
    assert second not in rig.sent()  # the loan is spent, and an answer gives no room where room is lent


def test_brokers_lend_over_sockets_and_believe_nobody_else() -> None:
    async def story() -> None:
        settings = replace(PLATFORM.settings, schedulers=2, cold_units=3.0, usual_units=2.0)
        cores = [Core(settings, 1), Core(settings, 2)]
        assert all(map(exchange.is_lending_useful, cores)) and not exchange.is_lending_useful(
            Core(PLATFORM.settings, 1)
        )
        loop, sides = asyncio.get_running_loop(), list[exchange.CapacityExchange]()
        places = [("127.0.0.1", 0), ("127.0.0.1", 0)]
        for number, core in enumerate(cores):
            side = exchange.CapacityExchange(core, number, places, seed=number)
            await side.serve(("127.0.0.1", 0))
            assert side._transport is not None
            places[number] = side._transport.get_extra_info("sockname")
            sides.append(side)
        for side in sides:
            side._addresses = places
            side._lender._not_before = 0.0
        since = float(round(time.time() * 1000))
        names = {lender_of(node_key(f"n{i}", since), 2): f"n{i}" for i in range(20)}
        for core in cores:
            core.update(
                NodeList(
                    1, True, tuple(Member(n, "127.0.0.1:1", i, since_ms=since) for i, n in names.items())
                )
            )
        lent: asyncio.Queue[tuple[str, float]] = asyncio.Queue()
        cores[0].use_loan = lambda node, units, time: lent.put_nowait((node, units))  # type: ignore[method-assign]
        sides[0]._ask(names[0], 1.0)  # of its own books
        assert await lent.get() == (names[0], 1.0)
        sides[0]._ask(names[1], 1.0)
        assert await lent.get() == (names[1], 1.0) and sides[1].counts["lent"] == 1
        stranger, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0)
        )
        for data in (
            datagram.pack(datagram.LoanRequest(0, 1, 1, node_key(names[1], since), 1.0)),
            b"x",
            b"x" * 300,
        ):
            stranger.sendto(data, places[1])
        while sum(sides[1].counts[name] for name in ("forged", "malformed")) < 3:
            await asyncio.sleep(0.001)
        assert sides[1].counts["lent"] == 1 and sides[1].counts["forged"] == 1
        stranger.close()
        for side in sides:
            side.close()

    run(story())


def test_an_address_in_use_is_tried_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """The process before this one may hold it for a moment; without it nothing would be lent for good."""
    monkeypatch.setattr(exchange, "SOCKET_RETRY_S", 0.01)

    async def story() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as holder:
            holder.bind(("127.0.0.1", 0))
            place = holder.getsockname()
            side = exchange.CapacityExchange(
                Core(replace(PLATFORM.settings, schedulers=2), 1), 0, [place, place], seed=1
            )
            await side.serve(place)
            assert side._transport is None
        while side._transport is None:
            await asyncio.sleep(0.001)
        side.close()

    run(story())


def test_the_tier_is_read_where_the_settings_allow_talk() -> None:
    whole = raw()
    brokers = whole["settings"]["balancers"] = 3
    whole["settings"]["me"], whole["peer_listen"] = 1, "127.0.0.1:7946"
    whole["peers"] = [f"127.0.0.{n + 1}:7946" for n in range(brokers)]
    whole["settings"]["limits"]["mayTell"] = True
    tier = config.parse_platform_config(whole, {}).tier
    assert tier is not None and tier.number == 1 and tier.peers[0] == ("127.0.0.1", 7946)
    whole["settings"]["limits"]["mayTell"] = False
    assert config.parse_platform_config(whole, {}).tier is None
    whole["settings"]["limits"]["mayTell"] = True
    for wrong in ({"peers": ["x"]}, {"peers": whole["peers"][1:]}, {"peer_listen": "nowhere"}):
        with pytest.raises(config.ConfigError, match="peer"):
            config.parse_platform_config(whole | wrong, {})
