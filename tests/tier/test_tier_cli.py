"""Tests the operators' commands, run through cleo against stub servers on loopback."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from cleo.testers.application_tester import ApplicationTester
from cli_support import (
    CONFIGURATION,
    DONE,
    FAILED,
    INVALID,
    SETTINGS,
    UNANSWERED,
    CommandResult,
    EventLoopThread,
    StubResponse,
    StubServer,
    run,
)
from loopback_ports import free_address
from result import Err, Ok, Result

from cherrycove.tier.cli import create_application
from cherrycove.tier.cli.differences import find_differences
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.control_pb2 import Announcement, BrokerEntry, BrokerList, Replica
from cherrycove.tier.protocol.controller_methods import STATUS
from cherrycove.tier.protocol.keeper_pb2 import RetireOrder, StatusReply, StatusRequest
from cherrycove.tier.protocol.rpc import RpcServer
from cherrycove.tier.storage.entries import Entry, EntryKind
from cherrycove.tier.storage.hard_state import HardState
from cherrycove.tier.storage.identity import open_identity
from cherrycove.tier.storage.replica_storage import ReplicaStorage
from cherrycove.tier.storage.snapshots import Snapshot

StartStubServer = Callable[..., StubServer]
StartKeeper = Callable[[Callable[[str], Result[StatusReply, Failure]]], str]


@pytest.fixture
def loop() -> Iterator[EventLoopThread]:
    loop = EventLoopThread()
    yield loop
    loop.close()


@pytest.fixture
def stub_server(loop: EventLoopThread) -> Iterator[StartStubServer]:
    started: list[StubServer] = []

    def start(*responses: StubResponse) -> StubServer:
        server = StubServer(*responses)
        loop.run(server.start())
        started.append(server)
        return server

    yield start
    for server in started:
        loop.run(server.stop())


@pytest.fixture
def keeper(loop: EventLoopThread) -> Iterator[StartKeeper]:
    """Start a server of internal calls whose status reply is computed from its address by a function."""
    started: list[RpcServer] = []

    def start(reply: Callable[[str], Result[StatusReply, Failure]]) -> str:
        server = RpcServer()
        address = free_address()

        async def status(_: StatusRequest) -> Result[StatusReply, Failure]:
            return reply(address)

        server.register(STATUS, status)
        loop.run(server.start(address))
        started.append(server)
        return address

    yield start
    for server in started:
        loop.run(server.stop())


@pytest.fixture
def configuration_file(tmp_path: Path) -> Path:
    path = tmp_path / "new.json"
    path.write_text(json.dumps(CONFIGURATION))
    return path


def configuration_response(version: int) -> StubResponse:
    return StubResponse(200, json.dumps({**CONFIGURATION, "version": version}).encode())


# check


def test_valid_settings_are_summarized(tmp_path: Path) -> None:
    path = tmp_path / "boot.yaml"
    path.write_text(SETTINGS + "someNewKey: 5\n")
    assert run("check settings", str(path)) == CommandResult(DONE, f"{path}: valid; node core-1 in z1\n", "")
    assert run("check settings", f"{path} --json").document == {
        "file": str(path),
        "valid": True,
        "node": "core-1",
        "machineClass": "core",
        "serves": ["control_plane"],
    }


def test_settings_without_a_required_key_report_file_key_and_reason(tmp_path: Path) -> None:
    path = tmp_path / "boot.yaml"
    path.write_text(SETTINGS.replace("zone: z1\n", ""))
    outcome = run("check settings", f"{path} --json")
    assert outcome.exit_code == INVALID
    (error,) = outcome.document["errors"]
    assert error["source"] == str(path)
    assert "zone" in error["key"] + error["reason"]


STORE_LIMITS = "limits: {memoryMb: 330, diskMb: 69, linkMbps: 120}\nbounds: {catchUpS: 7, statusS: 120}\n"
TRAFFIC_OPTIONS = "--items 29 --body-bytes 1400 --result-bytes 3700 --run-s 8 --compressed 0.66"


def test_capacity_of_a_store_for_a_rate_of_batch_jobs(tmp_path: Path) -> None:
    path = tmp_path / "boot.yaml"
    path.write_text(SETTINGS + STORE_LIMITS)
    outcome = run("check room", f"{path} --jobs-per-s 3.53 {TRAFFIC_OPTIONS} --json")
    most = outcome.document["jobsPerSAtMost"]
    assert (outcome.exit_code, outcome.document["fits"]) == (DONE, True)
    assert 3.53 < most < 6.0
    assert max(outcome.document[bound] for bound in ("disk", "memory", "link")) < 1.0
    at_most = run("check room", f"{path} --jobs-per-s {most - 0.01} {TRAFFIC_OPTIONS}")
    assert at_most.exit_code == DONE and f"{path}: fits; disk " in at_most.output
    above = run("check room", f"{path} --jobs-per-s {most + 0.02} {TRAFFIC_OPTIONS}")
    assert above.exit_code == FAILED and f"{path}: does not fit; disk 1.00" in above.output


@pytest.mark.parametrize("value", ["0", "-1", "many", "nan", "inf"])
def test_an_invalid_rate_is_rejected(value: str, tmp_path: Path) -> None:
    path = tmp_path / "boot.yaml"
    path.write_text(SETTINGS + STORE_LIMITS)
    outcome = run("check room", f"{path} --jobs-per-s={value}")
    assert outcome.exit_code == INVALID
    assert outcome.errors.startswith("--jobs-per-s: must be ")


def test_a_missing_file_is_reported() -> None:
    assert run("check room", "/nowhere/boot.yaml").exit_code == INVALID
    outcome = run("check settings", "/nowhere/boot.yaml")
    assert outcome == CommandResult(INVALID, "", "/nowhere/boot.yaml: No such file or directory\n")


def test_a_valid_configuration_is_summarized(configuration_file: Path) -> None:
    outcome = run("check configuration", str(configuration_file))
    assert outcome == CommandResult(
        DONE, f"{configuration_file}: valid; version 7, 1 routes, 1 services\n", ""
    )


def test_an_invalid_configuration_reports_every_fault(tmp_path: Path) -> None:
    path = tmp_path / "bad.json"
    route = {**CONFIGURATION["routes"][0], "service": "s-9", "timeoutMs": 0}  # type: ignore[index]
    path.write_text(json.dumps({**CONFIGURATION, "routes": [route]}))
    outcome = run("check configuration", str(path))
    assert outcome.exit_code == INVALID
    assert outcome.errors == (
        f"{path}: route r-1: service 's-9' is not among the services\n"
        f"{path}: route r-1: timeoutMs must be above 0\n"
    )


# config


def test_get_prints_the_configuration_as_it_was_sent(stub_server: StartStubServer) -> None:
    server = stub_server(StubResponse(200, b'{"version": 7,\n "routes": []}'))
    outcome = run("config get", f"--keeper {server.address}")
    assert outcome == CommandResult(DONE, '{"version": 7,\n "routes": []}\n', "")


def test_get_fails_before_the_first_configuration(stub_server: StartStubServer) -> None:
    server = stub_server(StubResponse(404))
    assert run("config get", f"--keeper {server.address}").exit_code == FAILED


def test_put_is_based_on_the_version_in_force_by_default(
    stub_server: StartStubServer, configuration_file: Path
) -> None:
    server = stub_server(configuration_response(5), StubResponse(200))
    outcome = run("config put", f"{configuration_file} --keeper {server.address} --json")
    assert outcome.document == {"version": 7, "baseVersion": 5, "acknowledged": True}
    assert outcome.exit_code == DONE
    assert [call.method for call in server.received] == ["GET", "PUT"]
    assert server.received[1].headers["If-Match"] == "5"
    assert server.received[1].body == configuration_file.read_bytes()


def test_put_of_the_first_configuration_is_based_on_version_0(
    stub_server: StartStubServer, configuration_file: Path
) -> None:
    server = stub_server(StubResponse(404), StubResponse(200))
    assert run("config put", f"{configuration_file} --keeper {server.address}").exit_code == DONE
    assert server.received[1].headers["If-Match"] == "0"


def test_put_is_based_on_the_given_version(stub_server: StartStubServer, configuration_file: Path) -> None:
    server = stub_server(StubResponse(200))
    run("config put", f"{configuration_file} --keeper {server.address} --if-match 6")
    assert [call.headers["If-Match"] for call in server.received] == ["6"]


def test_put_follows_the_redirect_to_the_primary(
    stub_server: StartStubServer, configuration_file: Path
) -> None:
    primary = stub_server(StubResponse(200))
    location = f"http://{primary.address}/api/configuration"
    other = stub_server(StubResponse(307, headers={"Location": location}))
    outcome = run("config put", f"{configuration_file} --keeper {other.address} --if-match 6")
    assert outcome.exit_code == DONE
    assert primary.received[0].body == configuration_file.read_bytes()
    assert primary.received[0].headers["If-Match"] == "6"


def test_put_is_retried_unchanged_until_a_definite_response(
    stub_server: StartStubServer, configuration_file: Path
) -> None:
    server = stub_server(StubResponse(503), StubResponse(503), StubResponse(200))
    outcome = run("config put", f"{configuration_file} --keeper {server.address} --if-match 6")
    assert outcome.exit_code == DONE
    assert len(server.received) == 3
    assert len({call.body for call in server.received}) == 1


def test_put_tries_the_next_keeper(stub_server: StartStubServer, configuration_file: Path) -> None:
    server = stub_server(StubResponse(200))
    silent = free_address()
    arguments = f"{configuration_file} --keeper {silent} --keeper {server.address} --if-match 6"
    assert run("config put", arguments).exit_code == DONE


def test_put_based_on_another_version_than_that_in_force_fails(
    stub_server: StartStubServer, configuration_file: Path
) -> None:
    server = stub_server(
        StubResponse(412, b'{"error": "version_mismatch", "detail": "version 9 is in force"}')
    )
    outcome = run("config put", f"{configuration_file} --keeper {server.address} --if-match 6")
    assert outcome == CommandResult(FAILED, "", f"{server.address}: status 412 version 9 is in force\n")


def test_an_invalid_file_is_not_sent(stub_server: StartStubServer, tmp_path: Path) -> None:
    server = stub_server(StubResponse(200))
    path = tmp_path / "bad.json"
    path.write_text("{")
    assert run("config put", f"{path} --keeper {server.address}").exit_code == INVALID
    assert server.received == []


def test_put_without_an_answering_keeper_ends_with_unanswered(configuration_file: Path) -> None:
    silent = free_address()
    outcome = run("config put", f"{configuration_file} --keeper {silent} --if-match 6 --timeout 1")
    assert outcome.exit_code == UNANSWERED
    assert outcome.errors.startswith(f"{silent}: ")


def test_diff_of_equal_configurations_is_empty(
    stub_server: StartStubServer, configuration_file: Path
) -> None:
    server = stub_server(configuration_response(7))
    assert run("config diff", f"{configuration_file} --keeper {server.address}") == CommandResult(
        DONE, "", ""
    )


def test_diff_lists_the_differing_keys(stub_server: StartStubServer, configuration_file: Path) -> None:
    changed = json.loads(json.dumps(CONFIGURATION))
    changed["routes"][0]["timeoutMs"] = 5000
    changed["routes"].append({"name": "r-2"})
    server = stub_server(StubResponse(200, json.dumps(changed).encode()))
    outcome = run("config diff", f"{configuration_file} --keeper {server.address}")
    assert outcome == CommandResult(
        FAILED, '~ routes.r-1.timeoutMs: 5000 -> 3000\n- routes.r-2: {"name": "r-2"}\n', ""
    )


def test_lists_without_distinct_names_are_compared_as_one_value() -> None:
    (difference,) = find_differences({"a": [{"name": "x"}, {"name": "x"}]}, {"a": [{"name": "x"}]})
    assert difference.key == "a"


@pytest.mark.parametrize("arguments", ("", "--keeper nonsense", "--keeper 127.0.0.1:1 --timeout soon"))
def test_invalid_options_are_usage_errors(arguments: str) -> None:
    assert run("config get", arguments).exit_code == INVALID


# retire


def test_retire_sends_an_order(stub_server: StartStubServer) -> None:
    server = stub_server(StubResponse(200))
    assert run("retire", f"storage-1 --keeper {server.address} --duration 20").exit_code == DONE
    (received,) = server.received
    assert (received.method, received.path) == ("POST", "/api/retire/storage-1")
    assert json.loads(received.body) == {"durationS": 20}


def test_a_rejected_retire_order_is_reported(stub_server: StartStubServer) -> None:
    server = stub_server(StubResponse(409, b'{"error": "conflict", "detail": "too few would remain"}'))
    outcome = run("retire", f"storage-1 --keeper {server.address}")
    assert outcome == CommandResult(FAILED, "", f"{server.address}: status 409 too few would remain\n")


@pytest.mark.parametrize(("state", "exit_code"), (("active", FAILED), ("completed", DONE)))
def test_retire_status_sets_the_exit_code(stub_server: StartStubServer, state: str, exit_code: int) -> None:
    server = stub_server(StubResponse(200, json.dumps({"state": state}).encode()))
    outcome = run("retire", f"--status storage-1 --keeper {server.address} --json")
    assert outcome.document == {"node": "storage-1", "state": state}
    assert outcome.exit_code == exit_code
    assert server.received[0].method == "GET"


# batch


def page(total: int, *states: str) -> StubResponse:
    results = [{"instanceId": str(place), "state": state} for place, state in enumerate(states)]
    return StubResponse(200, json.dumps({"total": total, "results": results}).encode())


def test_batch_status_reads_all_pages(stub_server: StartStubServer) -> None:
    server = stub_server(page(4, "completed", "dead_lettered"), page(4, "completed"), page(4))
    outcome = run("batch status", f"j-1 --proxy {server.address} --host a.example")
    assert outcome == CommandResult(FAILED, "j-1: total 4, completed 2, deadLettered 1, open 1\n", "")
    assert [call.path for call in server.received] == [
        "/api/lots/j-1?pageCursor=0",
        "/api/lots/j-1?pageCursor=2",
        "/api/lots/j-1?pageCursor=3",
    ]
    assert server.received[0].headers["Host"] == "a.example"


def test_batch_status_of_a_finished_job_succeeds(stub_server: StartStubServer) -> None:
    server = stub_server(page(1, "completed"), page(1))
    outcome = run("batch status", f"j-1 --proxy {server.address} --host a.example --json")
    assert outcome.exit_code == DONE
    assert outcome.document == {"job": "j-1", "total": 1, "completed": 1, "deadLettered": 0, "open": 0}


def test_batch_status_of_an_unknown_job_fails(stub_server: StartStubServer) -> None:
    server = stub_server(StubResponse(404))
    assert run("batch status", f"j-1 --proxy {server.address} --host a.example").exit_code == FAILED


def test_batch_status_requires_the_host() -> None:
    assert run("batch status", "j-1 --proxy 127.0.0.1:1").errors == "--host: is required\n"


# status


def status_of(address: str, confirmed: bool, primary_address: str) -> StatusReply:
    return StatusReply(
        node_name="core-1" if confirmed else "core-2",
        epoch=4,
        confirmed=confirmed,
        primary="core-1",
        members=[Replica(member_id="m1", node_name="core-1", address=primary_address, zone="z1")],
        configuration_version=9,
        retire_orders=[RetireOrder(node_name="storage-1", completed=True)],
        brokers=BrokerList(
            brokers=[
                BrokerEntry(instance_id="i-1", service="s-1", address="10.0.0.9:80"),
                BrokerEntry(instance_id="i-2", service="s-1", address="10.0.0.8:80", draining=True),
            ]
        ),
        announcements=[
            Announcement(
                node_name="web-1", program="proxy", ip="10.0.0.5", zone="z1", configuration_version=9
            ),
            Announcement(
                node_name="core-1",
                program="keeper",
                ip="10.0.0.1",
                zone="z1",
                group_primary=True,
                group_epoch=4,
            ),
        ],
    )


def test_status_comes_from_the_primary(keeper: StartKeeper) -> None:
    primary = keeper(lambda address: Ok(status_of(address, True, address)))
    other = keeper(lambda address: Ok(status_of(address, False, primary)))
    outcome = run("status", f"--keeper {other}")
    assert outcome == CommandResult(
        DONE,
        "epoch 4, primary core-1 (confirmed), answered by core-1\n"
        "configuration version 9\n"
        "keepers: core-1\n"
        "initial stores: none\n"
        "retire storage-1: completed\n"
        "keeper core-1 10.0.0.1 z1: primary of epoch 4\n"
        "proxy web-1 10.0.0.5 z1: configuration 9\n"
        "brokers of s-1: 2, 1 draining\n",
        "",
    )


def test_status_without_a_primary_fails_but_is_printed(keeper: StartKeeper) -> None:
    other = keeper(lambda address: Ok(status_of(address, False, free_address())))
    outcome = run("status", f"--keeper {other} --json")
    assert outcome.exit_code == FAILED
    assert outcome.document["confirmed"] is False
    assert outcome.document["answeredBy"] == "core-2"
    assert outcome.document["brokers"][1]["draining"] is True


def test_status_without_an_answering_keeper_ends_with_unanswered(keeper: StartKeeper) -> None:
    unavailable = keeper(lambda _: Err(Failure(ErrorKind.UNAVAILABLE, "starting")))
    silent = free_address()
    outcome = run("status", f"--keeper {unavailable} --keeper {silent}")
    assert outcome.exit_code == UNANSWERED
    assert outcome.errors.startswith(f"{unavailable}: starting\n{silent}: ")


# storage


def write_replica(directory: Path) -> None:
    open_identity(directory, first_start=True, ip="10.0.0.1")
    storage = ReplicaStorage(directory)
    storage.recover()
    storage.write_hard_state(HardState(epoch=3, voted_for="first-10.0.0.1", commit_index=2))
    storage.append([Entry(1, 3, EntryKind.NOOP), Entry(2, 3, EntryKind.COMMAND, b"one")])
    storage.save_snapshot(Snapshot(2, 3, b"members", b"state"), [])
    storage.append([Entry(3, 3, EntryKind.COMMAND, b"two")])
    storage.append([Entry(4, 3, EntryKind.COMMAND, b"three")])
    storage.close()


def file_contents(directory: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in directory.iterdir()}


def last_segment(directory: Path) -> Path:
    return max(directory.glob("*.log"))


def test_an_intact_replica_directory_is_shown_and_verified(tmp_path: Path) -> None:
    directory = tmp_path / "keeper"
    write_replica(directory)
    before = file_contents(directory)
    document = run("storage inspect", f"{directory} --json").document
    segments = document.pop("segments")
    assert document.pop("snapshotBytes") > 0
    assert document == {
        "memberId": "first-10.0.0.1",
        "epoch": 3,
        "votedFor": "first-10.0.0.1",
        "committed": 2,
        "snapshotIndex": 2,
        "entries": 2,
        "lastIndex": 4,
        "tornBytes": 0,
    }
    assert [segment["file"] for segment in segments] == [last_segment(directory).name]
    assert run("storage verify", str(directory)).exit_code == DONE
    assert file_contents(directory) == before


def test_storage_with_a_torn_write_is_intact(tmp_path: Path) -> None:
    directory = tmp_path / "keeper"
    write_replica(directory)
    path = last_segment(directory)
    path.write_bytes(path.read_bytes() + b"CvF1\x00\x00")
    before = file_contents(directory)
    outcome = run("storage verify", f"{directory} --json")
    assert outcome.document == {"directory": str(directory), "whole": True, "tornBytes": 6}
    assert file_contents(directory) == before


def test_damaged_storage_is_reported_with_its_position(tmp_path: Path) -> None:
    directory = tmp_path / "keeper"
    write_replica(directory)
    path = last_segment(directory)
    data = bytearray(path.read_bytes())
    data[14] ^= 0xFF
    path.write_bytes(data)
    before = file_contents(directory)
    outcome = run("storage verify", str(directory))
    assert outcome.exit_code == FAILED
    assert "invalid frame at byte 0" in outcome.errors
    assert file_contents(directory) == before


def test_a_directory_without_a_replica_is_invalid(tmp_path: Path) -> None:
    assert run("storage inspect", str(tmp_path)).exit_code == INVALID


# Usage


@pytest.mark.parametrize(
    ("arguments", "exit_code"),
    (
        ("list", DONE),
        ("check settings", INVALID),
        ("check settings a b", INVALID),
        ("status --unknown", INVALID),
        ("launch", INVALID),
    ),
)
def test_exit_codes_of_usage_errors(arguments: str, exit_code: int) -> None:
    assert ApplicationTester(create_application()).execute(arguments) == exit_code


def test_importing_the_package_imports_no_third_party_library() -> None:
    """Daemons may import the package without loading the libraries of the command line."""
    code = "import sys, cherrycove.tier.cli; print('cleo' in sys.modules, 'aiohttp' in sys.modules)"
    ended = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert ended.stdout == "False False\n"
