"""The store: a small versioned map that brokers replicate among themselves by anti-entropy.

It owns the map (operator configuration under ``config/``, the last node list under ``node/``), its datagrams
of at most 256 bytes and the gossip that carries them. Conflicts resolve to the last writer by (counter,
writer's name); a delete leaves a tombstone. It must never add a node to what a broker's own list has named,
turn a draining node back to up, or otherwise permit what a rule forbids: what it holds may only restrict. It
must never answer more than a bounded number of datagrams to one, or accept any from others than its peers.

Source: Demers et al., "Epidemic algorithms for replicated database maintenance" (PODC 1987), sections 1.3
(anti-entropy, with checksums here by bucket of keys) and 2 (deletion).
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
from enum import IntEnum

from cherrycove.broker.core import Core, NodeList
from cherrycove.broker.event_log import Log
from cherrycove.scheduling.interface import NodeState

log = Log("cherrycove.store")

MAX_DATAGRAM_BYTES = 256
MAX_ENTRIES = 2048  # tombstones included
MAX_ENTRIES_PER_REPLY = 32  # sent for one digest; the rest follow for later ones
MAX_COUNTER = (1 << 63) - 1
MAGIC = b"CC1"
_BUCKETS = 16  # of keys; a digest holds a checksum of each
_CHECKSUM_BYTES = 8
_ENTRY_HEADER = ">3sBQ?"  # magic, kind, counter, whether it is a tombstone
_DIGEST_HEADER_BYTES = 4  # magic, kind
_DIGEST_BYTES = _DIGEST_HEADER_BYTES + _CHECKSUM_BYTES * _BUCKETS
_NODE_PREFIX = "node/"
_INTERVAL_JITTER = (0.5, 1.5)

Address = tuple[str, int]


class DatagramKind(IntEnum):
    """What a datagram holds; the byte behind the magic."""

    DIGEST = 1  # a digest that asks for the receiver's
    DIGEST_REPLY = 2
    ENTRY = 3


class EntryError(ValueError):
    """An entry that is to be stored, or a datagram, is malformed or too large."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A version of a key's value; no value for a tombstone."""

    key: str
    counter: int
    writer: str
    value: str | None

    @property
    def rank(self) -> tuple[int, str, bool, str]:
        """The order in which entries of a key replace each other.

        The value takes part, so that replicas converge even if one writer has used a counter twice.
        """
        return self.counter, self.writer, self.value is None, self.value or ""

    def pack(self) -> bytes:
        """The entry's datagram; EntryError if it is incomplete or over ``MAX_DATAGRAM_BYTES``."""
        key, writer, value = self.key.encode(), self.writer.encode(), (self.value or "").encode()
        if not key or not writer or not 0 < self.counter <= MAX_COUNTER:
            raise EntryError("an entry needs a key, a writer and a counter above 0")
        header = struct.pack(_ENTRY_HEADER, MAGIC, DatagramKind.ENTRY, self.counter, self.value is None)
        data = header + b"".join(bytes([min(len(each), 255)]) + each for each in (key, writer, value))
        if len(data) > MAX_DATAGRAM_BYTES:
            raise EntryError(f"the entry {self.key} does not fit into {MAX_DATAGRAM_BYTES} bytes")
        return data


def parse_entry(data: bytes) -> Entry:
    """The entry in a datagram; EntryError if it is not exactly what ``Entry.pack`` makes of it."""
    try:
        magic, kind, counter, is_deleted = struct.unpack_from(_ENTRY_HEADER, data)
        offset, texts = struct.calcsize(_ENTRY_HEADER), []
        for _ in range(3):
            size = data[offset]
            texts.append(data[offset + 1 : offset + 1 + size].decode())
            offset += 1 + size
    except (struct.error, IndexError, UnicodeDecodeError) as error:
        raise EntryError("the entry is cut short or not text") from error
    key, writer, value = texts
    entry = Entry(key, counter, writer, None if is_deleted else value)
    if magic != MAGIC or kind != DatagramKind.ENTRY or entry.pack() != data:
        raise EntryError("the entry is malformed")
    return entry


def _bucket_of(key: str) -> int:
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0] % _BUCKETS


class SharedMap:
    """One broker's replica of the map and its protocol, without a socket: datagrams in, datagrams out.

    ``counts`` holds how many datagrams were merged, known, malformed and so on.
    """

    def __init__(self, name: str, on_change: Callable[[Entry], None] = lambda entry: None) -> None:
        """An empty replica that writes as ``name``; ``on_change`` gets each entry that replaces another."""
        self.name = name
        self.counts: Counter[str] = Counter()
        self._on_change = on_change
        self._entries: dict[str, Entry] = {}
        self._random = random.Random(name)

    def get(self, key: str) -> str | None:
        """The key's value; None if there is none or it was deleted."""
        entry = self._entries.get(key)
        return entry.value if entry else None

    def items(self, prefix: str = "") -> dict[str, Entry]:
        """The entries whose key has this prefix, in the order of keys, without tombstones."""
        return {
            key: entry
            for key, entry in sorted(self._entries.items())
            if key.startswith(prefix) and entry.value is not None
        }

    def put(self, key: str, value: str | None, counter: int | None = None) -> Entry | None:
        """Write a value, or delete it with None; the entry, or None if a later one is there.

        Without a counter the entry replaces whatever this replica holds. EntryError if it does not fit.
        """
        existing = self._entries.get(key)
        next_counter = (existing.counter if existing else 0) + 1
        entry = Entry(key, counter or next_counter, self.name, value)
        entry.pack()
        return entry if self._merge(entry) else None

    def _merge(self, entry: Entry) -> bool:
        existing = self._entries.get(entry.key)
        if existing is not None and existing.rank >= entry.rank:
            return False
        if existing is None and len(self._entries) >= MAX_ENTRIES:
            self.counts["over the bound"] += 1
            return False
        self._entries[entry.key] = entry
        self._on_change(entry)
        return True

    def digest(self, kind: DatagramKind = DatagramKind.DIGEST) -> bytes:
        """A datagram with a checksum of each bucket: where two replicas' differ, so do their entries."""
        checksums = [0] * _BUCKETS
        for key, entry in self._entries.items():
            digest = hashlib.blake2b(entry.pack(), digest_size=_CHECKSUM_BYTES).digest()
            checksums[_bucket_of(key)] ^= int.from_bytes(digest, "big")
        return struct.pack(f">3sB{_BUCKETS}Q", MAGIC, kind, *checksums)

    def receive(self, data: bytes) -> list[bytes]:
        """Take in a peer's datagram; the datagrams to send back. A malformed one is counted and dropped."""
        try:
            kind = _kind_of(data)
            if kind is DatagramKind.ENTRY:
                self.counts["merged" if self._merge(parse_entry(data)) else "known"] += 1
                return []
        except EntryError:
            self.counts["malformed"] += 1
            return []
        return self._reply_to_digest(data, kind)

    def _reply_to_digest(self, data: bytes, kind: DatagramKind) -> list[bytes]:
        own_digest = self.digest(DatagramKind.DIGEST_REPLY)
        differing = {
            bucket for bucket in range(_BUCKETS) if _checksum(own_digest, bucket) != _checksum(data, bucket)
        }
        candidates = [entry for key, entry in self._entries.items() if _bucket_of(key) in differing]
        self._random.shuffle(candidates)
        replies = [entry.pack() for entry in candidates[:MAX_ENTRIES_PER_REPLY]]
        if differing and kind is DatagramKind.DIGEST:
            replies.append(own_digest)
        return replies


def _kind_of(data: bytes) -> DatagramKind:
    """EntryError if the datagram is none of the store's."""
    if len(data) > MAX_DATAGRAM_BYTES or len(data) < _DIGEST_HEADER_BYTES or data[:3] != MAGIC:
        raise EntryError("not a datagram of the store")
    if data[3] == DatagramKind.ENTRY:
        return DatagramKind.ENTRY
    if data[3] not in (DatagramKind.DIGEST, DatagramKind.DIGEST_REPLY) or len(data) != _DIGEST_BYTES:
        raise EntryError("a datagram of no known kind")
    return DatagramKind(data[3])


def _checksum(digest: bytes, bucket: int) -> bytes:
    start = _DIGEST_HEADER_BYTES + _CHECKSUM_BYTES * bucket
    return digest[start : start + _CHECKSUM_BYTES]


def record_node_list(store: SharedMap, nodes: NodeList) -> list[Entry]:
    """Write discovery's node list to the map; the entries that replaced others.

    The list's version is the counter, so that the newest list wins wherever it was received.
    """
    if nodes.version <= 0:
        return []
    rows = _node_rows(nodes)
    if nodes.full:
        rows = {**dict.fromkeys(store.items(_NODE_PREFIX)), **rows}
    written = []
    for key, value in rows.items():
        try:
            entry = store.put(key, value, nodes.version)
        except EntryError as error:
            log.warning("store.not_kept", why=error)
            continue
        if entry is not None:
            written.append(entry)
    return written


def _node_rows(nodes: NodeList) -> dict[str, str | None]:
    """Keys and values of the listed nodes; no value for those that are gone."""
    rows: dict[str, str | None] = {}
    for member in nodes.members:
        row = [member.state.value, member.address, member.shard, member.since_ms]
        is_gone = member.state is NodeState.GONE
        rows[f"{_NODE_PREFIX}{member.name}"] = None if is_gone else json.dumps(row, separators=(",", ":"))
    return rows


def apply_peer_drain(core: Core, entry: Entry) -> None:
    """Set a node to draining that a peer has seen drain or leave, while discovery is unreachable from here.

    An entry may only take a node away. A node that the broker's own list has not named, has named more
    lately, or that has restarted since, is left alone; nothing that a peer says turns a node up.
    """
    name = entry.key.removeprefix(_NODE_PREFIX)
    member = next((each for each in core.members if each.name == name), None)
    if not core.source_unreachable or member is None or entry.counter <= (core.version or 0):
        return
    if entry.value is not None and not _is_drain_of(entry.value, member.since_ms):
        return
    if member.state is NodeState.UP:
        log.warning("store.restrained", node=name)
        core.drain_node(replace(member, state=NodeState.DRAINING))


def _is_drain_of(value: str, since_ms: float) -> bool:
    """Whether a node's row says that the incarnation started at ``since_ms`` is not up."""
    try:
        state, _, _, row_since_ms = json.loads(value)
    except (ValueError, TypeError):
        return False
    return bool(state != NodeState.UP.value and row_since_ms == since_ms)


@dataclass(frozen=True, slots=True)
class SharedMapConfig:
    """The ``[store]`` table of the operator's file.

    Attributes:
        listen: host and port for datagrams.
        peers: where the other brokers listen.
        interval_s: mean time between two digests to a random peer.
        entries: version and value by key, written at the start.
    """

    listen: Address
    peers: tuple[Address, ...]
    interval_s: float = 1.0
    entries: Mapping[str, tuple[int, str | None]] = field(default_factory=dict)


class GossipProtocol(asyncio.DatagramProtocol):
    """Carries a replica's datagrams between this broker and its peers.

    The broker owns it. Lost datagrams need no retry: a later digest finds the difference.
    """

    def __init__(self, store: SharedMap, config: SharedMapConfig) -> None:
        """Nothing is sent before ``start``."""
        self._store = store
        self._config = config
        self._random = random.Random()
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def start(self) -> int:
        """Bind the socket, send a digest to each peer and then one at a time; the port."""
        loop = asyncio.get_running_loop()
        # The port is shared while one process of the broker replaces another.
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self._config.listen, reuse_port=True
        )
        for peer in self._config.peers:  # a restarted broker catches up from any peer that answers
            self._send(self._store.digest(), peer)
        self._schedule_digest()
        port: int = self._transport.get_extra_info("sockname")[1]
        return port

    def close(self) -> None:
        """Send and receive no more."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def broadcast(self, entries: Iterable[Entry]) -> None:
        """Send entries written here to every peer; those that miss them learn them by a digest."""
        for entry in entries:
            for peer in self._config.peers:
                self._send(entry.pack(), peer)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Take in a peer's datagram and answer it; others are counted and dropped."""
        if addr[:2] not in self._config.peers:
            self._store.counts["strangers"] += 1
            return
        for reply in self._store.receive(data):
            self._send(reply, addr)

    def error_received(self, exc: Exception) -> None:  # noqa: ARG002 - asyncio's signature
        """A peer was unreachable."""
        self._store.counts["unreachable"] += 1

    def _schedule_digest(self) -> None:
        delay_s = self._config.interval_s * self._random.uniform(*_INTERVAL_JITTER)
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._send_digest)

    def _send_digest(self) -> None:
        if self._config.peers:
            self._send(self._store.digest(), self._random.choice(self._config.peers))
        self._schedule_digest()

    def _send(self, data: bytes, peer: Address) -> None:
        if self._transport is not None:
            self._transport.sendto(data, peer)
