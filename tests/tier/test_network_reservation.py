"""Loopback networks of the examples' tiers: two tiers on one machine never share one."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from examples import tier_processes
from examples.tier_processes import NoFreeNetworkError, random_network, reserve_network


@pytest.fixture
def networks() -> list[str]:
    """Two networks, which tests on this machine reserve with the probability of any others."""
    return [random_network(), random_network()]


def choose(monkeypatch: pytest.MonkeyPatch, chosen: Iterator[str]) -> None:
    """Let the next random networks be ``chosen``."""
    monkeypatch.setattr(tier_processes, "random_network", lambda: next(chosen))


def test_a_network_in_use_is_not_given_to_a_second_tier(
    monkeypatch: pytest.MonkeyPatch, networks: list[str]
) -> None:
    first, second = networks
    choose(monkeypatch, iter([first, first, first, second]))
    reservations = [reserve_network(), reserve_network()]
    assert [each.network for each in reservations] == [first, second]
    for each in reservations:
        each.release()


def test_a_released_network_can_be_reserved_again(
    monkeypatch: pytest.MonkeyPatch, networks: list[str]
) -> None:
    first, _ = networks
    choose(monkeypatch, iter([first, first]))
    reserve_network().release()
    again = reserve_network()
    assert again.network == first
    again.release()


def test_a_machine_without_a_free_network_is_reported(
    monkeypatch: pytest.MonkeyPatch, networks: list[str]
) -> None:
    first, _ = networks
    monkeypatch.setattr(tier_processes, "random_network", lambda: first)
    reservation = reserve_network()
    with pytest.raises(NoFreeNetworkError, match="no free network after 16 attempts"):
        reserve_network()
    reservation.release()
