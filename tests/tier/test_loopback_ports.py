"""Ports that tests listen on: none is given twice while a test may still want to listen on it."""

from __future__ import annotations

import random
from collections import deque

import loopback_ports
import pytest


class FixedOrder(random.Random):
    """Samples in the order of the population, so that the same ports come first each time."""

    def sample(self, population: range, k: int) -> list[int]:  # type: ignore[override]
        return list(population)[:k]


@pytest.fixture(autouse=True)
def fixed_order(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(loopback_ports, "_random", FixedOrder())
    monkeypatch.setattr(loopback_ports, "_recent", deque(maxlen=loopback_ports.RECENT_PORTS))


def test_a_port_is_not_given_again_before_anything_listens_on_it() -> None:
    addresses = [loopback_ports.free_address() for _ in range(20)]
    assert len(set(addresses)) == len(addresses)


def test_a_port_whose_successors_were_given_is_not_given_again() -> None:
    (first,) = loopback_ports.free_ports(1, following=3)
    (second,) = loopback_ports.free_ports(1, following=3)
    assert not set(range(first, first + 4)) & set(range(second, second + 4))


def test_workers_of_a_test_run_share_no_port(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("PYTEST_XDIST_WORKER_COUNT", "6")
    ports: list[int] = []
    for worker in range(6):
        monkeypatch.setenv("PYTEST_XDIST_WORKER", f"gw{worker}")
        ports.extend(loopback_ports._own_ports())
    assert len(set(ports)) == len(ports)
    assert min(ports) >= loopback_ports.FIRST_PORT and max(ports) < loopback_ports.PORTS_END
