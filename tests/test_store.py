"""The shared map: convergence under loss, partition and restart, and the permitted effects of datagrams."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support import Node, World, corrupted, fuzz, run

from cherrycove.broker import shared_map
from cherrycove.broker.core import Member, NodeList
from cherrycove.broker.shared_map import Entry, EntryError, SharedMap
from cherrycove.scheduling.interface import NodeState

SAMPLE = Entry("config/log_level", 7, "n1", "INFO")


def rounds(
    brokers: list[SharedMap],
    rng: random.Random,
    count: int,
    loss: float = 0.0,
    apart: tuple[SharedMap, ...] = (),
) -> None:
    """Run ``count`` rounds of anti-entropy over a network that loses datagrams.

    A datagram is lost with probability ``loss``, and always between a broker in ``apart`` and one outside.
    """

    def deliver(data: bytes, source: SharedMap, target: SharedMap) -> None:
        assert len(data) <= 256
        if rng.random() >= loss and (source in apart) == (target in apart):
            for reply in target.receive(data):
                deliver(reply, target, source)

    for _ in range(count):
        for broker in brokers:
            deliver(broker.digest(), broker, rng.choice([each for each in brokers if each is not broker]))


@fuzz
@given(st.integers(0, 1 << 32), st.floats(0, 0.5))
def test_brokers_converge_under_loss_after_a_partition_and_a_restart(seed: int, loss: float) -> None:
    dice = random.Random(seed)
    brokers = [SharedMap(f"n{i}") for i in range(4)]
    for turn in range(60):  # each side goes on writing and deleting while they are apart
        dice.choice(brokers).put(f"config/{dice.randrange(20)}", dice.choice([None, f"value {turn}"]))
        rounds(brokers, dice, 1, loss, tuple(brokers[:2]))
    brokers[3] = SharedMap("n3")  # it starts over from nothing
    rounds(brokers, dice, 60, loss)
    assert len({broker.digest() for broker in brokers}) == 1
    assert all(broker.items() == brokers[0].items() for broker in brokers)
    assert not any(broker.counts["malformed"] for broker in brokers)


def test_the_last_writer_wins_and_a_delete_stays_deleted() -> None:
    first, second = SharedMap("a"), SharedMap("b")
    first.put("k", "old", 3)
    for late in (Entry("k", 2, "z", "late"), Entry("k", 3, "a", "old")):
        first.receive(late.pack())
    assert first.get("k") == "old"
    second.put("k", "other", 3)
    rounds([first, second], random.Random(1), 3)
    assert first.get("k") == second.get("k") == "other"  # the counters are equal: the greater name wins
    second.put("k", None)
    rounds([first, second], random.Random(1), 3)
    first.receive(Entry("k", 3, "b", "other").pack())  # an outdated copy arrives
    assert first.get("k") is None and not first.items()


def test_a_large_map_is_replicated_in_bounded_replies() -> None:
    full, empty = SharedMap("a"), SharedMap("b")
    for i in range(300):
        full.put(f"config/{i}", "x" * 200)
    assert len(full.receive(empty.digest())) <= shared_map.MAX_ENTRIES_PER_REPLY + 1
    rounds([full, empty], random.Random(1), 200)
    assert len(empty.items()) == 300
    with pytest.raises(EntryError):
        full.put("config/large", "x" * 250)


@fuzz
@given(corrupted(SAMPLE.pack()), corrupted(SharedMap("a").digest()))
def test_garbage_is_counted_and_dropped_or_a_whole_entry(entry: bytes, digest: bytes) -> None:
    broker = SharedMap("n0")
    for data in (entry, digest):
        before = broker.counts["malformed"]
        replies = broker.receive(data)
        assert all(len(reply) <= 256 for reply in replies)
        assert not (broker.counts["malformed"] > before and replies)
    for found in broker.items().values():
        assert found.pack() == entry
    if not broker.counts["merged"]:
        assert not broker.items()


def test_peer_entries_may_drain_a_node_but_never_restore_it() -> None:
    async def scenario() -> None:
        async with World(await Node().start()) as world:
            core, member = world.core, replace(world.members[0], since_ms=5.0)
            core.update(NodeList(4, True, (member,)))

            def apply_entry(
                version: int, state: NodeState, since: float = 5.0, name: str = "d0"
            ) -> NodeState:
                value = json.dumps([state.value, member.address, 0, since])
                shared_map.apply_peer_drain(core, Entry(f"node/{name}", version, "n9", value))
                return core.members[0].state

            draining = NodeState.DRAINING
            assert apply_entry(5, draining) is NodeState.UP  # discovery is reachable and takes precedence
            core.list_unavailable()
            assert apply_entry(4, draining) is NodeState.UP and apply_entry(5, draining, 9.0) is NodeState.UP
            assert apply_entry(5, NodeState.UP, name="d9") is NodeState.UP and len(core.members) == 1
            shared_map.apply_peer_drain(core, Entry("node/d0", 5, "n9", "[]"))
            assert apply_entry(5, draining) is draining and (await world.ask(ms=500))[0] == 503
            assert apply_entry(6, NodeState.UP) is draining and not core.ready
            core.update(NodeList(6, True, (member,)))  # the broker's own list restores the node
            assert core.ready

    run(scenario())


def test_gossip_replicates_node_lists_and_drops_datagrams_of_unknown_senders() -> None:
    async def scenario() -> None:
        changed = asyncio.Event()
        left, right = SharedMap("a"), SharedMap("b", lambda entry: changed.set())
        first = shared_map.GossipProtocol(left, shared_map.SharedMapConfig(("127.0.0.1", 0), (), 0.01))
        port = await first.start()
        second = shared_map.GossipProtocol(
            right, shared_map.SharedMapConfig(("127.0.0.1", 0), (("127.0.0.1", port),), 0.01)
        )
        await second.start()
        while not left.counts["strangers"]:
            await asyncio.sleep(0.01)
        peer = second._transport.get_extra_info("sockname")  # type: ignore[union-attr]
        first._config = shared_map.SharedMapConfig(("127.0.0.1", 0), (peer,), 0.01)
        first.broadcast(
            shared_map.record_node_list(left, NodeList(3, True, (Member("d0", "127.0.0.1:1", 0),)))
        )
        await changed.wait()
        while right.digest() != left.digest():
            await asyncio.sleep(0.01)
        shared_map.record_node_list(left, NodeList(4, True, ()))
        while right.items():
            await asyncio.sleep(0.01)
        first.close()
        second.close()

    run(scenario())
