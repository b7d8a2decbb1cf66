"""One broker process: builds its parts, starts them, and shuts them down in order.

``Broker`` owns every part and task of the process. ``run`` serves until a signal ends it.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import socket
from collections.abc import Coroutine
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from cherrycove.broker import admin, config, consul, nbd, shared_map
from cherrycove.broker.core import Core, NodeList
from cherrycove.broker.event_log import Log
from cherrycove.broker.http1 import server, upstream
from cherrycove.broker.http1.watch import watch
from cherrycove.broker.lifecycle.coordinator import HandoverCoordinator
from cherrycove.broker.lifecycle.handover import HandoverEndpoint
from cherrycove.broker.lifecycle.shutdown_timetable import ShutdownTimetable
from cherrycove.broker.lifecycle.state_machine import LifecycleState
from cherrycove.broker.peer_capacity import exchange

if TYPE_CHECKING:
    from cherrycove.broker.decision_log.book import DecisionLog
    from cherrycove.broker.decision_log.spans import Tracer
    from cherrycove.broker.warm_restart.store import SnapshotStore

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
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
CROWD_DIVISOR = 6  # past this part of its descriptors the server closes connections behind their answers
NBD_POOL_DIVISOR = 16  # the part of the descriptors for connections to NBD nodes


class Broker:
    """All parts of one broker, started and stopped together.

    A part that fails ends the process in order; the platform starts the next.

    Args:
        platform: the platform's configuration.
        operator: the operator's configuration.
        announcement: the connection over which this start was announced, closed once it has met the process
            in service.
    """

    def __init__(
        self,
        platform: config.PlatformConfig,
        operator: config.OperatorConfig,
        announcement: socket.socket | None = None,
    ) -> None:
        self.platform, self.operator = platform, operator
        self._announcement = announcement
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
            crowd=platform.sockets // CROWD_DIVISOR,
            most_bytes=budget.body_bytes,
        )
        self.stop = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._watch: asyncio.Task[None] | None = None  # of the platform's discovery
        self._nbd: nbd.Server | None = None
        self._nbd_pool: nbd.ConnectionPool | None = None
        self._consul: consul.ConsulClient | None = None
        self._gossip: shared_map.GossipProtocol | None = None
        self._admin = admin.AdminServer(self._call)
        self.handover = HandoverCoordinator(
            platform.name,
            self.core,
            self,
            self.life,
            HandoverEndpoint(platform.name, platform.listen),
            lambda: self._book,
            remembers=operator.warm_restart is not None,
        )
        self._peers = self._make_exchange()
        self._memory = self._make_snapshot_store()
        self._book: DecisionLog | None = None
        self._tracer: Tracer | None = None
        self._make_decision_log()
        self.handover.apply_request_limit()

    def _make_exchange(self) -> exchange.CapacityExchange | None:
        tier = self.platform.tier
        if tier is None or not exchange.is_lending_useful(self.core):
            return None
        return exchange.CapacityExchange(self.core, tier.number, tier.peers, self.platform.seed)

    def _make_snapshot_store(self) -> SnapshotStore | None:
        memory = self.operator.warm_restart
        if memory is None:
            return None
        # Imported only where it is enabled: it takes start time and memory.
        from cherrycove.broker.warm_restart.store import SnapshotStore

        return SnapshotStore(
            self.core,
            memory.directory,
            memory.interval_s,
            self.platform.name,
            is_writer=lambda: self.life.is_state_writer,
        )

    def _make_decision_log(self) -> None:
        why = self.operator.decision_log
        if why is None:
            return
        # Imported only where it is enabled: it takes start time and memory.
        from cherrycove.broker.decision_log.book import DecisionLog

        settings = self.platform.settings
        self._book = DecisionLog(settings, why.max_bytes, asyncio.get_running_loop().time())
        self.core.recorder = self._book
        if why.spans_path:
            from cherrycove.broker.decision_log import spans

            sampler = spans.Sampler(why.sampled_fraction, why.max_spans_per_s, self.platform.seed)
            self._tracer = spans.Tracer(settings, Path(why.spans_path), sampler, self.platform.name)
            self._book.on_story = self._tracer.tell

    # The start.

    async def start(self) -> int:
        """Begin to serve, in place of a predecessor if there is one; return the port for clients."""
        platform, operator = self.platform, self.operator
        entries = (
            await self._start_shared_map(operator.shared_map) if operator.shared_map is not None else None
        )
        given = await self._restore()
        if operator.consul is None:
            self._watch = self._run(watch(self.core, platform.discovery, platform.zones))
        if operator.nbd is not None:
            await self._start_nbd(operator.nbd, entries, given)
        port = await (self.front.accept(given[0]) if given else self.front.listen(*platform.listen))
        log.info("broker.serves", name=platform.name, host=platform.listen[0], port=port)
        if operator.consul is not None:
            self._start_consul(operator.consul, port)
        await self.handover.serving()
        if self._memory is not None:
            self._run(self._memory.write_periodically())
        await self.handover.await_successor()
        if platform.admin is not None:
            # Last, once the predecessor accepts no more and this process can be found by the next: a YES to
            # ``status`` has the operators end the predecessor.
            log.info("calls.serves", port=await self._admin.listen(*platform.admin))
        return port

    async def _restore(self) -> list[socket.socket] | None:
        """Restore what is known, the newest last; return the listening sockets of a predecessor."""
        self.handover.maintenance.load()
        if self.platform.known is not None:
            self.core.update(self.platform.known, restored=True)
        given = await self.handover.meet()
        if self._announcement is not None:
            self._announcement.close()
        if given is None and self._memory is not None:
            await self._memory.load()
        return given

    async def _start_nbd(
        self,
        setup: nbd.NbdConfig,
        entries: shared_map.SharedMap | None,
        given: list[socket.socket] | None,
    ) -> None:
        self._nbd_pool = nbd.ConnectionPool(
            setup, self.platform.dial_timeout_s, most=self.platform.sockets // NBD_POOL_DIVISOR
        )
        self._nbd = nbd.Server(self.core, self._nbd_pool, setup)
        for entry in entries.items("config/").values() if entries is not None else ():
            self._apply_entry(entry)
        port = await self._nbd.listen(given[1] if given and len(given) > 1 else None)
        log.info("nbd.serves", port=port, exports=" ".join(setup.exports))

    def _start_consul(self, setup: consul.ConsulConfig, port: int) -> None:
        platform = self.platform
        self._consul = consul.ConsulClient(
            self.core, setup, platform.zones, platform.name, (platform.listen[0], port)
        )
        self._run(self._consul.watch())
        if setup.register:
            self._run(self._consul.keep_registered())

    async def _start_shared_map(self, setup: shared_map.SharedMapConfig) -> shared_map.SharedMap:
        entries = shared_map.SharedMap(self.platform.name, self._apply_entry)
        gossip = self._gossip = shared_map.GossipProtocol(entries, setup)

        def on_list(news: NodeList) -> None:
            gossip.broadcast(shared_map.record_node_list(entries, news))

        for key, (version, value) in setup.entries.items():
            entries.put(key, value, version)
        self.core.on_list = on_list
        log.info("store.serves", port=await gossip.start(), peers=len(setup.peers))
        return entries

    def _apply_entry(self, entry: shared_map.Entry) -> None:
        """Apply an entry of the shared map: it may tune the log or take something away, nothing else."""
        if entry.key.startswith("node/"):
            shared_map.apply_peer_drain(self.core, entry)
        elif entry.key == "config/log_level":
            level = entry.value if entry.value in LOG_LEVELS else "INFO"
            logging.getLogger("cherrycove").setLevel(level)
        elif entry.key.startswith("config/closed/") and self._nbd is not None:
            export = entry.key.removeprefix("config/closed/")
            if entry.value is not None:
                self._nbd.close_export(export)
            else:
                self._nbd.reopen_export(export)

    # ``ClientListeners`` of the handover (cherrycove/broker/lifecycle/coordinator.py).

    def listeners(self) -> list[socket.socket]:
        """Return the listening sockets in use: of HTTP, and of NBD if it is enabled."""
        return [self.front.listener] + ([self._nbd.listener] if self._nbd is not None else [])

    def hand_over(self) -> list[socket.socket]:
        """Stop accepting; return the listening sockets, in the order of ``listeners``."""
        return [self.front.hand_over()] + ([self._nbd.hand_over()] if self._nbd is not None else [])

    async def accept(self, given: list[socket.socket]) -> None:
        """Accept from these sockets again."""
        await self.front.accept(given[0])
        if self._nbd is not None:
            await self._nbd.listen(given[1])

    async def accept_also(self, given: list[socket.socket]) -> None:
        """Accept from these sockets beside the own ones, in the order of ``listeners``."""
        await self.front.accept_also(given[0])
        if self._nbd is not None and len(given) > 1:
            await self._nbd.accept_also(given[1])

    def resize(self, clients: int, nodes: int, most_bytes: int) -> None:
        """Apply new limits: descriptors for clients and for nodes, bytes of bodies and answers."""
        self.pool.resize(nodes)
        self.front.resize(clients, most_bytes)

    def talk(self, now: bool) -> None:
        """Start or stop the exchange of capacity with the other brokers."""
        if self._peers is None or self.platform.tier is None:
            return
        if now:
            self._peers.start(self.platform.tier.listen)
        else:
            self._peers.close()

    # Signals.

    def reload(self) -> None:
        """Read the platform's configuration again and follow its discovery; requests go on untouched."""
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
            # The former address's versions mean nothing at the new one, so the full list is asked for.
            self._watch.cancel()
            self._watch = self._run(watch(self.core, fresh.discovery, old.zones, afresh=True))

    async def end(self, began: float | None = None) -> None:
        """Shut down gracefully: serve on while clients still come, finish what is open, close every part.

        ``began`` is the time of the signal, on the loop's clock; the platform's kill counts from there.
        """
        began = asyncio.get_running_loop().time() if began is None else began
        log.info("broker.draining", open=self.core.open_requests)
        self.life.shutdown_started()
        self.front.drain(parting=self.life.has_handed_over)
        if self._nbd is not None:
            self._nbd.drain()
        deregistering = self._deregister()
        times = ShutdownTimetable.of(max(cls.deadline for cls in self.platform.settings.classes))
        await self.front.linger(times, began, replaced=self.life.has_handed_over)
        if self._nbd is not None and self._nbd_pool is not None:
            await self._nbd.close()
            self._nbd_pool.close()
        await self.front.close()
        if deregistering is not None:
            remaining = began + times.disconnect - asyncio.get_running_loop().time()
            await asyncio.wait((deregistering,), timeout=max(remaining, 0.0))
        await self._cancel_tasks()
        await self._close_parts()
        self._log_counts()

    def _deregister(self) -> asyncio.Task[None] | None:
        """Deregister at Consul unless a successor serves.

        Beside the shutdown: an agent that does not answer must not delay an answer.
        """
        setup = self.operator.consul
        if self._consul is None or setup is None or not setup.register or self.life.has_handed_over:
            return None
        return self._run(self._consul.deregister())

    async def _cancel_tasks(self) -> None:
        self._watch = None  # a SIGHUP from now on finds no watch to move
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _close_parts(self) -> None:
        if self._gossip is not None:
            self._gossip.close()
        if self._consul is not None:
            await self._consul.close()
        await self.pool.close()
        if self._peers is not None:
            self._peers.close()
        if self._memory is not None:
            await self._memory.close()
        await self._admin.close()
        await self.handover.close()
        if self._tracer is not None and self._book is not None:
            self._book.flush()
            await asyncio.to_thread(self._tracer.close)

    def _log_counts(self) -> None:
        counts = {name.replace(" ", "_"): count for name, count in self.core.counts.items()}
        log.info("broker.ended", **counts)
        endings = {ending.name.lower(): count for ending, count in self.core.endings.items()}
        log.info("broker.attempts", **endings)

    # Operators' calls.

    async def _call(self, call: admin.Call) -> str:
        """Return the answer to an operator's call."""
        if call.command == "stats":
            return admin.report(self.core.figures(), self._memory.figures() if self._memory else None)
        if call.command == "why":
            return "\n".join([*await self._why(call.arguments), "END"])
        if call.command == "status":
            return admin.yes_or_no(self._obstacle(), "serving")
        return await self.handover.maintenance.change(call.node, call.command == "maint-on")

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
        """Return why this process cannot serve, None if it can."""
        if self.stop.is_set():
            return "it drains"
        return None if self.core.ready else "no disk node is known to be up"

    # Tasks.

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


async def run(
    platform: config.PlatformConfig,
    operator: config.OperatorConfig,
    hangups: list[int],
    announcement: socket.socket | None = None,
) -> None:
    """Serve until a signal ends the process.

    Args:
        platform: the platform's configuration.
        operator: the operator's configuration.
        hangups: grows by one with each SIGHUP since before the platform's configuration was read.
        announcement: see ``Broker``.
    """
    loop = asyncio.get_running_loop()
    broker = Broker(platform, operator, announcement)
    signalled_at: list[float] = []

    def end() -> None:
        signalled_at.append(loop.time())  # the kill counts from here, however long the start still takes
        broker.stop.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, end)
    await broker.start()
    loop.add_signal_handler(signal.SIGHUP, broker.reload)
    if hangups:
        broker.reload()
    gc.collect()
    gc.freeze()
    await broker.stop.wait()
    await broker.end(signalled_at[0] if signalled_at else loop.time())
    # The loop's end restores the signals' default actions, and a late SIGHUP would change the exit status.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))
