"""Tests complete exchanges with the operator over loopback against approved transcripts."""

from __future__ import annotations

import asyncio
import json

import pytest
from control_support import World, document, replica, store

from cherrycove.tier.controlplane import configuration_state
from cherrycove.tier.controlplane.process_registry import RETENTION_S, ProcessRegistry
from cherrycove.tier.protocol.keeper_pb2 import Command, Retired

CONFIGURATION = "/api/configuration"


def assert_transcript(world: World, transcript: str) -> None:
    assert "\n".join(world.transcript) == "\n".join(line.strip() for line in transcript.strip().splitlines())


def test_a_configuration_is_accepted_resent_and_read() -> None:
    async def exchange() -> None:
        async with World(1) as world:
            world.lead(0)
            await world.operator(0, "GET", CONFIGURATION)
            reformatted = document(3).replace(b": ", b":   ")
            await world.operator(0, "PUT", CONFIGURATION, reformatted, "0")
            await world.operator(0, "PUT", CONFIGURATION, reformatted, "0")
            await world.operator(0, "PUT", CONFIGURATION, document(8), '"3"')
            await world.operator(0, "PUT", CONFIGURATION, document(3), "0")
            await world.operator(0, "PUT", CONFIGURATION, document(9), "3")
            await world.operator(0, "PUT", CONFIGURATION, document(7), "8")
            _, body = await world.operator(0, "GET", CONFIGURATION)
            assert body == document(8)
            assert world.replicas.committed == 2
            assert_transcript(
                world,
                """
                keeper 0: GET /api/configuration -> 404
                keeper 0: PUT /api/configuration v3 on 0 -> 200
                keeper 0: PUT /api/configuration v3 on 0 -> 200
                keeper 0: PUT /api/configuration v8 on "3" -> 200
                keeper 0: PUT /api/configuration v3 on 0 -> 200
                keeper 0: PUT /api/configuration v9 on 3 -> 412
                keeper 0: PUT /api/configuration v7 on 8 -> 400
                keeper 0: GET /api/configuration -> 200
                """,
            )

    asyncio.run(exchange())


def test_invalid_requests_are_rejected_with_the_reason() -> None:
    async def exchange() -> None:
        async with World(1) as world:
            world.lead(0)
            broken = document(4, services=[])
            _, body = await world.operator(0, "PUT", CONFIGURATION, broken, "0")
            assert "ledger" in json.loads(body)["detail"]
            await world.operator(0, "PUT", CONFIGURATION, document(4)[:-1], "0")
            await world.operator(0, "PUT", CONFIGURATION, document(2**63), "0")
            await world.operator(0, "PUT", CONFIGURATION, document(4))
            for header in ("", "x", "-1", "1, 2", "9" * 25, "*", "0x1", "１"):
                await world.operator(0, "PUT", CONFIGURATION, document(4), header)
            await world.operator(0, "PUT", CONFIGURATION, b" " * (16 * 1024 * 1024 + 1), "0")
            assert {line.rpartition(" ")[2] for line in world.transcript[:-1]} == {"400"}
            assert world.transcript[-1] == "keeper 0: PUT /api/configuration unreadable on 0 -> 413"
            assert world.replicas.proposed == 0

    asyncio.run(exchange())


def test_a_backup_redirects_to_the_primary_or_answers_unavailable() -> None:
    async def exchange() -> None:
        async with World(2) as world:
            world.lead(0)
            await world.operator(1, "PUT", CONFIGURATION, document(3), "0")
            await world.operator(1, "PUT", CONFIGURATION, b"{", "x")
            await world.operator(1, "GET", CONFIGURATION)
            await world.operator(1, "POST", "/api/retire/s1", b"{}")
            await world.operator(1, "GET", "/api/retire/s%201?a=b")
            world.lead(None)
            await world.operator(1, "PUT", CONFIGURATION, document(3), "0")
            await world.operator(0, "GET", CONFIGURATION)
            assert_transcript(
                world,
                """
                keeper 1: PUT /api/configuration v3 on 0 -> 307 keeper 0/api/configuration
                keeper 1: PUT /api/configuration unreadable on x -> 307 keeper 0/api/configuration
                keeper 1: GET /api/configuration -> 307 keeper 0/api/configuration
                keeper 1: POST /api/retire/s1 -> 307 keeper 0/api/retire/s1
                keeper 1: GET /api/retire/s%201?a=b -> 307 keeper 0/api/retire/s%201?a=b
                keeper 1: PUT /api/configuration v3 on 0 -> 503
                keeper 0: GET /api/configuration -> 503
                """,
            )

    asyncio.run(exchange())


def test_a_primary_whose_lease_expired_returns_no_final_error() -> None:
    async def exchange() -> None:
        async with World(1) as world:
            world.lead(0)
            await world.operator(0, "PUT", CONFIGURATION, document(3), "0")
            world.lead(0, lease=False)
            await world.operator(0, "PUT", CONFIGURATION, document(4), "9")
            await world.operator(0, "PUT", CONFIGURATION, b"{", "3")
            await world.operator(0, "GET", CONFIGURATION)
            await world.operator(0, "POST", "/api/retire/unknown", b"{}")
            assert [line.rpartition(" ")[2] for line in world.transcript] == [
                "200",
                "503",
                "503",
                "503",
                "503",
            ]

    asyncio.run(exchange())


def test_of_concurrent_changes_only_one_is_committed() -> None:
    async def exchange() -> None:
        async with World(1) as world:
            world.lead(0)
            world.replicas.gate = asyncio.Event()
            first = asyncio.create_task(world.operator(0, "PUT", CONFIGURATION, document(3), "0"))
            await world.replicas.waiting.wait()
            others = [
                asyncio.create_task(world.operator(0, "PUT", CONFIGURATION, body, "0"))
                for body in (document(3, limits={}), document(5), document(3))
            ]
            world.replicas.gate.set()
            statuses = [(await task)[0] for task in (first, *others)]
            assert statuses == [200, 412, 412, 200]
            assert world.replicas.committed == 1

    asyncio.run(exchange())


def test_leadership_lost_while_a_change_waits_for_an_earlier_one() -> None:
    async def exchange() -> None:
        async with World(2) as world:
            world.lead(0)
            world.replicas.gate = asyncio.Event()
            first = asyncio.create_task(world.operator(0, "PUT", CONFIGURATION, document(3), "0"))
            await world.replicas.waiting.wait()
            second = asyncio.create_task(world.operator(0, "PUT", CONFIGURATION, document(5), "4"))
            world.lead(1)
            world.replicas.gate.set()
            assert (await first)[0] == 307
            assert (await second)[0] == 307

    asyncio.run(exchange())


def test_after_an_uncertain_outcome_a_barrier_precedes_the_next_decision() -> None:
    async def exchange() -> None:
        async with World(1) as world:
            world.lead(0)
            world.replicas.next_outcomes = ["uncertain_committed", "uncertain_lost"]
            await world.operator(0, "PUT", CONFIGURATION, document(3), "0")
            await world.operator(0, "PUT", CONFIGURATION, document(3, limits={}), "0")
            await world.operator(0, "PUT", CONFIGURATION, document(3, limits={}), "0")
            await world.operator(0, "PUT", CONFIGURATION, document(3), "0")
            world.replicas.next_outcomes = ["uncertain_lost"]
            await world.operator(0, "PUT", CONFIGURATION, document(6), "3")
            await world.operator(0, "PUT", CONFIGURATION, document(6), "3")
            assert_transcript(
                world,
                """
                keeper 0: PUT /api/configuration v3 on 0 -> 504
                keeper 0: PUT /api/configuration v3 on 0 -> 503
                keeper 0: PUT /api/configuration v3 on 0 -> 412
                keeper 0: PUT /api/configuration v3 on 0 -> 200
                keeper 0: PUT /api/configuration v6 on 3 -> 504
                keeper 0: PUT /api/configuration v6 on 3 -> 200
                """,
            )

    asyncio.run(exchange())


def test_a_store_is_retired_step_by_step() -> None:
    async def exchange() -> None:
        async with World(1) as world:
            world.lead(0)
            await world.operator(0, "POST", "/api/retire/s4", b'{"durationS":10}')
            stores = {name: await world.client(store(name)) for name in ("s1", "s2", "s3", "s4")}
            await stores["s1"].until(lambda view: len(view.store_group.initial) == 3)
            while (await world.operator(0, "POST", "/api/retire/unknown", b"{}"))[0] == 503:
                world.transcript.pop()
            group = await world.store_group("s1", "s2", "s3")
            await world.operator(0, "POST", "/api/retire/s3", b'{"durationS":10}')
            await world.operator(0, "POST", "/api/retire/s3", b'{"durationS":10}')
            await world.operator(0, "POST", "/api/retire/s2", b'{"durationS":10}')
            await stores["s1"].until(lambda view: list(view.store_group.retiring) == ["s3"])
            await world.operator(0, "GET", "/api/retire/s3")
            group.members = [replica(name) for name in ("s1", "s2", "s4")]
            group.revision = stores["s1"].cluster_view.store_group.revision
            group.excluded = ["disk-s3"]
            order = world.controllers[0].state.retire_orders
            await stores["s2"].until(lambda view: order["s3"].completed)
            _, body = await world.operator(0, "GET", "/api/retire/s3")
            assert json.loads(body) == {"state": "completed"}
            assert world.controllers[0].group.retiring == {"s3", *order["s3"].keeper_ids}
            await world.operator(0, "GET", "/api/retire/s1")
            assert_transcript(
                world,
                """
                keeper 0: POST /api/retire/s4 -> 503
                keeper 0: POST /api/retire/unknown -> 404
                keeper 0: POST /api/retire/s3 -> 200
                keeper 0: POST /api/retire/s3 -> 200
                keeper 0: POST /api/retire/s2 -> 409
                keeper 0: GET /api/retire/s3 -> 200
                keeper 0: GET /api/retire/s3 -> 200
                keeper 0: GET /api/retire/s1 -> 404
                """,
            )

    asyncio.run(exchange())


def test_versions_without_a_retained_digest_are_not_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(configuration_state, "MAX_ACCEPTED_VERSIONS", 2)

    async def exchange() -> None:
        async with World(2) as world:
            world.lead(0)
            for version, base in ((2, "0"), (4, "2"), (6, "4"), (8, "6")):
                await world.operator(0, "PUT", CONFIGURATION, document(version), base)
            world.transcript.clear()
            await world.operator(0, "PUT", CONFIGURATION, document(2), "0")
            await world.operator(0, "PUT", CONFIGURATION, document(4, limits={}), "2")
            await world.operator(0, "PUT", CONFIGURATION, document(6), "4")
            await world.operator(0, "PUT", CONFIGURATION, document(6, limits={}), "4")
            world.controllers[1].state.restore(world.controllers[0].state.snapshot())
            world.lead(1)
            await world.operator(1, "PUT", CONFIGURATION, document(2), "0")
            await world.operator(1, "PUT", CONFIGURATION, document(6), "4")
            await world.operator(1, "PUT", CONFIGURATION, document(9), "8")
            await world.operator(1, "PUT", CONFIGURATION, document(6), "4")
            assert_transcript(
                world,
                """
                keeper 0: PUT /api/configuration v2 on 0 -> 504
                keeper 0: PUT /api/configuration v4 on 2 -> 504
                keeper 0: PUT /api/configuration v6 on 4 -> 200
                keeper 0: PUT /api/configuration v6 on 4 -> 412
                keeper 1: PUT /api/configuration v2 on 0 -> 504
                keeper 1: PUT /api/configuration v6 on 4 -> 200
                keeper 1: PUT /api/configuration v9 on 8 -> 200
                keeper 1: PUT /api/configuration v6 on 4 -> 504
                """,
            )

    asyncio.run(exchange())


def test_a_resent_retire_order_is_acknowledged() -> None:
    """It is resent after a lost response, a change of primary and its completion, and never rejected."""

    async def exchange() -> None:
        async with World(2) as world:
            world.lead(0)
            stores = [await world.client(store(f"s{number}")) for number in range(1, 5)]
            await stores[0].until(lambda view: len(view.stores()) == 4)
            world.transcript.clear()
            world.replicas.next_outcomes = ["uncertain_committed"]
            await world.operator(0, "POST", "/api/retire/s4", b"{}")
            await world.operator(0, "POST", "/api/retire/s4", b"{}")
            for client in stores:
                await client.stop()
            world.lead(1)
            await world.operator(1, "POST", "/api/retire/s4", b"{}")
            retired = Command(retired=Retired(node_name="s4", member_id="disk-s4"))
            await world.controllers[1].group.propose(retired.SerializeToString(), 1.0)
            await world.operator(1, "POST", "/api/retire/s4", b"{}")
            await world.operator(1, "GET", "/api/retire/s4")
            assert_transcript(
                world,
                """
                keeper 0: POST /api/retire/s4 -> 504
                keeper 0: POST /api/retire/s4 -> 200
                keeper 1: POST /api/retire/s4 -> 200
                keeper 1: POST /api/retire/s4 -> 200
                keeper 1: GET /api/retire/s4 -> 200
                """,
            )

    asyncio.run(exchange())


def test_a_retire_order_with_unknown_outcome_is_not_rejected_before_the_outcome_is_known() -> None:
    async def exchange() -> None:
        async with World(1) as world:
            world.lead(0)
            stores = [await world.client(store(f"s{number}")) for number in range(1, 5)]
            await stores[0].until(lambda view: len(view.stores()) == 4)
            controller = world.controllers[0].controller
            controller.directory.leading_since -= RETENTION_S
            world.replicas.next_outcomes = ["uncertain_lost", "uncertain_lost"]
            await world.operator(0, "POST", "/api/retire/s4", b"{}")
            controller.directory.registry = ProcessRegistry()
            for name in ("s1", "s2"):
                controller.directory.registry.announce(store(name), asyncio.get_running_loop().time())
            first = world.operator(0, "POST", "/api/retire/s4", b"{}")
            assert (await first)[0] == 503

    asyncio.run(exchange())
