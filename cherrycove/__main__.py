"""Starts one broker: reads the configuration, wires fronts, core and backs together, and ends in good order.

It owns the life of the process: its signals, its tasks, its exit status. It must never hold logic of a wire
or of a request, never exit while something it has taken is unanswered, and never let a SIGHUP end it.
"""

from __future__ import annotations

import sys

if __name__ == "__main__" and len(sys.argv) > 1:
    from cherrycove.cli import main as command  # sub-commands; without one this is the broker

    command()

from cherrycove import herald

COMING = herald.announce() if __name__ == "__main__" else None

import asyncio
import gc
import importlib
import logging
import os
import signal
import socket
import threading
import time
from collections.abc import Coroutine
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cherrycove.memory.keeper import Keeper
    from cherrycove.why.book import Book
    from cherrycove.why.spans import Tracer


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
    _load("asyncio", "ssl", "multidict", "yarl", "aiohttp.http_parser", "aiohttp.connector", "aiohttp.client",
          "aiohttp.web", "cherrycove.config", "finchrack.decide")

from cherrycove import admin, config, consul, events, handover, nbd, store
from cherrycove.core import Core, NodeList
from cherrycove.events import Log
from cherrycove.fleet import peers
from cherrycove.http1 import back, front
from cherrycove.http1.watch import watch
from cherrycove.leaving import Timetable

log = Log("cherrycove")

OPERATOR = "deploy/operator.toml"
RESERVED = 40  # descriptors: listeners, the loop, discovery, 8 operators, 16 accepted and not yet counted
OWN_MB = 30  # of a process without bodies, in service for a while
LEAST_MB = 3  # for bodies, whatever the limit
RECORD_TIME = 300.0  # s of the record that a successor is handed
PIECE_TIME = 0.01  # s between two pieces of it
RECORD_LEFT = 0.3  # s that the last of it may take, once all that was taken is answered
OPEN_TIME = 0.05  # s between two words to the successor of how many requests are open
SHARED = 0.5  # the part of a broker's budgets that a process has while another one lives
LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def _descriptors(sockets: int, alone: bool) -> tuple[int, int]:
    """How many connections clients and nodes may have; while another process lives, clients move from one
    to the other. Guard: with no descriptor left, nobody is accepted for a second."""
    left = sockets - RESERVED if alone else sockets - 2 * RESERVED
    return (left * 6 // 10, left * 4 // 10) if alone else (left * 4 // 10, left * 2 // 10)


def _bytes(memory_mb: float, alone: bool) -> int:
    """What bodies and answers may hold of it, beside one process or two."""
    left = (memory_mb - OWN_MB) / 2 if alone else (memory_mb - 2 * OWN_MB) / 4
    return int(max(left, LEAST_MB) * 1e6)


class Broker:
    """All parts of one broker, started and stopped together."""

    def __init__(self, platform: config.Platform, operator: config.Operator) -> None:
        self.platform, self.operator = platform, operator
        self.core = Core(platform.settings, platform.seed)
        clients, nodes = _descriptors(platform.sockets, alone=True)
        self.pool = back.Pool(platform.dial_timeout, platform.conn_idle, most=nodes)
        self.front = front.Front(self.core, self.pool, most_connections=clients,
                                 crowd=platform.sockets // 6,
                                 most_bytes=_bytes(platform.memory_mb, alone=True))
        self.stop = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._watch: asyncio.Task[None] | None = None  # of the platform's discovery
        self._nbd: nbd.Front | None = None
        self._nbd_pool: nbd.Pool | None = None
        self._consul: consul.Consul | None = None
        self._gossip: store.Gossip | None = None
        self._desk = admin.Desk(self._call)
        self._place = handover.Place(platform.name, platform.listen, on_coming=self._bound)
        self._links: set[handover.Link] = set()  # to other processes of this broker
        self._handed: list[socket.socket] = []  # what a successor accepts from, in case it dies
        self._beside: int | None = None  # requests open in the process this one replaces, as last told
        self._book: Book | None = None
        self._tracer: Tracer | None = None
        self._peers: peers.Peers | None = None
        if platform.tier is not None and peers.worth_it(self.core):
            self._peers = peers.Peers(self.core, platform.tier.number, platform.tier.peers, platform.seed)
        self._memory: Keeper | None = None
        if operator.memory is not None:
            from cherrycove.memory.keeper import Keeper
            self._memory = Keeper(self.core, operator.memory.folder, operator.memory.interval, platform.name,
                                  mine=lambda: not self._handed)
        self._record: asyncio.Task[None] | None = None  # hands it over
        self._pieces = 0  # of the former process's record that have come
        if operator.why is not None:
            from cherrycove.why.book import Book
            self._book = Book(platform.settings, operator.why.bytes, asyncio.get_running_loop().time())
            self.core.recorder = self._book
            if operator.why.spans:
                from cherrycove.why import spans
                sampler = spans.Sampler(operator.why.sampled, operator.why.spans_a_second, platform.seed)
                path = Path(operator.why.spans)
                self._tracer = spans.Tracer(platform.settings, path, sampler, platform.name)
                self._book.on_story = self._tracer.tell
        self._bound()

    async def start(self) -> int:
        """Begin to serve, in place of another process of this broker if there is one; the front's port."""
        platform, operator = self.platform, self.operator
        kept = await self._start_store(operator.store) if operator.store is not None else None
        self.core.maintain(self._place.load())
        if self.core.maintenance.out:
            log.info("maintenance.out", nodes=" ".join(self.core.maintenance.out))
        met = await self._place.meet({"hello": 1})
        if COMING is not None:
            COMING.close()
        if platform.known is not None:
            self.core.update(platform.known, restored=True)
        given: list[socket.socket] = []
        if met is not None:
            link, state, given = met
            self._take_over(state)
            following = asyncio.create_task(self._follow(link))  # it ends with the other process
            self._tasks.add(following)
            following.add_done_callback(self._tasks.discard)
        elif self._memory is not None:
            await self._memory.load()
        if operator.consul is None:
            self._watch = self._run(watch(self.core, platform.discovery, platform.zones))
        if operator.nbd is not None:
            self._nbd_pool = nbd.Pool(operator.nbd, platform.dial_timeout, most=platform.sockets // 16)
            self._nbd = nbd.Front(self.core, self._nbd_pool, operator.nbd)
            for entry in kept.items("config/").values() if kept is not None else ():
                self._stored(entry)
            ports = await self._nbd.listen(given[1] if len(given) > 1 else None)
            log.info("nbd.serves", port=ports, exports=" ".join(operator.nbd.exports))
        port = await (self.front.accept(given[0]) if given else self.front.listen(*platform.listen))
        log.info("broker.serves", name=platform.name, host=platform.listen[0], port=port)
        if operator.consul is not None:
            self._consul = consul.Consul(self.core, operator.consul, platform.zones, platform.name,
                                         (platform.listen[0], port))
            self._run(self._consul.watch())
            if operator.consul.register:
                self._run(self._consul.keep_registered())
        if met is not None and not await met[0].ask({"serving": True}):
            log.warning("handover.unconfirmed", told="serving")
        if not self._links:
            self._talk(alone=True)
        if self._memory is not None:
            self._run(self._memory.keep())
        await self._place.await_successor(self._hand_over, self._follow)
        if platform.admin is not None:
            # Guard: a yes to status ends the former process. It comes last: once that one accepts no more,
            # and once this one can be found by the next.
            log.info("calls.serves", port=await self._desk.listen(*platform.admin))
        return port

    # Two processes of this broker.

    def _hand_over(self, hello: handover.Message) -> tuple[handover.Message, list[socket.socket]]:
        log.info("handover.successor_started")
        members = [handover.pack_member(member) for member in self.core.members]
        given = [self.front.listener] + ([self._nbd.listener] if self._nbd is not None else [])
        return {"version": self.core.version, "members": members, "sent": self.core.sent(),
                "maintenance": handover.pack_maintenance(self.core.maintenance)}, given

    def _take_over(self, state: handover.Message) -> None:
        log.info("handover.taking_over")
        try:
            members = tuple(handover.parse_member(raw) for raw in state["members"])
            sent = {str(name): float(units) for name, units in state["sent"].items()}
            self.core.maintain(handover.parse_maintenance(state["maintenance"]))
            if type(state["version"]) is int:
                self.core.update(NodeList(state["version"], True, members), restored=True)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log.warning("handover.state_unusable", why=error)
            sent = {}
        self.core.share(SHARED, sent)

    async def _follow(self, link: handover.Link) -> None:
        """Share with the other process, successor or predecessor, while it lives."""
        self._links.add(link)
        self._share()
        try:
            await link.follow(self._told)
        finally:
            self._links.discard(link)
            self._share()
        log.info("handover.other_ended")
        if self._handed and not self._links and not self.stop.is_set():
            log.warning("handover.serving_again")
            handed, self._handed = self._handed, []
            self._bound()
            await self.front.accept(handed[0])
            if self._nbd is not None:
                await self._nbd.listen(handed[1])

    def _share(self) -> None:
        """Guard: the processes count as one broker, in the rules and in the limits."""
        alone = not self._links
        self.core.share(1.0 if alone else SHARED)
        clients, nodes = _descriptors(self.platform.sockets, alone)
        self.pool.resize(nodes)
        self.front.resize(clients, _bytes(self.platform.memory_mb, alone))
        if alone:
            self._beside = None
        self._talk(alone)
        self._bound()

    def _talk(self, alone: bool) -> None:
        """The process that takes clients talks to the tier, once no other does."""
        if self._peers is not None and self.platform.tier is not None:
            # Guard: one that ends would open the address again that its successor is about to open.
            if alone and not self.stop.is_set():
                self._peers.start(self.platform.tier.listen)
            else:
                self._peers.close()

    def _bound(self) -> None:
        """Guard: requests open in either process hold places of the same clients. Bounded each by itself, the
        two held them all together, and for others no connection was left."""
        most = self.platform.sockets // 4  # clients hold a third of the descriptors at most
        if self._handed or self._place.coming:
            most //= 2
        elif self._links:
            most = max(most - (most // 2 if self._beside is None else self._beside), most // 2)
        self.core.bound(most)

    def _tell_open(self, told: int = -1) -> None:
        """Keep the successor told of what is open here, until either ends."""
        if not (self._links and self._handed):
            return
        if self.core.open_requests != told:
            told = self.core.open_requests
            for link in self._links:
                link.tell({"open": told})
        asyncio.get_running_loop().call_later(OPEN_TIME, self._tell_open, told)

    async def _told(self, message: handover.Message) -> None:
        if message.get("serving") and not self._handed and not self.stop.is_set():
            log.info("handover.successor_serves")
            self._handed.append(self.front.hand_over())
            if self._nbd is not None:
                self._handed.append(self._nbd.hand_over())
            self._bound()
            self._tell_open()
            self._record = asyncio.create_task(self._hand_over_record())
        if "why" in message:
            self._take_record(message)
        if type(message.get("open")) is int:
            self._beside = message["open"]
            self._bound()
        if "maint" in message:
            await self._apply(message)

    def reload(self) -> None:
        """Read the platform's file again and follow its discovery; nothing in flight is touched."""
        try:
            fresh = config.platform()
        except config.ConfigError as error:
            log.error("config.not_used", why=error)
            return
        old = self.platform
        for name in ("listen", "admin", "sockets", "memory_mb", "settings", "dial_timeout", "conn_idle"):
            if getattr(fresh, name) != getattr(old, name):
                log.warning("config.next_start_only", setting=name)
        moved = fresh.discovery != old.discovery
        self.platform = replace(old, discovery=fresh.discovery)
        log.info("config.read_again", discovery=fresh.discovery, moved=moved)
        if moved and self._watch is not None:
            # Guard: the former address's versions say nothing here: the list is asked for whole.
            self._watch.cancel()
            self._watch = self._run(watch(self.core, fresh.discovery, old.zones, afresh=True))

    async def end(self) -> None:
        """Serve on while clients still come, finish what was taken, then leave."""
        log.info("broker.draining", open=self.core.open_requests)
        began = asyncio.get_running_loop().time()
        self.front.drain(parting=bool(self._handed))
        if self._nbd is not None:
            self._nbd.drain()
        registered = self.operator.consul is not None and self.operator.consul.register
        if self._consul is not None and registered and not self._handed:
            await self._consul.deregister()
        longest = max(cls.deadline for cls in self.platform.settings.classes)
        await self.front.linger(Timetable.of(longest), began, replaced=bool(self._handed))
        if self._nbd is not None and self._nbd_pool is not None:
            await self._nbd.close()
            self._nbd_pool.close()
        await self.front.close()
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
        if self._record is not None:
            await asyncio.wait((self._record,), timeout=RECORD_LEFT)
            self._record.cancel()
        for link in list(self._links):
            link.close()
        await self._place.close()
        if self._tracer is not None and self._book is not None:
            self._book.flush()
            await asyncio.to_thread(self._tracer.close)
        log.info("broker.ended", **{name.replace(" ", "_"): count
                                    for name, count in self.core.counts.items()})
        log.info("broker.attempts", **{ending.name.lower(): count
                                       for ending, count in self.core.endings.items()})

    async def _call(self, call: admin.Call) -> str:
        if call.word == "stats":
            return admin.report(self.core.figures(), self._memory.figures() if self._memory else None)
        if call.word == "why":
            return "\n".join([*await self._why(call.words), "END"])
        if call.word == "status":
            return admin.yes_or_no(self._obstacle(), "serving")
        return await self._maintain(call.node, call.word == "maint-on")

    async def _why(self, asked: tuple[str, ...]) -> list[str]:
        if self._book is None:
            return ["NO there is no record: [why] in the operator's file is not enabled"]
        from cherrycove.why import ask  # only where somebody asks
        try:
            question = ask.parse(list(asked))
        except ask.AskError as error:
            return [f"NO {error}"]
        return await ask.answer(question, self._book, asyncio.get_running_loop().time, self.core.find)

    async def _hand_over_record(self) -> None:
        """Send the successor what was decided here of late, piece by piece, while this process drains."""
        book, loop = self._book, asyncio.get_running_loop()
        if book is None:
            return
        since = loop.time() - RECORD_TIME
        for last in (False, True):
            if last:  # what has ended while the others were sent
                await self.core.idle()
            sent_from, number = since, 0
            since = loop.time()
            for number, piece in enumerate(book.pieces(sent_from, loop.time()), 1):
                for link in self._links:
                    link.tell({"why": piece, "number": number})
                await asyncio.sleep(PIECE_TIME)
            for link in self._links:
                link.tell({"why": None, "number": number})

    def _take_record(self, message: handover.Message) -> None:
        if self._book is None:
            return
        if message["why"] is None:
            missing = message["number"] - self._pieces
            self._book.former_lost += max(missing, 0) if type(message["number"]) is int else 1
            self._pieces = 0
            return
        self._pieces += 1
        try:
            self._book.take_over(message["why"], asyncio.get_running_loop().time())
        except (ValueError, TypeError, AttributeError) as error:
            self._book.former_lost += 1
            log.warning("why.piece_unusable", why=error)

    async def _maintain(self, node: str, out: bool) -> str:
        """Take a node out or put it back: here, in the file, at the other process, and only then say yes."""
        state, known = self.core.maintenance, {member.name: member for member in self.core.members}
        if node not in known and node not in state.out:
            return "NO no disk node of this name is in the list"
        if out and node not in state.out and len(state.out) >= handover.MOST_OUT:
            return f"NO {handover.MOST_OUT} nodes are out, as many as may be"
        changed = {"maint": node, "at": time.time() * 1000, "out": out}
        if out and node not in state.out:
            changed["at"] = known[node].since_ms
        if not await self._apply(changed):
            return "NO it cannot be kept across a restart; the log says why"
        for link in list(self._links):
            if not await link.ask(changed):
                log.warning("handover.unconfirmed", told=changed)
        log.info("maintenance.changed", node=node, out=out)
        return f"YES {node} is {'out' if out else 'back'}"

    async def _apply(self, changed: handover.Message) -> bool:
        async with self._place.changing:
            before, node, at = self.core.maintenance, str(changed["maint"]), float(changed["at"])
            state = before.taking_out(node, at) if changed["out"] else before.putting_back(node, at)
            self.core.maintain(state)  # Guard: it binds from 1 s after the call, however long a disk takes
            kept = await self._place.save(state)
            if not kept:
                self.core.maintain(before)
        return kept

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

    async def _start_store(self, setup: store.Setup) -> store.Store:
        kept = store.Store(self.platform.name, self._stored)
        gossip = self._gossip = store.Gossip(kept, setup)

        def told(news: NodeList) -> None:
            gossip.tell(store.remember(kept, news))
        for key, (version, value) in setup.entries.items():
            kept.put(key, value, version)
        self.core.on_list = told
        log.info("store.serves", port=await gossip.start(), peers=len(setup.peers))
        return kept

    def _stored(self, entry: store.Entry) -> None:
        """A change of the store takes effect: it may tune the log or take something away, nothing else."""
        if entry.key.startswith("node/"):
            store.restrict(self.core, entry)
        elif entry.key == "config/log_level":
            logging.getLogger("cherrycove").setLevel(entry.value if entry.value in LEVELS else "INFO")
        elif entry.key.startswith("config/closed/") and self._nbd is not None:
            self._nbd.close_export(entry.key.removeprefix("config/closed/"), entry.value is not None)


async def run(platform: config.Platform, operator: config.Operator) -> None:
    loop = asyncio.get_running_loop()
    broker = Broker(platform, operator)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, broker.stop.set)
    await broker.start()
    loop.add_signal_handler(signal.SIGHUP, broker.reload)
    gc.collect()
    gc.freeze()
    await broker.stop.wait()
    await broker.end()
    # Guard: the loop's end gives signals their default back, and a late SIGHUP would change the exit status.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to read again
    events.start()
    try:
        platform = config.platform()
        operator = config.operator(Path(os.environ.get("CHERRYCOVE_OPERATOR", OPERATOR)), platform.settings)
    except config.ConfigError as error:
        print(f"cherrycove: {error}", file=sys.stderr)
        return 2
    events.start(operator.log.form, operator.log.level)
    config.tell(platform)
    try:
        asyncio.run(run(platform, operator))
    except ModuleNotFoundError as error:
        print(f"cherrycove: cannot start: {error.name} is not installed; traces need requirements-tools.txt",
              file=sys.stderr)
        return 1
    except OSError as error:
        print(f"cherrycove: cannot start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
