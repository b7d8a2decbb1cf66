"""What others see of the tier: its HTTP interfaces, the files that it reads, its commands and its log.

Like ``golden_support`` this module uses the code under the names that it has now.
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
from golden_stories import OneReplica, Wire, announcement, control_state, jobs_state, settings
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

# Names of log events, and EVENT.FIELD, that are called otherwise now.
RENAMED_EVENTS: dict[str, str] = {
    "broker_entry_unreadable": "broker_entry_invalid",
    "broker_list_unread": "broker_list_read_failed",
    "keeper_step_failed": "controller_step_failed",
    "keeper_term_begun": "leadership_started",
    "keeper_term_paused": "leadership_stopped",
    "retire_order_waits": "retire_order_blocked",
    "settings_unusable": "settings_invalid",
}
RENAMED_DETAILS: dict[str, str] = {}

SOURCES = Path(__file__).resolve().parents[2] / "cherrycove" / "tier"
LOGGER = "_log"
LEVELS = ("debug", "info", "warning", "error", "exception", "critical")

# HTTP, as it stands on the connection


def _normal(text: str, address: str = "") -> str:
    """Without what another library version, another port or another second would change."""
    text = re.sub(r"(?im)^(date|server|user-agent): .*?(?=\r?$)", r"\1: *", text)
    if address:
        text = text.replace(address, "HOST:PORT").replace(f":{address.rpartition(':')[2]}/", ":PORT/")
    return re.sub(r'(?s)("detail": ")[^"]*"', r'\1*"', text).replace("\r\n", "\n")


async def ask(address: str, request: bytes) -> str:
    """The answer to one request on a connection of its own."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request)
    answer = await reader.read()
    writer.close()
    return _normal(answer.decode("latin-1"), address)


def request(line: str, headers: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    """The bytes of a request that ends its connection."""
    fields = {"Host": "batch.example", "Connection": "close", **(headers or {})}
    fields["Content-Length"] = str(len(body))
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{line} HTTP/1.1\r\n{head}\r\n".encode() + body


@asynccontextmanager
async def recorder(*answers: bytes) -> AsyncIterator[tuple[str, list[bytes]]]:
    """A server that gives these answers in turn; its address, and the requests."""
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


async def _fail_as_told(message: Any) -> Result[Message, Failure]:
    """Answers with the failure that the request names, else with a reply."""
    fields = support.plain(message)
    if "item_id" in fields:
        return Err(Failure(ErrorKind(fields["item_id"]), "why", "10.1.0.2:7700"))
    return Ok(support.build("cherrycove.batch.BodyReply", {"body": fields.get("job_id", "")}))


def _body_request(job_id: str, item_id: str = "") -> bytes:
    return support.encode("cherrycove.batch.BodyRequest", {"job_id": job_id, "item_id": item_id})


async def served_calls() -> list[list[str]]:
    """Calls as they come to a server, and its answers."""
    server, address = RpcServer(), free_address()
    server.set_member_id_source(lambda: "disk-a")
    server.register(ECHO, _fail_as_told)
    await server.start(address)
    call = {"X-Call": "0123456789ab.7"}
    mine, other = {**call, "X-Receiver": "disk-a"}, {**call, "X-Receiver": "disk-b"}
    asked = {
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
        return [[name, _shown_answer(await ask(address, sent))] for name, sent in asked.items()]
    finally:
        await server.stop()


def _shown_answer(answer: str) -> str:
    """An answer without the sentence for people in its body."""
    head, _, body = answer.partition("\n\n")
    head = re.sub(r"(?i)content-length: \d+", "Content-Length: *", head)
    return f"{head}\n\n{body if head.startswith('HTTP/1.1 2') else '*'}"


async def sent_calls() -> dict[str, Any]:
    """A call as a client sends it, and what the client makes of answers."""
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
    async with recorder(answer) as (address, requests):
        with mock.patch.object(secrets, "token_hex", return_value="0123456789ab"):
            client = RpcClient()
        await client.start()
        message = support.build_as(BodyRequest, {"job_id": "job", "item_id": "item"})
        outcome = await client.call(address, BODY, message, 5.0, "disk-b")
        await client.stop()
    sent = [_normal(one.decode("latin-1"), address) for one in requests]
    if isinstance(outcome, Ok):
        return [sent, support.plain(outcome.ok_value)]
    return [sent, [outcome.err_value.kind.value, outcome.err_value.primary]]


def error_kinds() -> list[list[Any]]:
    """Every kind of error with the status and the advised pause of its answer."""
    return [
        [kind.value, ERROR_RESPONSES[kind].status, ERROR_RESPONSES[kind].retry_after_s] for kind in ErrorKind
    ]


# The interfaces of operators, clients and the platform


async def operator() -> dict[str, Any]:
    """What an operator asks of a keeper that leads and of one that does not, and what was committed."""
    group = OneReplica(control_state())
    leading = await _operator(group)
    return {
        "leading": leading,
        "committed": [command.hex() for command in group.proposed],
        "not leading": await _operator(OneReplica(control_state(), leads=False)),
    }


async def _operator(group: OneReplica) -> list[list[str]]:
    wire, address = Wire(), free_address()
    keeper = Controller(settings(), group, group.state, wire, wire)
    if group.is_confirmed_primary():
        for number in (1, 4):
            announced = {**support.plain(announcement("store", number)), "node_name": f"core-{number}"}
            pull = support.build_as(PullRequest, {"announcement": announced})
            await wire.call("", PULL, pull, 1.0)
    await keeper.operator_api.start(address)
    loop = asyncio.get_running_loop()
    now = loop.time()
    try:
        with mock.patch.object(loop, "time", return_value=now):  # some answers depend on the age of the term
            return [
                [
                    line,
                    *headers.values(),
                    _shown_json(await ask(address, request(line, headers, body.encode()))),
                ]
                for line, headers, body in inputs.OPERATOR_REQUESTS
            ]
    finally:
        await keeper.operator_api.stop()


def _shown_json(answer: str) -> str:
    """An answer without the sentence for people in it."""
    return re.sub(r"(?i)content-length: \d+", "Content-Length: *", answer)


async def clients() -> list[list[str]]:
    """What clients ask about batch jobs."""
    state, wire, address = jobs_state(), Wire(), free_address()
    BatchStoreService(settings(), OneReplica(state), state, wire)
    configuration = parse_configuration(inputs.COMPLETE_CONFIGURATION.encode()).unwrap()
    views = ClusterView(configuration=configuration, members=(announcement("store", 1),))
    api = BatchApi(BatchClient(wire, views, settings()), views)

    async def handle(asked: web.BaseRequest) -> web.StreamResponse:
        route = configuration.match(asked.headers["Host"], asked.path)
        return await api.handle(asked, await asked.read(), route)

    async with _served(web.Server(handle, access_log=None), address):
        answers = []
        for line, headers, body in inputs.CLIENT_REQUESTS:
            answer = await ask(address, request(line, headers, body.encode()))
            answers.append([line, _shown_answer(answer)])
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
    """What the platform asks a proxy: while it is ready, while it is not, and elsewhere."""
    ready, address = [True], free_address()
    server = ReadinessServer(address, lambda: ready[0], lambda: b"{}")
    await server.start()
    answers = [await ask(address, request("GET /api/readiness"))]
    ready[0] = False
    answers.append(await ask(address, request("GET /api/readiness")))
    answers.append(await ask(address, request("GET /other")))
    await server.stop()
    return answers


async def platform_list() -> dict[str, Any]:
    """How the platform's list of brokers is asked for, page by page, and read."""
    async with recorder(*[_page(text) for text in inputs.PLATFORM_PAGES]) as (address, requests):
        reader = BrokerDiscoveryClient(settings(cloud_api=CloudApi(address=address)))
        await reader.start()
        found = await reader.read()
        await reader.stop()
    sent = [_normal(one.decode("latin-1"), address) for one in requests]
    return {"requests": sent, "brokers": [support.plain(one) for one in found.unwrap().brokers]}


def _page(text: str) -> bytes:
    head = f"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {len(text)}\r\n\r\n"
    return (head + text).encode()


def own_answers() -> list[list[Any]]:
    """Status and fields of answers that a proxy gives of its own."""
    answers = [
        proxy_response(404, "no route", "", close=False),
        proxy_response(503, "later", "id-1", close=False, retry_after_s=0.5),
    ]
    return [
        [one.status, dict(one.headers), bytes(one.body or b"").decode()]  # type: ignore[arg-type]  # bodies are bytes
        for one in answers
    ]


def header_fields() -> list[str]:
    """Every header field and media type that the data plane names."""
    return sorted(
        value for name, value in vars(header_module).items() if name.isupper() and isinstance(value, str)
    )


def http() -> dict[str, Any]:
    """All exchanges over HTTP."""

    async def play() -> dict[str, Any]:
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
        **asyncio.run(play()),
        "own answers": own_answers(),
        "header fields": header_fields(),
        "error kinds": error_kinds(),
    }


# Files that the tier reads


def values(thing: Any) -> Any:
    """The values of settings or of a configuration, without the names that the code has for them."""
    if attrs.has(type(thing)):
        return [values(getattr(thing, field.name)) for field in attrs.fields(type(thing)) if field.init]
    if isinstance(thing, list):
        return [values(one) for one in thing]
    return str(thing) if thing == float("inf") else thing


def read_settings(text: str) -> Any:
    """The values that a settings file gives."""
    found: Settings = parse_settings(text)
    return values(found)


def read_configuration(text: str) -> Any:
    """The values that a configuration gives."""
    found: Configuration = parse_configuration(text.encode()).unwrap()
    return values(found)


# Commands


def command_line() -> list[str]:
    """Every command with its arguments and its own options."""
    lines = []
    for name, command in sorted(create_application().all().items()):
        arguments = [one.name.upper() for one in command.definition.arguments]
        lines.append(
            " ".join([name, *arguments, *sorted(f"--{one.name}" for one in command.definition.options)])
        )
    return lines


def run_command(name: str, arguments: str) -> list[Any]:
    """Exit code and JSON document of one command."""
    tester = CommandTester(create_application().find(name))
    exit_code = tester.execute(f"{arguments.replace('DATA', str(support.DATA))} --json")
    document = json.loads(tester.io.fetch_output().replace(str(support.DATA), "DATA"))
    return [exit_code, "errors" if "errors" in document else document]


def run_status(reply: dict[str, Any]) -> list[Any]:
    """Exit code and JSON document of ``status``, of a keeper that gives this reply."""

    async def play() -> list[Any]:
        server, address = RpcServer(), free_address()

        async def answer(request: StatusRequest) -> Result[StatusReply, Failure]:
            return Ok(support.build_as(StatusReply, reply))

        server.register(STATUS, answer)
        await server.start(address)
        try:
            return await asyncio.to_thread(run_command, "status", f"--keeper {address}")
        finally:
            await server.stop()

    return asyncio.run(play())


def commands(data: Path) -> list[list[Any]]:
    """Commands about the files in ``data`` and about a keeper, with exit codes and documents."""
    (reply,) = support.samples(support.descriptor_of(StatusReply))
    with mock.patch.object(support, "DATA", data):
        ran = [[name, arguments, *run_command(name, arguments)] for name, arguments in inputs.RUN]
    ran.append(["status", "confirmed", *run_status(reply)])
    ran.append(["status", "not confirmed", *run_status({"node_name": "core-1"})])
    return ran


def run_program(program: str, variables: dict[str, str]) -> int:
    """The exit code of a program that cannot start."""
    environment = {key: value for key, value in os.environ.items() if key != "CHERRYCOVE_CONFIG"}
    words = [sys.executable, "-m", "cherrycove.tier", program]
    ended = subprocess.run(
        words, env={**environment, **variables}, cwd=SOURCES.parents[1], capture_output=True, timeout=30
    )
    return ended.returncode


class StandIn:
    """Answers every call as a keeper that does not lead, and keeps what each process said first."""

    def __init__(self) -> None:
        self.first: dict[str, list[Any]] = {}  # request line and announcement, by program
        self.heard = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(re.findall(r"(?m)^([\w-]+): (.*)\r$", head))
                self._hear(head, await reader.readexactly(int(fields["Content-Length"])))
                call = f"X-Call: {fields['X-Call']}\r\nX-Error-Kind: not_primary\r\nContent-Length: 0\r\n\r\n"
                writer.write(f"HTTP/1.1 503 Service Unavailable\r\n{call}".encode())
        writer.close()

    def _hear(self, head: str, body: bytes) -> None:
        pull = support.decode("cherrycove.control.PullRequest", body)
        announced = pull["announcement"]
        announced["incarnation"] = re.sub("^[0-9a-f]{12}$", "*", announced["incarnation"])
        self.first.setdefault(announced["program"], [head.partition("\r\n")[0], pull])
        self.heard.set()


async def programs(directory: Path) -> dict[str, Any]:
    """Each program runs as a process until it has announced itself; what it said, its files, its end."""
    hosts = ["127.0.0.1", "127.0.0.2"]
    internal, others = free_ports(2, hosts, following=9)
    stand_in = StandIn()
    server = await asyncio.start_server(stand_in.serve, hosts[1], internal)
    running = {}
    for name in inputs.PROGRAMS:
        path = directory / f"{name}.yaml"
        path.write_text(inputs.program_settings(name, internal, others, directory / name), encoding="utf-8")
        environment = {**os.environ, "CHERRYCOVE_CONFIG": str(path)}
        words = [sys.executable, "-m", "cherrycove.tier", name]
        running[name] = await asyncio.create_subprocess_exec(
            *words, env=environment, cwd=SOURCES.parents[1], stdout=asyncio.subprocess.PIPE
        )
    try:
        async with asyncio.timeout(30):
            while len(stand_in.first) < len(running):
                stand_in.heard.clear()
                await stand_in.heard.wait()
            return {name: await _ended(name, one, stand_in, directory) for name, one in running.items()}
    finally:
        server.close()
        for one in running.values():
            if one.returncode is None:
                one.kill()


async def _ended(
    name: str, process: asyncio.subprocess.Process, stand_in: StandIn, directory: Path
) -> dict[str, Any]:
    process.terminate()
    output, _ = await process.communicate()
    lines = [json.loads(line) for line in output.splitlines()]
    return {
        "said": stand_in.first[name],
        "files": sorted(str(path.relative_to(directory / name)) for path in (directory / name).rglob("*")),
        "exit code": process.returncode,
        "log begins": [list(lines[0])[:5], lines[0]["program"], lines[0]["node"]],
        "log ends": [line["event"] for line in lines if line["event"].startswith("process")],
    }


# Events of the log


def events() -> list[str]:
    """A line for each event with its level and the names of its details, as the sources have them."""
    lines = set()
    for path in sorted(SOURCES.rglob("*.py")):
        module = ast.parse(path.read_text(encoding="utf-8"), str(path))
        for function, call in _log_calls(module):
            assert isinstance(call.func, ast.Attribute)  # a method of ``log``
            details = _details(function, call)
            for name in _event_names(module, call.args[0]):
                lines.add(_event_line(name, call.func.attr, details))
    return sorted(lines)


def _event_line(present: str, level: str, details: list[str]) -> str:
    former = {new: old for old, new in RENAMED_EVENTS.items()}
    event = former.get(present, present)
    renamed = {
        new: old.rpartition(".")[2] for old, new in RENAMED_DETAILS.items() if old.startswith(f"{event}.")
    }
    return " ".join([event, level, *sorted(renamed.get(one, one) for one in details)])


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


def _details(function: ast.AST, call: ast.Call) -> list[str]:
    """The keys of ``extra``, which stands in the call or in a variable of the function."""
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
