"""The lifecycle of a daemon: signals during its start, and a proxy that reloads its settings."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Iterator
from types import SimpleNamespace

import attrs
import pytest
from dataplane_harness import TIMEOUT_S, Client, configuration_bytes, free_address, listed_broker
from test_dataplane_exchanges import events

from cherrycove.tier import __main__ as command
from cherrycove.tier.configuration import parse_configuration
from cherrycove.tier.programs import process
from cherrycove.tier.programs.proxy import ProxyProgram
from cherrycove.tier.settings import Bounds, ListenAddresses, ProcessLimits, Settings
from examples.toy_broker import Received, ToyBroker, Wire

GRACE_S = 1.0


@pytest.fixture(autouse=True)
def restore_signal_handlers() -> Iterator[None]:
    numbers = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
    before = {number: signal.getsignal(number) for number in numbers}
    yield
    for number, handler in before.items():
        signal.signal(number, handler)


def settings() -> Settings:
    return Settings(
        node_name="f-1", machine_class="frontend", ip_address="127.0.0.1", zone="z", region="r",
        internal_port_range=[7000, 7010], limits=ProcessLimits(file_descriptors=4096),
        bounds=Bounds(grace_period_s=GRACE_S),
        listen_addresses=ListenAddresses(frontend=free_address(), readiness=free_address()),
    )  # fmt: skip


def test_sighup_does_not_terminate_a_starting_daemon(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    seen: list[object] = []

    def run_daemon(name: str) -> int:
        seen.append(signal.getsignal(signal.SIGHUP))
        return 0

    daemons = SimpleNamespace(run_daemon=run_daemon)
    monkeypatch.setitem(sys.modules, "cherrycove.tier.programs.process", daemons)
    monkeypatch.setattr(sys, "argv", ["cherrycove.tier", "proxy"])
    assert command.main() == 0
    assert seen == [signal.SIG_IGN]


@pytest.mark.parametrize(
    ("name", "module"),
    [("proxy", "proxy"), ("controller", "controller"), ("keeper", "controller"), ("store", "store")],
)
def test_each_daemon_name_of_this_and_of_earlier_releases_runs_its_program(
    monkeypatch: pytest.MonkeyPatch, name: str, module: str
) -> None:
    assembled: list[str] = []

    def assemble(own: Settings) -> RecordingProgram:
        assembled.append(name)
        return RecordingProgram()

    programs = SimpleNamespace(assemble=assemble)
    monkeypatch.setitem(sys.modules, f"cherrycove.tier.programs.{module}", programs)
    monkeypatch.setattr(process, "load_settings", settings)
    monkeypatch.setattr(process, "_configure_log", lambda name, settings: None)
    monkeypatch.setattr(sys, "argv", ["cherrycove.tier", name])
    assert command.main() == 0
    assert assembled == [name]


@attrs.define
class RecordingProgram:
    """Records its calls, and sends itself SIGTERM as soon as it has started."""

    calls: list[str] = attrs.field(factory=list)

    async def start(self) -> None:
        self.calls.append("start")
        os.kill(os.getpid(), signal.SIGTERM)

    async def stop(self) -> None:
        self.calls.append("stop")

    def reload(self, settings: Settings) -> None:
        self.calls.append("reload")


@pytest.mark.parametrize(("early", "calls"), [
    ([], ["start", "stop"]), ([signal.SIGHUP], ["start", "reload", "stop"]),
])  # fmt: skip
def test_sighup_during_the_start_reloads_the_settings(
    monkeypatch: pytest.MonkeyPatch, early: list[int], calls: list[str]
) -> None:
    monkeypatch.setattr(process, "load_settings", settings)
    program = RecordingProgram()
    asyncio.run(process._run_until_signalled(program, early))
    assert program.calls == calls


def test_a_reload_does_not_interrupt_a_request_in_flight() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def script(wire: Wire, request: Received) -> None:
            await wire.stream_head(request)
            await wire.event(1, "word 1")
            await release.wait()
            await wire.event(2, "word 2")
            await wire.end_stream()

        broker, own = ToyBroker(script=script), settings()
        await broker.start()
        program = ProxyProgram(own)
        program._cluster_view.configuration = parse_configuration(configuration_bytes()).unwrap()
        program._cluster_view.brokers = (listed_broker(broker),)
        await program.start()
        async with asyncio.timeout(TIMEOUT_S):
            client = await Client.connect(own.listen_addresses.frontend)
            await client.send("/stream/x")
            await client.head()
            assert await client.chunk() == events(1, 1)
            program.reload(attrs.evolve(own, seed_nodes=["127.0.0.1:1"]))
            later = await Client.connect(own.listen_addresses.frontend)
            assert (await later.request("/nowhere/x")).status == 404
            release.set()
            assert await client.chunk() == events(2, 2)
            assert await client.chunk() == b""
            client.close()
            later.close()
            await program.stop()
        await broker.stop()

    asyncio.run(scenario())
