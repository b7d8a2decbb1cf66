"""Capacity of nodes in slow start that brokers lend each other: rules, datagrams and sockets.

The loans never exceed a node's capacity, also if datagrams are lost or duplicated.
"""

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
from support import PLATFORM, corrupted, fuzz, raw, run

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
def test_loans_never_exceed_the_lent_fraction_of_a_nodes_capacity(seed: int) -> None:
    """Loans are requested at random times in a node's slow start; the lender is restarted at random times.

    In each window of the limit, the loans that may be used stay within the fraction that is lent.
    """
    rng = random.Random(seed)
    number = lender_of(NODE, 5)
    lender, started, loans = Lender(SETTINGS, number, -100.0), 0.0, list[tuple[float, float]]()
    lender.set_nodes([(NODE, started)])
    now = 0.0
    while now < 25.0:
        now += rng.expovariate(8.0)
        if rng.random() < 0.01:
            lender = Lender(SETTINGS, number, now)
            lender.set_nodes([(NODE, started)])
        units, wait = lender.lend(NODE, rng.choice([0.5, 1.0, 2.0, 8.0]), now)
        assert wait >= 0 and (units > 0) != (wait > 0)
        if units:
            loans.append((now, units))
    assert loans
    for begin, _ in loans:
        # A loan granted at t may be used until t + LOAN_VALID_S: these may all be used in one window.
        window = begin + LOAN_VALID_S
        used = sum(units for at, units in loans if begin <= at <= window + SETTINGS.fall_window)
        assert (
            used
            <= LENT_FRACTION * guaranteed_capacity(SETTINGS, window + SETTINGS.fall_window - started) + 1e-9
        )
        growth = 1 + (1 / 0.18 - 1) * min(max(begin - started, 0.0) / 17.0, 1.0)
        assert used <= LENT_FRACTION * 4.0 * growth + 1e-6  # the capacity when the window began


def test_lender_lends_nothing_of_nodes_of_other_lenders_or_unlisted_nodes_or_right_after_its_start() -> None:
    number = lender_of(NODE, 5)
    other, restarted = Lender(SETTINGS, (number + 1) % 5, 0.0), Lender(SETTINGS, number, 10.0)
    for each in (other, restarted):
        each.set_nodes([(NODE, 5.0)])
    assert other.lend(NODE, 1.0, 50.0)[0] == 0.0  # two lenders would lend the same capacity twice
    assert restarted.lend(NODE, 1.0, 13.0)[0] == 0.0  # loans of an earlier process may still be used
    assert restarted.lend(NODE, 1.0, 13.6) == (1.0, 0.0)
    assert restarted.lend(node_key("s-2", 0.0), 1.0, 13.6)[0] == 0.0
    restarted.set_nodes([])
    assert restarted.lend(NODE, 1.0, 60.0)[0] == 0.0


def test_answer_is_accepted_once_and_only_from_the_lender_that_was_asked() -> None:
    borrower = Borrower(5)
    lender, serial = borrower.begin_request(NODE, 0.0) or pytest.fail()
    assert borrower.begin_request(NODE, 0.1) is None  # the first one has not been answered
    assert borrower.accept_answer(lender + 1, serial, 0.0, 0.1) is None
    assert borrower.accept_answer(lender, serial, 0.0, 0.1) == (NODE, pytest.approx(LOAN_VALID_S - 0.1))
    assert borrower.accept_answer(lender, serial, 0.0, 0.1) is None  # a duplicate
    later = (borrower.begin_request(NODE, 0.2) or pytest.fail())[1]
    assert borrower.accept_answer(lender, later, 0.0, 0.2 + LOAN_VALID_S) is None  # too late to be used


def test_requests_to_a_lender_that_does_not_answer_become_rarer() -> None:
    borrower, request_times, now = Borrower(5), list[float](), 0.0
    while now < 30.0:
        if borrower.begin_request(NODE, now):
            request_times.append(now)
        now += 0.05
    gaps = [b - a for a, b in zip(request_times, request_times[1:], strict=False)]
    assert all(b > a - 0.1 for a, b in zip(gaps, gaps[1:], strict=False))
    assert gaps[0] < 0.5 and 3.9 < gaps[-1] < 4.2 and len(request_times) < 14


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
@given(corrupted(datagram.pack(datagram.LoanRequest(1, 2, 3, NODE, 2.0))))
def test_garbage_is_told_as_garbage(data: bytes) -> None:
    try:
        message = datagram.parse(data)
    except datagram.DatagramError:
        return
    assert len(datagram.pack(message)) == len(data)


def test_scheduler_uses_a_loan_for_a_request_that_it_covers() -> None:
    rig = Rig(schedulers=200, cold_units=4.0)
    rig.listed(Node("n0", 0, started=rig.now))
    rig.give(CapacityPool(LENT_FRACTION))
    rig.scheduler.state.random.random = lambda: 1.0  # type: ignore[method-assign]  # no random draw of a permit succeeds
    first = rig.arrive(units=2.0, budget=30.0)
    assert first not in rig.sent() and BorrowCapacity("n0", 2.0) in rig.said
    rig.give(CapacityLoan("n0", 1.0, 0.5))
    assert first not in rig.sent()  # the loan does not cover the request
    rig.give(CapacityLoan("n0", 2.0, 0.5))
    assert first in rig.sent()
    rig.end(first)
    second = rig.arrive(units=2.0, budget=30.0)
    # The loan is used up, and an answer grants no permit where capacity is lent.
    assert second not in rig.sent()


def test_brokers_lend_over_sockets_and_ignore_other_senders() -> None:
    async def scenario() -> None:
        settings = replace(PLATFORM.settings, schedulers=2, cold_units=3.0, usual_units=2.0)
        cores = [Core(settings, 1), Core(settings, 2)]
        assert all(map(exchange.is_lending_useful, cores)) and not exchange.is_lending_useful(
            Core(PLATFORM.settings, 1)
        )
        loop, exchanges = asyncio.get_running_loop(), list[exchange.CapacityExchange]()
        addresses = [("127.0.0.1", 0), ("127.0.0.1", 0)]
        for number, core in enumerate(cores):
            each = exchange.CapacityExchange(core, number, addresses, seed=number)
            await each.serve(("127.0.0.1", 0))
            assert each._transport is not None
            addresses[number] = each._transport.get_extra_info("sockname")
            exchanges.append(each)
        for each in exchanges:
            each._addresses = addresses
            each._lender._not_before = 0.0
        since = float(round(time.time() * 1000))
        names = {lender_of(node_key(f"n{i}", since), 2): f"n{i}" for i in range(20)}
        for core in cores:
            core.update(
                NodeList(
                    1, True, tuple(Member(n, "127.0.0.1:1", i, since_ms=since) for i, n in names.items())
                )
            )
        loans: asyncio.Queue[tuple[str, float]] = asyncio.Queue()
        cores[0].use_loan = lambda node, units, time: loans.put_nowait((node, units))  # type: ignore[method-assign]
        exchanges[0]._borrow(names[0], 1.0)  # from its own lender
        assert await loans.get() == (names[0], 1.0)
        exchanges[0]._borrow(names[1], 1.0)
        assert await loans.get() == (names[1], 1.0) and exchanges[1].counts["lent"] == 1
        stranger, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0)
        )
        for data in (
            datagram.pack(datagram.LoanRequest(0, 1, 1, node_key(names[1], since), 1.0)),
            b"x",
            b"x" * 300,
        ):
            stranger.sendto(data, addresses[1])
        while sum(exchanges[1].counts[name] for name in ("forged", "malformed")) < 3:
            await asyncio.sleep(0.001)
        assert exchanges[1].counts["lent"] == 1 and exchanges[1].counts["forged"] == 1
        stranger.close()
        for each in exchanges:
            each.close()

    run(scenario())


def test_opening_the_socket_is_retried_while_the_address_is_in_use(monkeypatch: pytest.MonkeyPatch) -> None:
    """The previous process may still hold the address; without a retry this one would never lend anything."""
    monkeypatch.setattr(exchange, "SOCKET_RETRY_S", 0.01)

    async def scenario() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as holder:
            holder.bind(("127.0.0.1", 0))
            address = holder.getsockname()
            lending_exchange = exchange.CapacityExchange(
                Core(replace(PLATFORM.settings, schedulers=2), 1), 0, [address, address], seed=1
            )
            await lending_exchange.serve(address)
            assert lending_exchange._transport is None
        while lending_exchange._transport is None:
            await asyncio.sleep(0.001)
        lending_exchange.close()

    run(scenario())


def test_tier_is_configured_only_if_the_settings_allow_communication() -> None:
    raw_config = raw()
    brokers = raw_config["settings"]["balancers"] = 3
    raw_config["settings"]["me"], raw_config["peer_listen"] = 1, "127.0.0.1:7946"
    raw_config["peers"] = [f"127.0.0.{n + 1}:7946" for n in range(brokers)]
    raw_config["settings"]["limits"]["mayTell"] = True
    tier = config.parse_platform_config(raw_config, {}).tier
    assert tier is not None and tier.number == 1 and tier.peers[0] == ("127.0.0.1", 7946)
    raw_config["settings"]["limits"]["mayTell"] = False
    assert config.parse_platform_config(raw_config, {}).tier is None
    raw_config["settings"]["limits"]["mayTell"] = True
    for invalid in ({"peers": ["x"]}, {"peers": raw_config["peers"][1:]}, {"peer_listen": "nowhere"}):
        with pytest.raises(config.ConfigError, match="peer"):
            config.parse_platform_config(raw_config | invalid, {})
