"""The store: a small versioned map that brokers replicate among themselves by anti-entropy.

It owns the map (operator configuration under ``config/``, the last node list under ``node/``), its datagrams
of at most 256 bytes and the gossip that carries them. The last writer wins by (counter, writer's name); a
delete leaves a tombstone. It must never add a node to what a broker's own list has named, turn a draining
node back to up, or otherwise permit what a rule forbids: what it holds may only restrict. It must never
answer more than a bounded number of datagrams to one, or listen to anyone but its peers.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import struct
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from cherrycove.broker.core import Core, NodeList
from cherrycove.broker.event_log import Log
from cherrycove.scheduling.interface import NodeState

log = Log("cherrycove.store")

MOST_BYTES = 256  # of a datagram
MAGIC, DIGEST, ANSWER, ENTRY = b"CC1", 1, 2, 3
BUCKETS = 16  # of keys, each summed up in eight bytes of a digest
MOST_ENTRIES = 2048  # the map is small; tombstones count
MAX_ENTRIES_PER_REPLY = 32  # entries sent upon one digest; the rest follow upon later ones
MAX_COUNTER = (1 << 63) - 1
Address = tuple[str, int]


class EntryError(ValueError):
    """What is to be stored, or has come in a datagram, has no place in the map."""


@dataclass(frozen=True, slots=True)
class Entry:
    key: str
    counter: int
    writer: str
    value: str | None  # None: deleted

    @property
    def rank(self) -> tuple[int, str, bool, str]:
        """Who wins. The value takes part, so that even two entries of one writer and counter agree."""
        return self.counter, self.writer, self.value is None, self.value or ""

    def pack(self) -> bytes:
        key, writer, value = self.key.encode(), self.writer.encode(), (self.value or "").encode()
        if not key or not writer or not 0 < self.counter <= MAX_COUNTER:
            raise EntryError("an entry needs a key, a writer and a counter above 0")
        head = struct.pack(">3sBQ?", MAGIC, ENTRY, self.counter, self.value is None)
        data = head + b"".join(bytes([min(len(part), 255)]) + part for part in (key, writer, value))
        if len(data) > MOST_BYTES:
            raise EntryError(f"the entry {self.key} does not fit into {MOST_BYTES} bytes")
        return data


def parse_entry(data: bytes) -> Entry:
    """An entry's datagram, or EntryError."""
    try:
        magic, kind, counter, deleted = struct.unpack_from(">3sBQ?", data)
        at, parts = struct.calcsize(">3sBQ?"), []
        for _ in range(3):
            size = data[at]
            parts.append(data[at + 1 : at + 1 + size].decode())
            at += 1 + size
    except (struct.error, IndexError, UnicodeDecodeError):
        raise EntryError("the entry is cut short or not text") from None
    entry = Entry(parts[0], counter, parts[1], None if deleted else parts[2])
    if magic != MAGIC or kind != ENTRY or entry.pack() != data:
        raise EntryError("the entry is malformed")
    return entry


def _bucket(key: str) -> int:
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0] % BUCKETS


class SharedMap:
    """The map and its protocol, without a socket: datagrams in, datagrams out."""

    def __init__(self, name: str, changed: Callable[[Entry], None] = lambda entry: None) -> None:
        self.name = name
        self.counts: Counter[str] = Counter()
        self._changed = changed
        self._entries: dict[str, Entry] = {}
        self._random = random.Random(name)

    def get(self, key: str) -> str | None:
        entry = self._entries.get(key)
        return entry.value if entry else None

    def items(self, prefix: str = "") -> dict[str, Entry]:
        """What is there, deleted entries left out."""
        return {
            key: entry
            for key, entry in sorted(self._entries.items())
            if key.startswith(prefix) and entry.value is not None
        }

    def put(self, key: str, value: str | None, counter: int | None = None) -> Entry | None:
        """Write, or delete with None; the entry if it won. Without a counter it goes over what is there."""
        there = self._entries.get(key)
        entry = Entry(key, counter or (there.counter if there else 0) + 1, self.name, value)
        entry.pack()
        return entry if self._merge(entry) else None

    def _merge(self, entry: Entry) -> bool:
        there = self._entries.get(entry.key)
        if there is not None and there.rank >= entry.rank:
            return False
        if there is None and len(self._entries) >= MOST_ENTRIES:
            self.counts["over the bound"] += 1
            return False
        self._entries[entry.key] = entry
        self._changed(entry)
        return True

    def digest(self, kind: int = DIGEST) -> bytes:
        """The map in sums by bucket: where two brokers' sums differ, so do their entries."""
        sums = [0] * BUCKETS
        for key, entry in self._entries.items():
            sums[_bucket(key)] ^= int.from_bytes(hashlib.blake2b(entry.pack(), digest_size=8).digest(), "big")
        return struct.pack(f">3sB{BUCKETS}Q", MAGIC, kind, *sums)

    def receive(self, data: bytes) -> list[bytes]:
        """Take in a peer's datagram; what to send back. What is malformed is counted and dropped."""
        try:
            if len(data) > MOST_BYTES or len(data) < 4 or data[:3] != MAGIC:
                raise EntryError("not a datagram of the store")
            if data[3] == ENTRY:
                self.counts["merged" if self._merge(parse_entry(data)) else "known"] += 1
                return []
            if data[3] not in (DIGEST, ANSWER) or len(data) != 4 + 8 * BUCKETS:
                raise EntryError("a datagram of no known kind")
        except EntryError:
            self.counts["malformed"] += 1
            return []
        mine = self.digest(ANSWER)
        differ = {i for i in range(BUCKETS) if mine[4 + 8 * i : 12 + 8 * i] != data[4 + 8 * i : 12 + 8 * i]}
        ours = [entry for key, entry in self._entries.items() if _bucket(key) in differ]
        self._random.shuffle(ours)
        pushed = [entry.pack() for entry in ours[:MAX_ENTRIES_PER_REPLY]]
        return pushed + [mine] if differ and data[3] == DIGEST else pushed


# What the broker keeps in it.


def record_node_list(store: SharedMap, news: NodeList) -> list[Entry]:
    """Write a node list as discovery told it. Its version is the counter, so that the newest list wins."""
    if news.version <= 0:
        return []
    rows: dict[str, str | None] = {
        f"node/{m.name}": None
        if m.state is NodeState.GONE
        else json.dumps([m.state.value, m.address, m.shard, m.since_ms], separators=(",", ":"))
        for m in news.members
    }
    if news.full:
        rows = {**dict.fromkeys(store.items("node/")), **rows}
    written = []
    for key, value in rows.items():
        try:
            entry = store.put(key, value, news.version)
        except EntryError as error:
            log.warning("store.not_kept", why=error)
            continue
        if entry is not None:
            written.append(entry)
    return written


def apply_peer_drain(core: Core, entry: Entry) -> None:
    """A drain or a loss that only peers have heard of holds here too, while discovery is silent.

    Guard: it may only take away. A node that the broker's own list has not named, or has named more lately,
    or that has started anew since, is left alone; and nothing that a peer says makes a node up.
    """
    name = entry.key.removeprefix("node/")
    member = next((m for m in core.members if m.name == name), None)
    if not core.silent or member is None or entry.counter <= (core.version or 0):
        return
    if entry.value is not None:
        try:
            state, _, _, since = json.loads(entry.value)
        except (ValueError, TypeError):
            return
        if state == NodeState.UP.value or since != member.since_ms:
            return
    if member.state is NodeState.UP:
        log.warning("store.restrained", node=name)
        core.restrain(replace(member, state=NodeState.DRAINING))


# The gossip.


@dataclass(frozen=True, slots=True)
class SharedMapConfig:
    listen: Address
    peers: tuple[Address, ...]
    interval_s: float = 1.0
    entries: Mapping[str, tuple[int, str | None]] = field(default_factory=dict)  # version and value by key


class GossipProtocol(asyncio.DatagramProtocol):
    """Carries a store's datagrams between this broker and its peers."""

    def __init__(self, store: SharedMap, setup: SharedMapConfig) -> None:
        self._store, self._setup = store, setup
        self._random = random.Random()
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def start(self) -> int:
        loop = asyncio.get_running_loop()
        # Shared, for the time in which one process of the broker replaces another.
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self._setup.listen, reuse_port=True
        )
        for peer in self._setup.peers:  # a restart catches up from whoever answers
            self._send(self._store.digest(), peer)
        self._next()
        port: int = self._transport.get_extra_info("sockname")[1]
        return port

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def tell(self, entries: Iterable[Entry]) -> None:
        """What was just written here, to every peer; whom it does not reach learns it by a digest."""
        for entry in entries:
            for peer in self._setup.peers:
                self._send(entry.pack(), peer)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        if addr[:2] not in self._setup.peers:
            self._store.counts["strangers"] += 1
            return
        for reply in self._store.receive(data):
            self._send(reply, addr)

    def error_received(self, exc: Exception) -> None:
        self._store.counts["unreachable"] += 1

    def _next(self) -> None:
        wait = self._setup.interval_s * self._random.uniform(0.5, 1.5)
        self._timer = asyncio.get_running_loop().call_later(wait, self._round)

    def _round(self) -> None:
        if self._setup.peers:
            self._send(self._store.digest(), self._random.choice(self._setup.peers))
        self._next()

    def _send(self, data: bytes, peer: Address) -> None:
        if self._transport is not None:
            self._transport.sendto(data, peer)
