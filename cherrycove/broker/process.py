"""The broker process: creates its components, starts them, and shuts them down in order.

``Broker`` owns every component and task of the process. ``run`` serves until a signal ends it.
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
    from cherrycove.broker.decision_log.log import DecisionLog
    from cherrycove.broker.decision_log.spans import Tracer
    from cherrycove.broker.warm_restart.store import SnapshotStore

log = Log("cherrycove")

# Settings that a reload cannot change: the name in the log, and the attribute of ``PlatformConfig``.
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
CLOSE_AFTER_ANSWER_DIVISOR = 6  # with more clients than sockets / 6, each answer closes its connection
NBD_POOL_DIVISOR = 16  # connections to NBD nodes may use sockets / 16


class Broker:
    """All components of one broker, started and stopped together.

    If a component fails, the process shuts down gracefully, and the platform starts another.

    Args:
        platform: the platform's configuration.
        operator: the operator's configuration.
        announcement: the connection over which this start was announced; closed once the handover with the
            process in service is done.
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
        self.lifecycle = LifecycleState(platform.sockets, platform.memory_mb)
        budget = self.lifecycle.budget()
        self.pool = upstream.ConnectionPool(
            platform.dial_timeout_s, platform.idle_timeout_s, max_connections=budget.node_connections
        )
        self.http_server = server.Server(
            self.core,
            self.pool,
            max_connections=budget.client_connections,
            soft_limit=platform.sockets // CLOSE_AFTER_ANSWER_DIVISOR,
            body_memory_bytes=budget.body_bytes,
        )
        self.shutdown_requested = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._watch: asyncio.Task[None] | None = None  # watches the platform's discovery
        self._nbd: nbd.Server | None = None
        self._nbd_pool: nbd.ConnectionPool | None = None
        self._consul: consul.ConsulClient | None = None
        self._gossip: shared_map.GossipProtocol | None = None
        self._admin = admin.AdminServer(self._answer_call)
        self.handover = HandoverCoordinator(
            platform.name,
            self.core,
            self,
            self.lifecycle,
            HandoverEndpoint(platform.name, platform.listen),
            lambda: self._decision_log,
            transfers_snapshot=operator.warm_restart is not None,
        )
        self._capacity_exchange = self._create_exchange()
        self._snapshot_store = self._create_snapshot_store()
        self._decision_log: DecisionLog | None = None
        self._tracer: Tracer | None = None
        self._create_decision_log()
        self.handover.apply_request_limit()

    def _create_exchange(self) -> exchange.CapacityExchange | None:
        tier = self.platform.tier
        if tier is None or not exchange.is_lending_useful(self.core):
            return None
        return exchange.CapacityExchange(self.core, tier.number, tier.peers, self.platform.seed)

    def _create_snapshot_store(self) -> SnapshotStore | None:
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
            is_writer=lambda: self.lifecycle.is_snapshot_writer,
        )

    def _create_decision_log(self) -> None:
        why = self.operator.decision_log
        if why is None:
            return
        # Imported only where it is enabled: it takes start time and memory.
        from cherrycove.broker.decision_log.log import DecisionLog

        settings = self.platform.settings
        self._decision_log = DecisionLog(settings, why.max_bytes, asyncio.get_running_loop().time())
        self.core.recorder = self._decision_log
        if why.spans_path:
            from cherrycove.broker.decision_log import spans

            sampler = spans.Sampler(why.sampled_fraction, why.max_spans_per_s, self.platform.seed)
            self._tracer = spans.Tracer(settings, Path(why.spans_path), sampler, self.platform.name)
            self._decision_log.on_record = self._tracer.trace

    # Start.

    async def start(self) -> int:
        """Start serving, in place of a predecessor if there is one; return the port for HTTP clients."""
        platform, operator = self.platform, self.operator
        entries = (
            await self._start_shared_map(operator.shared_map) if operator.shared_map is not None else None
        )
        inherited = await self._restore()
        if operator.consul is None:
            self._watch = self._start_task(watch(self.core, platform.discovery, platform.zones))
        if operator.nbd is not None:
            await self._start_nbd(operator.nbd, entries, inherited)
        port = await (
            self.http_server.accept(inherited[0]) if inherited else self.http_server.listen(*platform.listen)
        )
        log.info("broker.serves", name=platform.name, host=platform.listen[0], port=port)
        if operator.consul is not None:
            self._start_consul(operator.consul, port)
        await self.handover.report_serving()
        if self._snapshot_store is not None:
            self._start_task(self._snapshot_store.write_periodically())
        await self.handover.await_successor()
        if platform.admin is not None:
            # Last, once the predecessor no longer accepts clients and a successor can find this process: on a
            # YES to ``status``, operators stop the predecessor.
            log.info("calls.serves", port=await self._admin.listen(*platform.admin))
        return port

    async def _restore(self) -> list[socket.socket] | None:
        """Restore the saved state, the newest last; return the listening sockets of a predecessor."""
        self.handover.maintenance.load()
        if self.platform.known is not None:
            self.core.update(self.platform.known, restored=True)
        inherited = await self.handover.request_handover()
        if self._announcement is not None:
            self._announcement.close()
        if inherited is None and self._snapshot_store is not None:
            await self._snapshot_store.load()
        return inherited

    async def _start_nbd(
        self,
        setup: nbd.NbdConfig,
        entries: shared_map.SharedMap | None,
        inherited: list[socket.socket] | None,
    ) -> None:
        self._nbd_pool = nbd.ConnectionPool(
            setup, self.platform.dial_timeout_s, max_connections=self.platform.sockets // NBD_POOL_DIVISOR
        )
        self._nbd = nbd.Server(self.core, self._nbd_pool, setup)
        for entry in entries.items("config/").values() if entries is not None else ():
            self._apply_entry(entry)
        port = await self._nbd.listen(inherited[1] if inherited and len(inherited) > 1 else None)
        log.info("nbd.serves", port=port, exports=" ".join(setup.exports))

    def _start_consul(self, setup: consul.ConsulConfig, port: int) -> None:
        platform = self.platform
        self._consul = consul.ConsulClient(
            self.core, setup, platform.zones, platform.name, (platform.listen[0], port)
        )
        self._start_task(self._consul.watch())
        if setup.register:
            self._start_task(self._consul.keep_registered())

    async def _start_shared_map(self, setup: shared_map.SharedMapConfig) -> shared_map.SharedMap:
        entries = shared_map.SharedMap(self.platform.name, self._apply_entry)
        gossip = self._gossip = shared_map.GossipProtocol(entries, setup)

        def on_list(news: NodeList) -> None:
            gossip.broadcast(shared_map.record_node_list(entries, news))

        for key, (version, value) in setup.entries.items():
            entries.put(key, value, version)
        self.core.on_node_list = on_list
        log.info("store.serves", port=await gossip.start(), peers=len(setup.peers))
        return entries

    def _apply_entry(self, entry: shared_map.Entry) -> None:
        """Apply an entry of the shared map.

        An entry may set the log level, drain a node or close an export, and undo that; nothing else.
        """
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

    # Implementation of ``ClientListeners`` (cherrycove/broker/lifecycle/coordinator.py).

    def listeners(self) -> list[socket.socket]:
        """Return the listening sockets in use: for HTTP and, if it is enabled, for NBD."""
        return [self.http_server.listener] + ([self._nbd.listener] if self._nbd is not None else [])

    def hand_over(self) -> list[socket.socket]:
        """Stop accepting; return the listening sockets in the order of ``listeners``."""
        return [self.http_server.hand_over()] + ([self._nbd.hand_over()] if self._nbd is not None else [])

    async def accept(self, given: list[socket.socket]) -> None:
        """Accept clients from these sockets again."""
        await self.http_server.accept(given[0])
        if self._nbd is not None:
            await self._nbd.listen(given[1])

    async def accept_also(self, given: list[socket.socket]) -> None:
        """Accept clients from these sockets too; they are in the order of ``listeners``."""
        await self.http_server.accept_also(given[0])
        if self._nbd is not None and len(given) > 1:
            await self._nbd.accept_also(given[1])

    def resize(self, clients: int, nodes: int, most_bytes: int) -> None:
        """Apply new limits on connections to clients and to nodes, and on the bytes of bodies and answers."""
        self.pool.resize(nodes)
        self.http_server.resize(clients, most_bytes)

    def set_capacity_exchange(self, enabled: bool) -> None:
        """Start or stop exchanging capacity with the other brokers."""
        if self._capacity_exchange is None or self.platform.tier is None:
            return
        if enabled:
            self._capacity_exchange.start(self.platform.tier.listen)
        else:
            self._capacity_exchange.close()

    # Signals.

    def reload(self) -> None:
        """Reload the platform's configuration and watch its discovery; requests are not affected."""
        try:
            new = config.load_platform_config()
        except config.ConfigError as error:
            log.error("config.not_used", why=error)
            return
        old = self.platform
        for setting, attribute in START_ONLY_SETTINGS.items():
            if getattr(new, attribute) != getattr(old, attribute):
                log.warning("config.next_start_only", setting=setting)
        moved = new.discovery != old.discovery
        self.platform = replace(old, discovery=new.discovery)
        log.info("config.read_again", discovery=new.discovery, moved=moved)
        if moved and self._watch is not None:
            # Versions of the previous address mean nothing at the new one, so request the full list.
            self._watch.cancel()
            self._watch = self._start_task(watch(self.core, new.discovery, old.zones, need_full_list=True))

    async def shut_down(self, signalled_at: float | None = None) -> None:
        """Shut down gracefully: serve while clients still arrive, finish open requests, close all components.

        ``signalled_at`` is the time of the signal on the event loop's clock; the platform kills the process a
        fixed time after it.
        """
        signalled_at = asyncio.get_running_loop().time() if signalled_at is None else signalled_at
        log.info("broker.draining", open=self.core.open_requests)
        self.lifecycle.shutdown_started()
        self.http_server.drain(close_connections=self.lifecycle.has_handed_over)
        if self._nbd is not None:
            self._nbd.drain()
        deregistering = self._deregister()
        times = ShutdownTimetable.of(max(cls.deadline for cls in self.platform.settings.classes))
        await self.http_server.serve_until_stop(times, signalled_at, replaced=self.lifecycle.has_handed_over)
        if self._nbd is not None and self._nbd_pool is not None:
            await self._nbd.close()
            self._nbd_pool.close()
        await self.http_server.close()
        if deregistering is not None:
            remaining = signalled_at + times.disconnect - asyncio.get_running_loop().time()
            await asyncio.wait((deregistering,), timeout=max(remaining, 0.0))
        await self._cancel_tasks()
        await self._close_parts()
        self._log_counts()

    def _deregister(self) -> asyncio.Task[None] | None:
        """Start deregistering from Consul, unless a successor serves.

        It runs concurrently with the shutdown: an unresponsive agent must not delay an answer.
        """
        setup = self.operator.consul
        if self._consul is None or setup is None or not setup.register or self.lifecycle.has_handed_over:
            return None
        return self._start_task(self._consul.deregister())

    async def _cancel_tasks(self) -> None:
        self._watch = None  # so that a later SIGHUP does not start a new watch
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _close_parts(self) -> None:
        if self._gossip is not None:
            self._gossip.close()
        if self._consul is not None:
            await self._consul.close()
        await self.pool.close()
        if self._capacity_exchange is not None:
            self._capacity_exchange.close()
        if self._snapshot_store is not None:
            await self._snapshot_store.close()
        await self._admin.close()
        await self.handover.close()
        if self._tracer is not None and self._decision_log is not None:
            self._decision_log.flush()
            await asyncio.to_thread(self._tracer.close)

    def _log_counts(self) -> None:
        counts = {name.replace(" ", "_"): count for name, count in self.core.counts.items()}
        log.info("broker.ended", **counts)
        endings = {ending.name.lower(): count for ending, count in self.core.endings.items()}
        log.info("broker.attempts", **endings)

    # Operators' calls.

    async def _answer_call(self, call: admin.Call) -> str:
        """Execute an operator's call and return the answer."""
        if call.command == "stats":
            return admin.report(
                self.core.metrics(), self._snapshot_store.figures() if self._snapshot_store else None
            )
        if call.command == "why":
            return "\n".join([*await self._answer_why(call.arguments), "END"])
        if call.command == "status":
            return admin.yes_or_no(self._reason_not_serving(), "serving")
        return await self.handover.maintenance.change(call.node, call.command == "maint-on")

    async def _answer_why(self, asked: tuple[str, ...]) -> list[str]:
        if self._decision_log is None:
            return ["NO there is no record: [why] in the operator's file is not enabled"]
        from cherrycove.broker.decision_log import queries  # imported only when needed

        try:
            query = queries.parse(list(asked))
        except queries.QueryError as error:
            return [f"NO {error}"]
        return await queries.answer(
            query, self._decision_log, asyncio.get_running_loop().time, self.core.find
        )

    def _reason_not_serving(self) -> str | None:
        """Return why this process cannot serve; None if it can."""
        if self.shutdown_requested.is_set():
            return "it drains"
        return None if self.core.ready else "no disk node is known to be up"

    # Tasks.

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._on_task_done)
        self._tasks.add(task)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            log.critical("broker.part_failed", fault=task.exception())
            self.shutdown_requested.set()


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
        hangups: gets an item for each SIGHUP that arrives until the start is complete, beginning before the
            platform's configuration is read.
        announcement: see ``Broker``.
    """
    loop = asyncio.get_running_loop()
    broker = Broker(platform, operator, announcement)
    signalled_at: list[float] = []

    def end() -> None:
        signalled_at.append(loop.time())  # the time until the kill counts from here, even during the start
        broker.shutdown_requested.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, end)
    await broker.start()
    loop.add_signal_handler(signal.SIGHUP, broker.reload)
    if hangups:
        broker.reload()
    gc.collect()
    gc.freeze()
    await broker.shutdown_requested.wait()
    await broker.shut_down(signalled_at[0] if signalled_at else loop.time())
    # Closing the event loop restores the default actions of signals, and a late SIGHUP would then change the
    # exit status.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))
