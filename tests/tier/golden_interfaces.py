"""Exercises the tier's external interfaces: HTTP, the files that it reads, its commands and its log.

Like ``golden_support``, this module uses the current names of the code.
"""

from __future__ import annotations

import ast
import asyncio
import contextlib
import json
import os
import re
import secrets
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any
from unittest import mock

import attrs
import golden_inputs as inputs
import golden_support as support
from aiohttp import web
from cleo.testers.command_tester import CommandTester
from golden_stories import (
    InProcessCaller,
    SingleReplicaGroup,
    announcement,
    control_state,
    jobs_state,
    settings,
)
from google.protobuf.message import Message
from loopback_ports import free_address, free_ports
from result import Err, Ok, Result

from cherrycove.tier.batch.client.batch_client import BatchClient
from cherrycove.tier.batch.frontend.http_api import BatchApi
from cherrycove.tier.batch.store.service import BatchStoreService
from cherrycove.tier.cli import create_application
from cherrycove.tier.configuration import Configuration, parse_configuration
from cherrycove.tier.controlplane.broker_discovery import BrokerDiscoveryClient
from cherrycove.tier.controlplane.controller import Controller
from cherrycove.tier.dataplane import headers as header_module
from cherrycove.tier.dataplane.readiness import ReadinessServer
from cherrycove.tier.dataplane.responses import proxy_response
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.errors import ERROR_RESPONSES, ErrorKind, Failure
from cherrycove.tier.protocol.batch_methods import BODY
from cherrycove.tier.protocol.batch_pb2 import BodyRequest
from cherrycove.tier.protocol.calls import RpcMethod
from cherrycove.tier.protocol.control_methods import PULL
from cherrycove.tier.protocol.control_pb2 import PullRequest
from cherrycove.tier.protocol.controller_methods import STATUS
from cherrycove.tier.protocol.keeper_pb2 import StatusReply, StatusRequest
from cherrycove.tier.protocol.rpc import RpcClient, RpcServer
from cherrycove.tier.settings import CloudApi, Settings, parse_settings

# Renamed log events, and renamed log fields as EVENT.FIELD: former name to current name.
RENAMED_EVENTS: dict[str, str] = {
    "broker_entry_unreadable": "broker_entry_invalid",
    "broker_list_unread": "broker_list_read_failed",
    "keeper_step_failed": "controller_step_failed",
    "keeper_term_begun": "leadership_started",
    "keeper_term_paused": "leadership_stopped",
    "retire_order_waits": "retire_order_blocked",
    "settings_unusable": "settings_invalid",
}
RENAMED_FIELDS: dict[str, str] = {}

SOURCES = Path(__file__).resolve().parents[2] / "cherrycove" / "tier"
LOGGER = "_log"
LEVELS = ("debug", "info", "warning", "error", "exception", "critical")

# HTTP as sent on the connection


def _normalized(text: str, address: str = "") -> str:
    """Masks what depends on library versions, ports, the time or detail texts, and normalizes line ends."""
    text = re.sub(r"(?im)^(date|server|user-agent): .*?(?=\r?$)", r"\1: *", text)
    if address:
        text = text.replace(address, "HOST:PORT").replace(f":{address.rpartition(':')[2]}/", ":PORT/")
    return re.sub(r'(?s)("detail": ")[^"]*"', r'\1*"', text).replace("\r\n", "\n")


async def exchange(address: str, request: bytes) -> str:
    """Sends one request on a new connection and returns the normalized response."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request)
    answer = await reader.read()
    writer.close()
    return _normalized(answer.decode("latin-1"), address)


def request(line: str, headers: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    """Returns the bytes of a request with ``Connection: close``."""
    fields = {"Host": "batch.example", "Connection": "close", **(headers or {})}
    fields["Content-Length"] = str(len(body))
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{line} HTTP/1.1\r\n{head}\r\n".encode() + body


@asynccontextmanager
async def recording_server(*answers: bytes) -> AsyncIterator[tuple[str, list[bytes]]]:
    """Runs a server that sends these responses in turn; yields its address and the requests received."""
    requests: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: (\d+)", head)
        body = await reader.readexactly(int(length[1])) if length else b""
        requests.append(head + body)
        writer.write(answers[len(requests) - 1])
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    try:
        yield f"{host}:{port}", requests
    finally:
        server.close()


# Internal calls

ECHO = RpcMethod(
    "echo",
    support.message_class("cherrycove.batch.BodyRequest"),
    support.message_class("cherrycove.batch.BodyReply"),
)


async def _fail_as_requested(message: Any) -> Result[Message, Failure]:
    """Returns the failure that the request names, or a reply if it names none."""
    fields = support.plain(message)
    if "item_id" in fields:
        return Err(Failure(ErrorKind(fields["item_id"]), "why", "10.1.0.2:7700"))
    return Ok(support.build("cherrycove.batch.BodyReply", {"body": fields.get("job_id", "")}))


def _body_request(job_id: str, item_id: str = "") -> bytes:
    return support.encode("cherrycove.batch.BodyRequest", {"job_id": job_id, "item_id": item_id})


async def served_calls() -> list[list[str]]:
    """Returns the responses of a server to calls."""
    server, address = RpcServer(), free_address()
    server.set_member_id_source(lambda: "disk-a")
    server.register(ECHO, _fail_as_requested)
    await server.start(address)
    call = {"X-Call": "0123456789ab.7"}
    mine, other = {**call, "X-Receiver": "disk-a"}, {**call, "X-Receiver": "disk-b"}
    received = {
        "a call": request("POST /rpc/echo", mine, _body_request("job")),
        "for whoever is there": request("POST /rpc/echo", call, _body_request("job")),
        "for another member": request("POST /rpc/echo", other, _body_request("job")),
        "of an unknown name": request("POST /rpc/other", call),
        "with a broken body": request("POST /rpc/echo", call, b"\xff"),
        **{
            f"that fails as {kind.value}": request("POST /rpc/echo", call, _body_request("job", kind.value))
            for kind in ErrorKind
        },
    }
    try:
        return [[name, _without_error_text(await exchange(address, sent))] for name, sent in received.items()]
    finally:
        await server.stop()


def _without_error_text(answer: str) -> str:
    """Removes the human-readable error message and its length from a response."""
    head, _, body = answer.partition("\n\n")
    head = re.sub(r"(?i)content-length: \d+", "Content-Length: *", head)
    return f"{head}\n\n{body if head.startswith('HTTP/1.1 2') else '*'}"


async def sent_calls() -> dict[str, Any]:
    """Returns a call as a client sends it, and how the client interprets each response."""
    answers = {
        "reply": b"HTTP/1.1 200 OK\r\nX-Call: 0123456789ab.1\r\nX-Receiver: disk-b\r\n"
        b"Content-Length: 5\r\n\r\n\x0a\x03job",
        "failure": b"HTTP/1.1 503 Service Unavailable\r\nX-Call: 0123456789ab.1\r\nX-Receiver: disk-b\r\n"
        b"X-Error-Kind: not_primary\r\nX-Primary: 10.1.0.2:7700\r\nContent-Length: 3\r\n\r\nwhy",
        "unknown kind": b"HTTP/1.1 503 Service Unavailable\r\nX-Call: 0123456789ab.1\r\n"
        b"X-Receiver: disk-b\r\nX-Error-Kind: later\r\nContent-Length: 3\r\n\r\nwhy",
        "another call's": b"HTTP/1.1 200 OK\r\nX-Call: 0123456789ab.2\r\nX-Receiver: disk-b\r\n"
        b"Content-Length: 0\r\n\r\n",
    }
    return {name: await _sent_call(answer) for name, answer in answers.items()}


async def _sent_call(answer: bytes) -> list[Any]:
    async with recording_server(answer) as (address, requests):
        with mock.patch.object(secrets, "token_hex", return_value="0123456789ab"):
            client = RpcClient()
        await client.start()
        message = support.build_as(BodyRequest, {"job_id": "job", "item_id": "item"})
        outcome = await client.call(address, BODY, message, 5.0, "disk-b")
        await client.stop()
    sent = [_normalized(one.decode("latin-1"), address) for one in requests]
    if isinstance(outcome, Ok):
        return [sent, support.plain(outcome.ok_value)]
    return [sent, [outcome.err_value.kind.value, outcome.err_value.primary]]


def error_kinds() -> list[list[Any]]:
    """Returns each error kind with the HTTP status and retry delay (s) of its response."""
    return [
        [kind.value, ERROR_RESPONSES[kind].status, ERROR_RESPONSES[kind].retry_after_s] for kind in ErrorKind
    ]


# The interfaces of operators, clients and the platform


async def operator() -> dict[str, Any]:
    """Returns the responses of a primary and of a non-primary keeper, and the commands committed."""
    group = SingleReplicaGroup(control_state())
    leading = await _operator(group)
    return {
        "leading": leading,
        "committed": [command.hex() for command in group.proposed],
        "not leading": await _operator(SingleReplicaGroup(control_state(), is_primary=False)),
    }


async def _operator(group: SingleReplicaGroup) -> list[list[str]]:
    rpc, address = InProcessCaller(), free_address()
    keeper = Controller(settings(), group, group.state, rpc, rpc)
    if group.is_confirmed_primary():
        for number in (1, 4):
            announced = {**support.plain(announcement("store", number)), "node_name": f"core-{number}"}
            pull = support.build_as(PullRequest, {"announcement": announced})
            await rpc.call("", PULL, pull, 1.0)
    await keeper.operator_api.start(address)
    loop = asyncio.get_running_loop()
    now = loop.time()
    try:
        with mock.patch.object(loop, "time", return_value=now):  # responses may depend on the term's age
            return [
                [
                    line,
                    *headers.values(),
                    _without_content_length(await exchange(address, request(line, headers, body.encode()))),
                ]
                for line, headers, body in inputs.OPERATOR_REQUESTS
            ]
    finally:
        await keeper.operator_api.stop()


def _without_content_length(answer: str) -> str:
    """Removes the content length, which depends on the human-readable message, from a response."""
    return re.sub(r"(?i)content-length: \d+", "Content-Length: *", answer)


async def clients() -> list[list[str]]:
    """Returns the responses to clients' requests about batch jobs."""
    state, rpc, address = jobs_state(), InProcessCaller(), free_address()
    BatchStoreService(settings(), SingleReplicaGroup(state), state, rpc)
    configuration = parse_configuration(inputs.COMPLETE_CONFIGURATION.encode()).unwrap()
    views = ClusterView(configuration=configuration, members=(announcement("store", 1),))
    api = BatchApi(BatchClient(rpc, views, settings()), views)

    async def handle(received: web.BaseRequest) -> web.StreamResponse:
        route = configuration.match(received.headers["Host"], received.path)
        return await api.handle(received, await received.read(), route)

    async with _served(web.Server(handle, access_log=None), address):
        answers = []
        for line, headers, body in inputs.CLIENT_REQUESTS:
            answer = await exchange(address, request(line, headers, body.encode()))
            answers.append([line, _without_error_text(answer)])
        return answers


@asynccontextmanager
async def _served(server: web.Server, address: str) -> AsyncIterator[None]:
    runner = web.ServerRunner(server)
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    try:
        yield
    finally:
        await runner.cleanup()


async def readiness() -> list[str]:
    """Returns the readiness responses of a ready and an unready proxy, and the one for an unknown path."""
    ready, address = [True], free_address()
    server = ReadinessServer(address, lambda: ready[0], lambda: b"{}")
    await server.start()
    answers = [await exchange(address, request("GET /api/readiness"))]
    ready[0] = False
    answers.append(await exchange(address, request("GET /api/readiness")))
    answers.append(await exchange(address, request("GET /other")))
    await server.stop()
    return answers


async def platform_list() -> dict[str, Any]:
    """Returns the requests for the pages of the platform's broker list, and the brokers parsed from it."""
    async with recording_server(*[_page(text) for text in inputs.PLATFORM_PAGES]) as (address, requests):
        reader = BrokerDiscoveryClient(settings(cloud_api=CloudApi(address=address)))
        await reader.start()
        found = await reader.read()
        await reader.stop()
    sent = [_normalized(one.decode("latin-1"), address) for one in requests]
    return {"requests": sent, "brokers": [support.plain(one) for one in found.unwrap().brokers]}


def _page(text: str) -> bytes:
    head = f"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {len(text)}\r\n\r\n"
    return (head + text).encode()


def proxy_responses() -> list[list[Any]]:
    """Returns status, header fields and body of responses that a proxy generates itself."""
    answers = [
        proxy_response(404, "no route", "", close=False),
        proxy_response(503, "later", "id-1", close=False, retry_after_s=0.5),
    ]
    return [
        [one.status, dict(one.headers), bytes(one.body or b"").decode()]  # type: ignore[arg-type]  # bodies are bytes
        for one in answers
    ]


def header_fields() -> list[str]:
    """Returns every header field and media type that the data plane defines, sorted."""
    return sorted(
        value for name, value in vars(header_module).items() if name.isupper() and isinstance(value, str)
    )


def http() -> dict[str, Any]:
    """Returns all HTTP exchanges by interface."""

    async def run_all() -> dict[str, Any]:
        parts: dict[str, Callable[[], Awaitable[Any]]] = {
            "served calls": served_calls,
            "sent calls": sent_calls,
            "operator": operator,
            "clients": clients,
            "readiness": readiness,
            "platform": platform_list,
        }
        return {name: await part() for name, part in parts.items()}

    return {
        **asyncio.run(run_all()),
        "own answers": proxy_responses(),
        "header fields": header_fields(),
        "error kinds": error_kinds(),
    }


# Files that the tier reads


def values(value: Any) -> Any:
    """Returns the values of settings or of a configuration without their attribute names."""
    if attrs.has(type(value)):
        return [values(getattr(value, field.name)) for field in attrs.fields(type(value)) if field.init]
    if isinstance(value, list):
        return [values(one) for one in value]
    return str(value) if value == float("inf") else value


def read_settings(text: str) -> Any:
    """Returns the values parsed from a settings file."""
    found: Settings = parse_settings(text)
    return values(found)


def read_configuration(text: str) -> Any:
    """Returns the values parsed from a configuration."""
    found: Configuration = parse_configuration(text.encode()).unwrap()
    return values(found)


# Commands


def command_line() -> list[str]:
    """Returns one line per command, with its arguments and its own options."""
    lines = []
    for name, command in sorted(create_application().all().items()):
        arguments = [one.name.upper() for one in command.definition.arguments]
        lines.append(
            " ".join([name, *arguments, *sorted(f"--{one.name}" for one in command.definition.options)])
        )
    return lines


def run_command(name: str, arguments: str) -> list[Any]:
    """Returns the exit code and the JSON output of one command."""
    tester = CommandTester(create_application().find(name))
    exit_code = tester.execute(f"{arguments.replace('DATA', str(support.DATA))} --json")
    document = json.loads(tester.io.fetch_output().replace(str(support.DATA), "DATA"))
    return [exit_code, "errors" if "errors" in document else document]


def run_status(reply: dict[str, Any]) -> list[Any]:
    """Returns the exit code and the JSON output of ``status`` for a keeper that sends this reply."""

    async def run_all() -> list[Any]:
        server, address = RpcServer(), free_address()

        async def answer(request: StatusRequest) -> Result[StatusReply, Failure]:
            return Ok(support.build_as(StatusReply, reply))

        server.register(STATUS, answer)
        await server.start(address)
        try:
            return await asyncio.to_thread(run_command, "status", f"--keeper {address}")
        finally:
            await server.stop()

    return asyncio.run(run_all())


def commands(data: Path) -> list[list[Any]]:
    """Runs commands on the files in ``data`` and on a keeper; returns their exit codes and JSON output."""
    (reply,) = support.samples(support.descriptor_of(StatusReply))
    with mock.patch.object(support, "DATA", data):
        results = [
            [name, arguments, *run_command(name, arguments)] for name, arguments in inputs.COMMAND_LINES
        ]
    results.append(["status", "confirmed", *run_status(reply)])
    results.append(["status", "not confirmed", *run_status({"node_name": "core-1"})])
    return results


def run_program(program: str, variables: dict[str, str]) -> int:
    """Returns the exit code of a program that cannot start."""
    environment = {key: value for key, value in os.environ.items() if key != "CHERRYCOVE_CONFIG"}
    command = [sys.executable, "-m", "cherrycove.tier", program]
    completed = subprocess.run(
        command, env={**environment, **variables}, cwd=SOURCES.parents[1], capture_output=True, timeout=30
    )
    return completed.returncode


class FakeKeeper:
    """Responds to every call as a non-primary keeper, and records the first call of each program."""

    def __init__(self) -> None:
        self.first_calls: dict[str, list[Any]] = {}  # request line and announcement, by program
        self.call_received = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(re.findall(r"(?m)^([\w-]+): (.*)\r$", head))
                self._record_call(head, await reader.readexactly(int(fields["Content-Length"])))
                call = f"X-Call: {fields['X-Call']}\r\nX-Error-Kind: not_primary\r\nContent-Length: 0\r\n\r\n"
                writer.write(f"HTTP/1.1 503 Service Unavailable\r\n{call}".encode())
        writer.close()

    def _record_call(self, head: str, body: bytes) -> None:
        pull = support.decode("cherrycove.control.PullRequest", body)
        announced = pull["announcement"]
        announced["incarnation"] = re.sub("^[0-9a-f]{12}$", "*", announced["incarnation"])
        self.first_calls.setdefault(announced["program"], [head.partition("\r\n")[0], pull])
        self.call_received.set()


async def programs(directory: Path) -> dict[str, Any]:
    """Runs each program as a process until it announces itself.

    Returns its first call, the files that it created, its exit code and parts of its log.
    """
    hosts = ["127.0.0.1", "127.0.0.2"]
    internal, others = free_ports(2, hosts, following=9)
    fake_keeper = FakeKeeper()
    server = await asyncio.start_server(fake_keeper.serve, hosts[1], internal)
    running = {}
    for name in inputs.PROGRAMS:
        path = directory / f"{name}.yaml"
        path.write_text(inputs.program_settings(name, internal, others, directory / name), encoding="utf-8")
        environment = {**os.environ, "CHERRYCOVE_CONFIG": str(path)}
        command = [sys.executable, "-m", "cherrycove.tier", name]
        running[name] = await asyncio.create_subprocess_exec(
            *command, env=environment, cwd=SOURCES.parents[1], stdout=asyncio.subprocess.PIPE
        )
    try:
        async with asyncio.timeout(30):
            while len(fake_keeper.first_calls) < len(running):
                fake_keeper.call_received.clear()
                await fake_keeper.call_received.wait()
            return {name: await _stop(name, one, fake_keeper, directory) for name, one in running.items()}
    finally:
        server.close()
        for one in running.values():
            if one.returncode is None:
                one.kill()


async def _stop(
    name: str, process: asyncio.subprocess.Process, fake_keeper: FakeKeeper, directory: Path
) -> dict[str, Any]:
    process.terminate()
    output, _ = await process.communicate()
    lines = [json.loads(line) for line in output.splitlines()]
    return {
        "said": fake_keeper.first_calls[name],
        "files": sorted(str(path.relative_to(directory / name)) for path in (directory / name).rglob("*")),
        "exit code": process.returncode,
        "log begins": [list(lines[0])[:5], lines[0]["program"], lines[0]["node"]],
        "log ends": [line["event"] for line in lines if line["event"].startswith("process")],
    }


# Events of the log


def events() -> list[str]:
    """Returns a line for each log event in the sources, with its level and the names of its fields."""
    lines = set()
    for path in sorted(SOURCES.rglob("*.py")):
        module = ast.parse(path.read_text(encoding="utf-8"), str(path))
        for function, call in _log_calls(module):
            assert isinstance(call.func, ast.Attribute)  # a method of ``log``
            fields = _field_names(function, call)
            for name in _event_names(module, call.args[0]):
                lines.add(_event_line(name, call.func.attr, fields))
    return sorted(lines)


def _event_line(present: str, level: str, fields: list[str]) -> str:
    former = {new: old for old, new in RENAMED_EVENTS.items()}
    event = former.get(present, present)
    renamed = {
        new: old.rpartition(".")[2] for old, new in RENAMED_FIELDS.items() if old.startswith(f"{event}.")
    }
    return " ".join([event, level, *sorted(renamed.get(one, one) for one in fields)])


def _log_calls(module: ast.Module) -> Iterator[tuple[ast.AST, ast.Call]]:
    functions = [one for one in ast.walk(module) if isinstance(one, ast.FunctionDef | ast.AsyncFunctionDef)]
    for function in functions:
        for node in ast.walk(function):
            if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)):
                continue
            owner = node.func.value
            if isinstance(owner, ast.Name) and owner.id == LOGGER and node.func.attr in LEVELS:
                yield function, node


def _event_names(module: ast.Module, event: ast.expr) -> list[str]:
    if isinstance(event, ast.Constant):
        return [str(event.value)]
    if not (isinstance(event, ast.Call) and isinstance(event.func, ast.Name)):
        return []
    return [
        str(node.value.value)
        for function in module.body
        if isinstance(function, ast.FunctionDef) and function.name == event.func.id
        for node in ast.walk(function)
        if isinstance(node, ast.Return) and isinstance(node.value, ast.Constant)
    ]


def _field_names(function: ast.AST, call: ast.Call) -> list[str]:
    """Returns the keys of ``extra``, which is a literal in the call or a variable of the function."""
    extra = next((one.value for one in call.keywords if one.arg == "extra"), None)
    if isinstance(extra, ast.Name):
        extra = next(
            node.value
            for node in ast.walk(function)
            if isinstance(node, ast.Assign)
            and isinstance(node.targets[0], ast.Name)
            and node.targets[0].id == extra.id
        )
    if extra is None:
        return []
    assert isinstance(extra, ast.Dict), ast.dump(extra)
    return [str(key.value) for key in extra.keys if isinstance(key, ast.Constant)]
