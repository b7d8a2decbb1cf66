"""Answers of each keeper while it, or others, are isolated.

There is an approved transcript for each row of the table in docs/design/control-safety.md.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
from control_support import STEP_TIMEOUT_S, World, document, replica, store
from result import Err

from cherrycove.tier.controlplane import leadership as leadership_module
from cherrycove.tier.controlplane.configuration_service import ConfigurationService
from cherrycove.tier.controlplane.leadership import Leadership
from cherrycove.tier.controlplane.process_registry import RETENTION_S
from cherrycove.tier.errors import ErrorKind
from cherrycove.tier.protocol.control_methods import PULL
from cherrycove.tier.protocol.control_pb2 import Announcement, PullRequest
from cherrycove.tier.protocol.keeper_pb2 import Command, FormStoreGroup, RecordMachines, Retire, StoreMachine

CONFIGURATION_PATH = "/api/configuration"
RETIRE_PATH = "/api/retire/s1"


async def transcript_of_calls(world: World, keeper: int) -> str:
    """Send a call of each kind to ``keeper`` concurrently; returns the sorted answers, the pull's last."""
    first = len(world.transcript)
    change = world.operator(keeper, "PUT", CONFIGURATION_PATH, document(9), "3")
    wrong = world.operator(keeper, "PUT", CONFIGURATION_PATH, b"{", "x")
    read = world.operator(keeper, "GET", CONFIGURATION_PATH)
    retire = world.operator(keeper, "POST", RETIRE_PATH, b"{}")
    retirement = world.operator(keeper, "GET", RETIRE_PATH)
    calls = (change, wrong, read, retire, retirement, pull(world, keeper))
    *_, pulled = await asyncio.gather(*calls)
    answers = sorted(line.partition(": ")[2] for line in world.transcript[first:])
    return "\n".join([*answers, str(pulled)])


async def pull(world: World, keeper: int) -> str:
    """Send a proxy's pull to ``keeper`` and return a line that describes the answer."""
    node = world.controllers[keeper]
    announcement = Announcement(node_name="f1", program="proxy", incarnation="1")
    request = PullRequest(announcement=announcement, wait_ms=0)
    outcome = await node.client.call(node.address, PULL, request, STEP_TIMEOUT_S)
    if isinstance(outcome, Err):
        hint = outcome.err_value.primary
        named = next(
            (f"keeper {n}" for n, one in enumerate(world.controllers) if one.address == hint), "nobody"
        )
        return f"pull -> {outcome.err_value.kind.value}, points to {named}"
    updates = outcome.ok_value.updates
    versions = [one.configuration.version for one in updates if one.HasField("configuration")]
    return f"pull -> configuration {versions}"


def assert_approved(answers: str, transcript: str) -> None:
    assert answers == "\n".join(line.strip() for line in transcript.strip().splitlines())


async def prepare(world: World) -> None:
    """Make controller 0 the primary, put version 3 in force and form the store group of s1, s2 and s3."""
    world.lead(0)
    await world.operator(0, "PUT", CONFIGURATION_PATH, document(3), "0")
    formed = FormStoreGroup(initial=[replica(name) for name in ("s1", "s2", "s3")])
    await world.controllers[0].group.propose(Command(form_store_group=formed).SerializeToString(), 1.0)


NO_PRIMARY_KNOWN = """
    GET /api/configuration -> 503
    GET /api/retire/s1 -> 503
    POST /api/retire/s1 -> 503
    PUT /api/configuration unreadable on x -> 503
    PUT /api/configuration v9 on 3 -> 503
    pull -> not_primary, points to nobody
    """

REDIRECTED_TO_KEEPER_0 = """
    GET /api/configuration -> 307 keeper 0/api/configuration
    GET /api/retire/s1 -> 307 keeper 0/api/retire/s1
    POST /api/retire/s1 -> 307 keeper 0/api/retire/s1
    PUT /api/configuration unreadable on x -> 307 keeper 0/api/configuration
    PUT /api/configuration v9 on 3 -> 307 keeper 0/api/configuration
    pull -> not_primary, points to keeper 0
    """


def test_a_primary_whose_lease_has_expired_and_one_that_stepped_down() -> None:
    async def exchange() -> None:
        async with World(2) as world:
            await prepare(world)
            world.replicas.lease = False
            assert_approved(await transcript_of_calls(world, 0), NO_PRIMARY_KNOWN)
            world.replicas.lease = True
            world.controllers[0].group.is_partitioned = True
            assert_approved(await transcript_of_calls(world, 0), NO_PRIMARY_KNOWN)
            assert world.replicas.committed == 2

    asyncio.run(exchange())


def test_a_primary_that_reaches_no_majority_while_its_lease_lasts() -> None:
    async def exchange() -> None:
        async with World(1) as world:
            await prepare(world)
            world.replicas.next_outcomes = ["uncertain_lost"] * 4
            await world.operator(0, "GET", CONFIGURATION_PATH)
            await world.operator(0, "PUT", CONFIGURATION_PATH, document(9), "3")
            await world.operator(0, "PUT", CONFIGURATION_PATH, document(9), "3")
            await world.operator(0, "PUT", CONFIGURATION_PATH, document(8), "1")
            await world.operator(0, "PUT", CONFIGURATION_PATH, b"{", "3")
            await world.operator(0, "PUT", CONFIGURATION_PATH, document(8), "1")
            assert_approved(
                "\n".join(world.transcript[1:]),
                """
                keeper 0: GET /api/configuration -> 200
                keeper 0: PUT /api/configuration v9 on 3 -> 504
                keeper 0: PUT /api/configuration v9 on 3 -> 503
                keeper 0: PUT /api/configuration v8 on 1 -> 503
                keeper 0: PUT /api/configuration unreadable on 3 -> 503
                keeper 0: PUT /api/configuration v8 on 1 -> 412
                """,
            )

    asyncio.run(exchange())


def test_a_backup_redirects_to_the_primary_until_it_no_longer_knows_one() -> None:
    async def exchange() -> None:
        async with World(2) as world:
            await prepare(world)
            assert_approved(await transcript_of_calls(world, 1), REDIRECTED_TO_KEEPER_0)
            world.controllers[1].group.is_partitioned = True
            assert_approved(await transcript_of_calls(world, 1), NO_PRIMARY_KNOWN)

    asyncio.run(exchange())


def test_a_primary_that_reaches_the_others_and_receives_nothing_from_them() -> None:
    """Its lease expires, while the others still receive its heartbeats and therefore redirect to it."""

    async def exchange() -> None:
        async with World(2) as world:
            await prepare(world)
            world.replicas.lease = False
            assert_approved(await transcript_of_calls(world, 0), NO_PRIMARY_KNOWN)
            assert_approved(await transcript_of_calls(world, 1), REDIRECTED_TO_KEEPER_0)
            assert world.replicas.committed == 2

    asyncio.run(exchange())


def test_a_member_whose_seeds_are_unreachable() -> None:
    async def exchange() -> None:
        async with World(2) as world:
            await world.controllers[1].isolate_from_seeds()
            await prepare(world)
            assert_approved(await transcript_of_calls(world, 1), REDIRECTED_TO_KEEPER_0)

    asyncio.run(exchange())


def test_a_backup_does_not_redirect_to_a_primary_that_has_been_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def exchange() -> None:
        async with World(2) as world:
            await prepare(world)
            monkeypatch.setattr(leadership_module, "HINT_MAX_AGE_S", 0.0)
            assert_approved(await transcript_of_calls(world, 1), NO_PRIMARY_KNOWN)

    asyncio.run(exchange())


def test_a_keeper_outside_the_group_redirects_to_the_keeper_that_answers_its_pulls() -> None:
    async def exchange() -> None:
        async with World(2) as world:
            group = world.controllers[1].group
            group.is_member = False
            group.is_partitioned = True
            await prepare(world)
            client = await world.client(Announcement(node_name="f2", program="proxy", incarnation="1"))
            await client.until(lambda views: any(one.node_name == "core-2" for one in views.members))
            assert_approved(await transcript_of_calls(world, 1), REDIRECTED_TO_KEEPER_0)

    asyncio.run(exchange())


def test_a_keeper_outside_the_group_whose_seeds_are_unreachable() -> None:
    async def exchange() -> None:
        async with World(2) as world:
            group = world.controllers[1].group
            group.is_member = False
            group.is_partitioned = True
            await world.controllers[1].isolate_from_seeds()
            await prepare(world)
            assert_approved(await transcript_of_calls(world, 1), NO_PRIMARY_KNOWN)

    asyncio.run(exchange())


def test_an_operator_that_reaches_only_the_minority() -> None:
    async def exchange() -> None:
        async with World(3) as world:
            await prepare(world)
            for cut in (world.controllers[0], world.controllers[1]):
                await cut.isolate_from_seeds()
            world.lead(2)
            world.controllers[0].group.is_partitioned = True
            world.controllers[1].group.is_partitioned = True
            both = await asyncio.gather(request_statuses(world, 0), request_statuses(world, 1))
            assert both == [{503}, {503}]
            await world.operator(2, "PUT", CONFIGURATION_PATH, document(9), "3")
            await world.operator(2, "PUT", CONFIGURATION_PATH, document(9, limits={}), "3")
            assert [line.rpartition(" ")[2] for line in world.transcript[-2:]] == ["200", "412"]

    asyncio.run(exchange())


async def request_statuses(world: World, keeper: int) -> set[int]:
    """Return the statuses of a configuration change, a read and a retire request."""
    answers = await asyncio.gather(
        world.operator(keeper, "PUT", CONFIGURATION_PATH, document(9), "0"),
        world.operator(keeper, "GET", CONFIGURATION_PATH),
        world.operator(keeper, "POST", "/api/retire/unknown", b"{}"),
    )
    return {status for status, _ in answers}


def test_a_new_primary_without_store_announcements_rejects_no_request_permanently() -> None:
    async def exchange() -> None:
        async with World(2) as world:
            await prepare(world)
            order = Retire(node_name="s2")
            await world.controllers[0].group.propose(Command(retire=order).SerializeToString(), 1.0)
            world.lead(1)
            first = len(world.transcript)
            await world.operator(1, "POST", "/api/retire/s1", b"{}")
            await world.operator(1, "POST", "/api/retire/unknown", b"{}")
            await world.operator(1, "POST", "/api/retire/s2", b"{}")
            await world.operator(1, "GET", "/api/retire/s2")
            await world.operator(1, "PUT", CONFIGURATION_PATH, document(9), "3")
            # Simulate a leadership period without a single announcement.
            world.controllers[1].controller.directory.leading_since -= 10.0
            await world.operator(1, "POST", "/api/retire/s1", b"{}")
            await world.operator(1, "POST", "/api/retire/unknown", b"{}")
            assert_approved(
                "\n".join(world.transcript[first:]),
                """
                keeper 1: POST /api/retire/s1 -> 503
                keeper 1: POST /api/retire/unknown -> 503
                keeper 1: POST /api/retire/s2 -> 200
                keeper 1: GET /api/retire/s2 -> 200
                keeper 1: PUT /api/configuration v9 on 3 -> 200
                keeper 1: POST /api/retire/s1 -> 503
                keeper 1: POST /api/retire/unknown -> 503
                """,
            )

    asyncio.run(exchange())


def test_a_recorded_machine_that_has_not_announced_itself_yet_causes_no_409() -> None:
    async def exchange() -> None:
        async with World(1) as world:
            await prepare(world)
            stores = [await world.client(store(name)) for name in ("s1", "s2")]
            await stores[1].until(lambda views: len(views.stores()) == 2)
            world.controllers[0].controller.directory.leading_since -= 10.0
            assert (await world.operator(0, "POST", "/api/retire/s1", b"{}"))[0] == 409
            machine = StoreMachine(node_name="s4", ip="127.0.0.9", store_id="disk-s4")
            record = Command(record_machines=RecordMachines(machines=[machine]))
            await world.controllers[0].group.propose(record.SerializeToString(), 1.0)
            assert (await world.operator(0, "POST", "/api/retire/s1", b"{}"))[0] == 503
            assert (await world.operator(0, "POST", "/api/retire/s4", b"{}"))[0] == 503
            assert (await world.operator(0, "POST", "/api/retire/s9", b"{}"))[0] == 404
            # The retention period has passed without an announcement of the missing machines.
            world.controllers[0].controller.directory.leading_since -= RETENTION_S
            assert (await world.operator(0, "POST", "/api/retire/s1", b"{}"))[0] == 409

    asyncio.run(exchange())


def test_a_lease_that_ends_while_the_body_arrives() -> None:
    async def exchange() -> None:
        async with World(1) as world:
            await prepare(world)
            assert world.http is not None
            started, rest = asyncio.Event(), asyncio.Event()

            async def body() -> AsyncIterator[bytes]:
                yield b"{"
                started.set()
                await rest.wait()
                yield b"}"

            url = f"http://{world.hosts[0]}:{world.control_port}{CONFIGURATION_PATH}"
            call = asyncio.create_task(world.http.put(url, data=body(), headers={"If-Match": "1"}))
            await started.wait()
            world.replicas.lease = False
            rest.set()
            async with asyncio.timeout(STEP_TIMEOUT_S):
                assert (await call).status == 503

    asyncio.run(exchange())


def test_a_lease_that_ends_while_a_change_waits_for_its_turn() -> None:
    async def exchange() -> None:
        async with World(1) as world:
            await prepare(world)
            node = world.controllers[0]
            decisions = ConfigurationService(
                node.group, node.state, Leadership(node.group, node.cluster_view)
            )
            world.replicas.gate = asyncio.Event()
            first = asyncio.create_task(decisions.put(document(5), 3))
            await world.replicas.waiting.wait()
            refusable = ((b"{", 3), (document(9), 1))
            others = [asyncio.create_task(decisions.put(body, base)) for body, base in refusable]
            await asyncio.sleep(0)  # both now wait for the first one
            world.replicas.lease = False
            world.replicas.gate.set()
            outcomes = [(await task).unwrap_err().kind for task in (first, *others)]
            assert outcomes == [ErrorKind.NOT_PRIMARY] * 3

    asyncio.run(exchange())


def test_a_store_is_listed_as_a_member_only_when_its_disk_is_recorded() -> None:
    async def exchange() -> None:
        async with World(1) as world:
            world.lead(0)
            directory = world.controllers[0].controller.directory
            now = asyncio.get_running_loop().time()
            directory.registry.announce(store("s1"), now)
            directory.registry.announce(Announcement(node_name="f1", program="proxy", incarnation="1"), now)
            names = {one.node_name for one in directory.members(now).members if one.program != "keeper"}
            assert names == {"f1"}
            machine = StoreMachine(node_name="s1", ip="127.0.0.1", store_id="disk-s1")
            record = Command(record_machines=RecordMachines(machines=[machine]))
            await world.controllers[0].group.propose(record.SerializeToString(), 1.0)
            names = {one.node_name for one in directory.members(now).members if one.program != "keeper"}
            assert names == {"f1", "s1"}
            directory.registry.announce(store("s1", incarnation="2", member_id="disk-new"), now)
            names = {one.node_name for one in directory.members(now).members if one.program != "keeper"}
            assert names == {"f1"}

    asyncio.run(exchange())
