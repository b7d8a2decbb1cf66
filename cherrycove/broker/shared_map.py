"""The shared map: a small versioned key-value map that brokers replicate among themselves by anti-entropy.

The module owns the map (operator configuration under ``config/``, the last node list under ``node/``), its
datagrams of at most 256 bytes and the gossip that carries them. Conflicts resolve to the last writer by
(counter, writer's name); a delete leaves a tombstone. The map must never add a node that is not in a broker's
own list, turn a draining node back to up, or otherwise permit what a rule forbids: its entries may only
restrict. It must never send more than a bounded number of datagrams in reply to one, or accept datagrams from
senders that are not its peers.

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
MAX_ENTRIES = 2048  # including tombstones
MAX_ENTRIES_PER_REPLY = 32  # limit per digest; the remaining entries are sent for later digests
MAX_COUNTER = (1 << 63) - 1
MAGIC = b"CC1"
_BUCKETS = 16  # into which keys are hashed; a digest holds one checksum per bucket
_CHECKSUM_BYTES = 8
_ENTRY_HEADER = ">3sBQ?"  # magic, kind, counter, tombstone flag
_DIGEST_HEADER_BYTES = 4  # magic, kind
_DIGEST_BYTES = _DIGEST_HEADER_BYTES + _CHECKSUM_BYTES * _BUCKETS
_NODE_PREFIX = "node/"
_INTERVAL_JITTER = (0.5, 1.5)

Address = tuple[str, int]


class DatagramKind(IntEnum):
    """The kind of a datagram; the byte after the magic."""

    DIGEST = 1  # requests the receiver's digest in return
    DIGEST_REPLY = 2
    ENTRY = 3


class EntryError(ValueError):
    """An entry or a datagram is malformed or too large."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A version of a key's value; the value is None for a tombstone."""

    key: str
    counter: int
    writer: str
    value: str | None

    @property
    def rank(self) -> tuple[int, str, bool, str]:
        """Sort key: of two entries for a key, the one with the greater rank replaces the other.

        The value is included so that replicas converge even if one writer has used a counter twice.
        """
        return self.counter, self.writer, self.value is None, self.value or ""

    def pack(self) -> bytes:
        """Return the entry's datagram; raises EntryError if it is invalid or over ``MAX_DATAGRAM_BYTES``."""
        key, writer, value = self.key.encode(), self.writer.encode(), (self.value or "").encode()
        if not key or not writer or not 0 < self.counter <= MAX_COUNTER:
            raise EntryError("an entry needs a key, a writer and a counter above 0")
        header = struct.pack(_ENTRY_HEADER, MAGIC, DatagramKind.ENTRY, self.counter, self.value is None)
        data = header + b"".join(bytes([min(len(each), 255)]) + each for each in (key, writer, value))
        if len(data) > MAX_DATAGRAM_BYTES:
            raise EntryError(
                f"the entry {self.key} takes {len(data)} bytes; the limit is {MAX_DATAGRAM_BYTES}"
            )
        return data


def parse_entry(data: bytes) -> Entry:
    """Parse an entry's datagram; raises EntryError unless ``Entry.pack`` returns exactly the same bytes."""
    try:
        magic, kind, counter, is_deleted = struct.unpack_from(_ENTRY_HEADER, data)
        offset, texts = struct.calcsize(_ENTRY_HEADER), []
        for _ in range(3):
            size = data[offset]
            texts.append(data[offset + 1 : offset + 1 + size].decode())
            offset += 1 + size
    except (struct.error, IndexError, UnicodeDecodeError) as error:
        raise EntryError("the entry is truncated or not UTF-8") from error
    key, writer, value = texts
    entry = Entry(key, counter, writer, None if is_deleted else value)
    if magic != MAGIC or kind != DatagramKind.ENTRY or entry.pack() != data:
        raise EntryError("the entry is malformed")
    return entry


def _bucket_of(key: str) -> int:
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0] % _BUCKETS


class SharedMap:
    """One broker's replica of the map and its protocol, without I/O: it maps received datagrams to replies.

    ``counts`` holds the number of datagrams by result, such as merged, known or malformed.
    """

    def __init__(self, name: str, on_change: Callable[[Entry], None] = lambda entry: None) -> None:
        """Create an empty replica that writes as ``name``; ``on_change`` is called with each entry stored."""
        self.name = name
        self.counts: Counter[str] = Counter()
        self._on_change = on_change
        self._entries: dict[str, Entry] = {}
        self._random = random.Random(name)

    def get(self, key: str) -> str | None:
        """Return the key's value; None if it was never written or was deleted."""
        entry = self._entries.get(key)
        return entry.value if entry else None

    def items(self, prefix: str = "") -> dict[str, Entry]:
        """Return the entries with this key prefix, sorted by key, without tombstones."""
        return {
            key: entry
            for key, entry in sorted(self._entries.items())
            if key.startswith(prefix) and entry.value is not None
        }

    def put(self, key: str, value: str | None, counter: int | None = None) -> Entry | None:
        """Write a value, or delete the key if it is None; return the entry, or None if it was not stored.

        An entry is not stored if the replica holds the same or a later one, or is full. Without a counter it
        is later than the one this replica holds.

        Raises:
            EntryError: if the entry is invalid or too large for a datagram.
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
        """Return a datagram with a checksum per bucket; replicas differ in buckets whose checksums differ."""
        checksums = [0] * _BUCKETS
        for key, entry in self._entries.items():
            digest = hashlib.blake2b(entry.pack(), digest_size=_CHECKSUM_BYTES).digest()
            checksums[_bucket_of(key)] ^= int.from_bytes(digest, "big")
        return struct.pack(f">3sB{_BUCKETS}Q", MAGIC, kind, *checksums)

    def receive(self, data: bytes) -> list[bytes]:
        """Process a peer's datagram; return the replies. A malformed datagram is counted and dropped."""
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
    """Return a datagram's kind; raises EntryError if its header or size is invalid."""
    if len(data) > MAX_DATAGRAM_BYTES or len(data) < _DIGEST_HEADER_BYTES or data[:3] != MAGIC:
        raise EntryError(f"not a shared map datagram: wrong magic or size of {len(data)} bytes")
    if data[3] == DatagramKind.ENTRY:
        return DatagramKind.ENTRY
    if data[3] not in (DatagramKind.DIGEST, DatagramKind.DIGEST_REPLY) or len(data) != _DIGEST_BYTES:
        raise EntryError(f"datagram of unknown kind {data[3]}, or digest of wrong size: {len(data)} bytes")
    return DatagramKind(data[3])


def _checksum(digest: bytes, bucket: int) -> bytes:
    start = _DIGEST_HEADER_BYTES + _CHECKSUM_BYTES * bucket
    return digest[start : start + _CHECKSUM_BYTES]


def record_node_list(shared_map: SharedMap, nodes: NodeList) -> list[Entry]:
    """Write discovery's node list to the map; return the entries that were stored.

    The list's version is the counter, so that the newest list wins regardless of which broker received it.
    """
    if nodes.version <= 0:
        return []
    values = _node_values(nodes)
    if nodes.full:
        values = {**dict.fromkeys(shared_map.items(_NODE_PREFIX)), **values}
    written = []
    for key, value in values.items():
        try:
            entry = shared_map.put(key, value, nodes.version)
        except EntryError as error:
            log.warning("store.not_kept", why=error)
            continue
        if entry is not None:
            written.append(entry)
    return written


def _node_values(nodes: NodeList) -> dict[str, str | None]:
    """Return keys and values for the listed nodes; the value is None for those that are gone."""
    values: dict[str, str | None] = {}
    for member in nodes.members:
        fields = [member.state.value, member.address, member.shard, member.since_ms]
        is_gone = member.state is NodeState.GONE
        values[f"{_NODE_PREFIX}{member.name}"] = (
            None if is_gone else json.dumps(fields, separators=(",", ":"))
        )
    return values


def apply_peer_drain(core: Core, entry: Entry) -> None:
    """Drain a node that a peer has seen draining or gone, while discovery is unreachable from this broker.

    An entry may only remove a node from use. A node is left unchanged if it is not in the broker's own list,
    if that list is at least as recent as the entry, or if the node has restarted since; no entry of a peer
    turns a node up.
    """
    name = entry.key.removeprefix(_NODE_PREFIX)
    member = next((each for each in core.members if each.name == name), None)
    if not core.source_unreachable or member is None or entry.counter <= (core.version or 0):
        return
    if entry.value is not None and not _reports_not_up(entry.value, member.since_ms):
        return
    if member.state is NodeState.UP:
        log.warning("store.restrained", node=name)
        core.drain_node(replace(member, state=NodeState.DRAINING))


def _reports_not_up(value: str, since_ms: float) -> bool:
    """Return whether a node's value says that the incarnation started at ``since_ms`` is not up."""
    try:
        state, _, _, reported_since_ms = json.loads(value)
    except (ValueError, TypeError):
        return False
    return bool(state != NodeState.UP.value and reported_since_ms == since_ms)


@dataclass(frozen=True, slots=True)
class SharedMapConfig:
    """The ``[store]`` table of the operator's file.

    Attributes:
        listen: host and port on which datagrams are received.
        peers: hosts and ports on which the other brokers listen.
        interval_s: mean time between digests, each of which goes to one random peer.
        entries: version and value by key, written to the map at start-up.
    """

    listen: Address
    peers: tuple[Address, ...]
    interval_s: float = 1.0
    entries: Mapping[str, tuple[int, str | None]] = field(default_factory=dict)


class GossipProtocol(asyncio.DatagramProtocol):
    """Sends and receives the datagrams between this broker's replica and its peers.

    The broker owns it. Lost datagrams need no retry: a later digest reveals the difference.
    """

    def __init__(self, shared_map: SharedMap, config: SharedMapConfig) -> None:
        """Create the protocol for this replica; nothing is sent before ``start``."""
        self._map = shared_map
        self._config = config
        self._random = random.Random()
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def start(self) -> int:
        """Bind the socket, send a digest to every peer and schedule the next ones; return the port."""
        loop = asyncio.get_running_loop()
        # Both processes bind the port while one process of the broker replaces another.
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self._config.listen, reuse_port=True
        )
        for peer in self._config.peers:  # a restarted broker catches up from any peer that replies
            self._send(self._map.digest(), peer)
        self._schedule_digest()
        port: int = self._transport.get_extra_info("sockname")[1]
        return port

    def close(self) -> None:
        """Stop sending and receiving."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def broadcast(self, entries: Iterable[Entry]) -> None:
        """Send entries written here to every peer; a peer that misses one gets it after a later digest."""
        for entry in entries:
            for peer in self._config.peers:
                self._send(entry.pack(), peer)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Process and reply to a peer's datagram; those of other senders are counted and dropped."""
        if addr[:2] not in self._config.peers:
            self._map.counts["strangers"] += 1
            return
        for reply in self._map.receive(data):
            self._send(reply, addr)

    def error_received(self, exc: Exception) -> None:  # noqa: ARG002 - asyncio's signature
        """Count a peer that could not be reached."""
        self._map.counts["unreachable"] += 1

    def _schedule_digest(self) -> None:
        delay_s = self._config.interval_s * self._random.uniform(*_INTERVAL_JITTER)
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._send_digest)

    def _send_digest(self) -> None:
        if self._config.peers:
            self._send(self._map.digest(), self._random.choice(self._config.peers))
        self._schedule_digest()

    def _send(self, data: bytes, peer: Address) -> None:
        if self._transport is not None:
            self._transport.sendto(data, peer)
