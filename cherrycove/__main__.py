"""Starts one broker: reads the configuration, wires fronts, core and backs together, and ends in good order.

It owns the life of the process: its signals, its tasks, its exit status. It must never hold logic of a wire
or of a request, never exit while something it has taken is unanswered, and never let a SIGHUP end it.
"""

from __future__ import annotations

import sys

if __name__ == "__main__" and len(sys.argv) > 1:
    from cherrycove.broker.cli import main as command  # sub-commands; without one this is the broker

    command()

import signal

if __name__ == "__main__":
    # Guard: by default either ends the process with an error. A SIGHUP now asks for a file that is read later
    # anyway; told to end now, it has taken nothing.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))

from cherrycove.broker.lifecycle import announcement

COMING = announcement.announce() if __name__ == "__main__" else None

import asyncio
import gc
import importlib
import logging
import os
import socket
import threading
from collections.abc import Coroutine
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cherrycove.broker.warm_restart.store import SnapshotStore
    from cherrycove.broker.decision_log.book import Book
    from cherrycove.broker.decision_log.spans import Tracer


GENTLE = 10  # niceness: a tenth of a core that others want, too
GENTLE_TIME = 1.0  # s after which the rest is imported at the usual priority


def _load(*modules: str, most: float = GENTLE_TIME) -> None:
    """Import at a low priority, on a thread that ends with it; what it imports stays.

    Guard: on a core that others keep busy a low priority gets little of it (at 19 a sixtieth), and a process
    that is not ready in 6 s takes over from nobody. After ``most`` seconds only the module at hand is waited
    for.
    """
    late = threading.Event()

    def load() -> None:
        if sys.platform == "linux":  # elsewhere a priority is the whole process's, and stays
            os.setpriority(os.PRIO_PROCESS, threading.get_native_id(), GENTLE)
        for name in modules:
            if late.is_set():
                return
            importlib.import_module(name)

    thread = threading.Thread(target=load)
    thread.start()
    thread.join(most)
    late.set()
    thread.join()


if __name__ == "__main__":
    # Guard: the process this one replaces serves on the same core; half of that taken from it for most of a
    # second left its clients without connections.
    # No part of this program speaks TLS; reading the system's certificates costs 60 ms and 2 MB.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    _load(
        "asyncio",
        "ssl",
        "multidict",
        "yarl",
        "aiohttp.http_parser",
        "aiohttp.connector",
        "aiohttp.client",
        "aiohttp.web",
        "cherrycove.broker.config",
        "cherrycove.scheduling.scheduler",
    )

from cherrycove.broker import admin
from cherrycove.broker import config
from cherrycove.broker import consul
from cherrycove.broker import event_log as events
from cherrycove.broker import nbd
from cherrycove.broker import shared_map as store
from cherrycove.broker.core import Core, NodeList
from cherrycove.broker.event_log import Log
from cherrycove.broker.peer_capacity import exchange
from cherrycove.broker.http1 import server, upstream
from cherrycove.broker.http1.watch import watch
from cherrycove.broker.lifecycle.handover import HandoverEndpoint
from cherrycove.broker.lifecycle.shutdown_timetable import ShutdownTimetable
from cherrycove.broker.lifecycle.state_machine import LifecycleState
from cherrycove.broker.lifecycle.coordinator import HandoverCoordinator

log = Log("cherrycove")

# What a reload cannot change: the name in the log, and the attribute of ``PlatformConfig``.
START_ONLY_SETTINGS = {
    "listen": "listen",
    "admin": "admin",
    "sockets": "sockets",
    "memory_mb": "memory_mb",
    "settings": "settings",
    "dial_timeout": "dial_timeout_s",
    "conn_idle": "idle_timeout_s",
}

OPERATOR = "deploy/operator.toml"
LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


class Broker:
    """All parts of one broker, started and stopped together."""

    def __init__(self, platform: config.PlatformConfig, operator: config.OperatorConfig) -> None:
        self.platform, self.operator = platform, operator
        self.core = Core(platform.settings, platform.seed)
        self.life = LifecycleState(platform.sockets, platform.memory_mb)
        budget = self.life.budget()
        self.pool = upstream.ConnectionPool(
            platform.dial_timeout_s, platform.idle_timeout_s, most=budget.node_connections
        )
        self.front = server.Server(
            self.core,
            self.pool,
            most_connections=budget.client_connections,
            crowd=platform.sockets // 6,
            most_bytes=budget.body_bytes,
        )
        self.stop = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._watch: asyncio.Task[None] | None = None  # of the platform's discovery
        self._nbd: nbd.Server | None = None
        self._nbd_pool: nbd.ConnectionPool | None = None
        self._consul: consul.ConsulClient | None = None
        self._gossip: store.GossipProtocol | None = None
        self._desk = admin.Desk(self._call)
        self.handover = HandoverCoordinator(
            platform.name,
            self.core,
            self,
            self.life,
            HandoverEndpoint(platform.name, platform.listen),
            lambda: self._book,
            remembers=operator.memory is not None,
        )
        self._book: Book | None = None
        self._tracer: Tracer | None = None
        self._peers: exchange.CapacityExchange | None = None
        if platform.tier is not None and exchange.is_lending_useful(self.core):
            self._peers = exchange.CapacityExchange(
                self.core, platform.tier.number, platform.tier.peers, platform.seed
            )
        self._memory: SnapshotStore | None = None
        if operator.memory is not None:
            from cherrycove.broker.warm_restart.store import SnapshotStore

            self._memory = SnapshotStore(
                self.core,
                operator.memory.directory,
                operator.memory.interval_s,
                platform.name,
                is_writer=lambda: self.life.is_state_writer,
            )
        if operator.why is not None:
            from cherrycove.broker.decision_log.book import Book

            self._book = Book(platform.settings, operator.why.max_bytes, asyncio.get_running_loop().time())
            self.core.recorder = self._book
            if operator.why.spans_path:
                from cherrycove.broker.decision_log import spans

                sampler = spans.Sampler(
                    operator.why.sampled_fraction, operator.why.max_spans_per_s, platform.seed
                )
                path = Path(operator.why.spans_path)
                self._tracer = spans.Tracer(platform.settings, path, sampler, platform.name)
                self._book.on_story = self._tracer.tell
        self.handover.apply_request_limit()

    async def start(self) -> int:
        """Begin to serve, in place of another process of this broker if there is one; the front's port."""
        platform, operator = self.platform, self.operator
        kept = await self._start_store(operator.store) if operator.store is not None else None
        self.handover.maintenance.load()
        if platform.known is not None:
            self.core.update(platform.known, restored=True)
        given = await self.handover.meet()  # what it tells is newer than what the platform knew
        if COMING is not None:
            COMING.close()
        if given is None and self._memory is not None:
            await self._memory.load()
        if operator.consul is None:
            self._watch = self._run(watch(self.core, platform.discovery, platform.zones))
        if operator.nbd is not None:
            self._nbd_pool = nbd.ConnectionPool(
                operator.nbd, platform.dial_timeout_s, most=platform.sockets // 16
            )
            self._nbd = nbd.Server(self.core, self._nbd_pool, operator.nbd)
            for entry in kept.items("config/").values() if kept is not None else ():
                self._stored(entry)
            ports = await self._nbd.listen(given[1] if given and len(given) > 1 else None)
            log.info("nbd.serves", port=ports, exports=" ".join(operator.nbd.exports))
        port = await (self.front.accept(given[0]) if given else self.front.listen(*platform.listen))
        log.info("broker.serves", name=platform.name, host=platform.listen[0], port=port)
        if operator.consul is not None:
            self._consul = consul.ConsulClient(
                self.core, operator.consul, platform.zones, platform.name, (platform.listen[0], port)
            )
            self._run(self._consul.watch())
            if operator.consul.register:
                self._run(self._consul.keep_registered())
        await self.handover.serving()
        if self._memory is not None:
            self._run(self._memory.keep())
        await self.handover.await_successor()
        if platform.admin is not None:
            # Guard: a yes to status ends the former process. It comes last: once that one accepts no more,
            # and once this one can be found by the next.
            log.info("calls.serves", port=await self._desk.listen(*platform.admin))
        return port

    # What the handover asks for (cherrycove/broker/lifecycle/coordinator.py).

    def listeners(self) -> list[socket.socket]:
        return [self.front.listener] + ([self._nbd.listener] if self._nbd is not None else [])

    def hand_over(self) -> list[socket.socket]:
        return [self.front.hand_over()] + ([self._nbd.hand_over()] if self._nbd is not None else [])

    async def accept(self, given: list[socket.socket]) -> None:
        await self.front.accept(given[0])
        if self._nbd is not None:
            await self._nbd.listen(given[1])

    def resize(self, clients: int, nodes: int, most_bytes: int) -> None:
        self.pool.resize(nodes)
        self.front.resize(clients, most_bytes)

    def talk(self, now: bool) -> None:
        if self._peers is None or self.platform.tier is None:
            return
        if now:
            self._peers.start(self.platform.tier.listen)
        else:
            self._peers.close()

    def reload(self) -> None:
        """Read the platform's file again and follow its discovery; nothing in flight is touched."""
        try:
            fresh = config.load_platform_config()
        except config.ConfigError as error:
            log.error("config.not_used", why=error)
            return
        old = self.platform
        for setting, attribute in START_ONLY_SETTINGS.items():
            if getattr(fresh, attribute) != getattr(old, attribute):
                log.warning("config.next_start_only", setting=setting)
        moved = fresh.discovery != old.discovery
        self.platform = replace(old, discovery=fresh.discovery)
        log.info("config.read_again", discovery=fresh.discovery, moved=moved)
        if moved and self._watch is not None:
            # Guard: the former address's versions say nothing here: the list is asked for whole.
            self._watch.cancel()
            self._watch = self._run(watch(self.core, fresh.discovery, old.zones, afresh=True))

    async def end(self, began: float | None = None) -> None:
        """Serve on while clients still come, finish what was taken, then leave; told to when it ``began``."""
        began = asyncio.get_running_loop().time() if began is None else began
        log.info("broker.draining", open=self.core.open_requests)
        self.life.shutdown_started()
        self.front.drain(parting=self.life.has_handed_over)
        if self._nbd is not None:
            self._nbd.drain()
        registered = self.operator.consul is not None and self.operator.consul.register
        leaving: list[asyncio.Task[None]] = []
        if self._consul is not None and registered and not self.life.has_handed_over:
            # Guard: a silent agent holds up no answer, and the end no longer than until the kill.
            leaving.append(self._run(self._consul.deregister()))
        times = ShutdownTimetable.of(max(cls.deadline for cls in self.platform.settings.classes))
        await self.front.linger(times, began, replaced=self.life.has_handed_over)
        if self._nbd is not None and self._nbd_pool is not None:
            await self._nbd.close()
            self._nbd_pool.close()
        await self.front.close()
        if leaving:
            left = began + times.disconnect - asyncio.get_running_loop().time()
            await asyncio.wait(leaving, timeout=max(left, 0.0))
        self._watch = None  # a SIGHUP from now on finds nothing to move
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._gossip is not None:
            self._gossip.close()
        if self._consul is not None:
            await self._consul.close()
        await self.pool.close()
        if self._peers is not None:
            self._peers.close()
        if self._memory is not None:
            await self._memory.close()
        await self._desk.close()
        await self.handover.close()
        if self._tracer is not None and self._book is not None:
            self._book.flush()
            await asyncio.to_thread(self._tracer.close)
        log.info(
            "broker.ended", **{name.replace(" ", "_"): count for name, count in self.core.counts.items()}
        )
        log.info(
            "broker.attempts", **{ending.name.lower(): count for ending, count in self.core.endings.items()}
        )

    async def _call(self, call: admin.Call) -> str:
        if call.word == "stats":
            return admin.report(self.core.figures(), self._memory.figures() if self._memory else None)
        if call.word == "why":
            return "\n".join([*await self._why(call.words), "END"])
        if call.word == "status":
            return admin.yes_or_no(self._obstacle(), "serving")
        return await self.handover.maintenance.change(call.node, call.word == "maint-on")

    async def _why(self, asked: tuple[str, ...]) -> list[str]:
        if self._book is None:
            return ["NO there is no record: [why] in the operator's file is not enabled"]
        from cherrycove.broker.decision_log import ask  # only where somebody asks

        try:
            question = ask.parse(list(asked))
        except ask.AskError as error:
            return [f"NO {error}"]
        return await ask.answer(question, self._book, asyncio.get_running_loop().time, self.core.find)

    def _obstacle(self) -> str | None:
        """Why this process cannot serve, if it cannot."""
        if self.stop.is_set():
            return "it drains"
        return None if self.core.ready else "no disk node is known to be up"

    def _run(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        task.add_done_callback(self._over)
        self._tasks.add(task)
        return task

    def _over(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            log.critical("broker.part_failed", fault=task.exception())
            self.stop.set()

    async def _start_store(self, setup: store.SharedMapConfig) -> store.SharedMap:
        kept = store.SharedMap(self.platform.name, self._stored)
        gossip = self._gossip = store.GossipProtocol(kept, setup)

        def told(news: NodeList) -> None:
            gossip.tell(store.record_node_list(kept, news))

        for key, (version, value) in setup.entries.items():
            kept.put(key, value, version)
        self.core.on_list = told
        log.info("store.serves", port=await gossip.start(), peers=len(setup.peers))
        return kept

    def _stored(self, entry: store.Entry) -> None:
        """A change of the store takes effect: it may tune the log or take something away, nothing else."""
        if entry.key.startswith("node/"):
            store.apply_peer_drain(self.core, entry)
        elif entry.key == "config/log_level":
            logging.getLogger("cherrycove").setLevel(entry.value if entry.value in LEVELS else "INFO")
        elif entry.key.startswith("config/closed/") and self._nbd is not None:
            export = entry.key.removeprefix("config/closed/")
            if entry.value is not None:
                self._nbd.close_export(export)
            else:
                self._nbd.reopen_export(export)


async def run(platform: config.PlatformConfig, operator: config.OperatorConfig, heard: list[int]) -> None:
    """Until a signal ends it. ``heard``: each SIGHUP since before the platform's file was read."""
    loop = asyncio.get_running_loop()
    broker = Broker(platform, operator)
    told: list[float] = []

    def end() -> None:
        told.append(loop.time())  # Guard: the kill counts from here, however long the start still takes
        broker.stop.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, end)
    await broker.start()
    loop.add_signal_handler(signal.SIGHUP, broker.reload)
    if heard:
        broker.reload()
    gc.collect()
    gc.freeze()
    await broker.stop.wait()
    await broker.end(told[0] if told else loop.time())
    # Guard: the loop's end gives signals their default back, and a late SIGHUP would change the exit status.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))


def main() -> int:
    # Guard: what a SIGHUP asks for is done once there is a watch to move. One that came between the reading
    # of the file and the end of the start was lost, and the broker followed an address that is no more.
    heard: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: heard.append(number))
    events.start()
    try:
        platform = config.load_platform_config()
        operator = config.load_operator_config(
            Path(os.environ.get("CHERRYCOVE_OPERATOR", OPERATOR)), platform.settings
        )
    except config.ConfigError as error:
        print(f"cherrycove: {error}", file=sys.stderr)
        return 2
    events.start(operator.log.form, operator.log.level)
    config.log_unsupported_settings(platform)
    try:
        asyncio.run(run(platform, operator, heard))
    except ModuleNotFoundError as error:
        print(
            f"cherrycove: cannot start: {error.name} is not installed; traces need requirements-tools.txt",
            file=sys.stderr,
        )
        return 1
    except OSError as error:
        print(f"cherrycove: cannot start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
