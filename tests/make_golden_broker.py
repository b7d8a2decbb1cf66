"""Writes the golden data of the storage broker, tests/data/broker/, from fixed samples and seeds.

PYTHONPATH=. python tests/make_golden_broker.py [FOLDER]     # from the repository's root

The committed data were written before the names in the code changed; whoever runs this again must get the
same bytes (tests/test_golden_broker.py compares them). A difference is a change of behaviour.
"""

from __future__ import annotations

import json
import lzma
import random
import sys
import tempfile
import tomllib
from collections import Counter
from collections.abc import Callable
from functools import partial
from itertools import count
from math import ceil, inf
from pathlib import Path
from typing import Any, NamedTuple

import golden_broker as golden

Plain = Any

CLASSES = [
    {"class": ["read", 0.25, 3.0, "=effect.safe", 1.0, 0.1, "=group.all", 0.0, False, False]},
    {"class": ["put", 0.5, 4.0, "=effect.keyed", 3.0, 0.0, "=group.zone", 2.5, True, True]},
]
PLANS = [
    {"plan": ["gold", 20.0, 18.0, 3.0, 1.4, 0.0, 0.0, 0.0]},
    {"plan": ["capped", 5.0, 3.0, 1.0, 1.0, 10.0, 20.0, 2.0]},
]
SETTINGS = {
    "settings": [
        *(2, CLASSES, PLANS, 3, 0.002, 0.008, 20.0, 2.0, 0.2, 10.0, 0.25, 0.05, 1.0, 0.05, 1.5, True, 2.0),
        *(False, False, False, 1.0, 6.0, 2.0, 0.35, 0.1, 1.0, True, 4, 3.0, ["cpu_share"]),
    ]
}
MOMENT = {"moment": [1_700_000_000.25, "5f0c7a52-boot", 5000.5]}
TOLD = {
    "recalled": [
        [
            {"node_memory": ["d0", 40.0, 0.25, 98.0, 3.5, True, 2, 100.5, 7, 12.0, 99.0]},
            {"node_memory": ["d1", None, 0.125, 60.0, 4.0, False, 0, "=-inf", -1, 0.0, "=-inf"]},
            {"node_memory": ["unheard", None, 0.0, "=-inf", 4.0, False, 0, "=-inf", -1, 0.0, "=-inf"]},
        ],
        [
            {"volume_memory": ["00000000000000aa", -3.5, 99.5, 99.0]},
            {"volume_memory": ["w", 1.25, 99.5, "=-inf"]},
        ],
        {"=map": [[0, 3.0], [1, 2.5]]},
        False,
    ]
}
MAINTENANCE = {
    "maintenance": [
        {"=map": [["d0", 1700000000123.0], ["d2", 0.0]]},
        {"=map": [["d1", [0.0, 1700000000999.5]]]},
    ]
}
MEMBERS = [
    {"member": ["d0", "127.0.0.1:7001", 0, 1, 1.0, 1700000000123.0, "=state.up"]},
    {"member": ["d1", "[::1]:7002", 1, 0, 0.5, 0.0, "=state.draining"]},
    {"member": ["d2", "127.0.0.1:7003", 2, 2, 2.0, 1700000000456.5, "=state.gone"]},
]
NODE_KEY = "=hex.0123456789abcdef"
ENDINGS = golden.ENUMS["ending"][1].split()


def _reason(code: int, node: str = "d1", place: str = "", **more: float) -> Plain:
    """A reason with figures that half precision holds exactly."""
    figures = {"threshold": 3.5, "out": 3, "queued": 2, "credits": -1.5, "wait": 0.25, "left": -0.125}
    figures |= {"refill": 0.75, "epoch": 70_000} | more
    return {"reason": [f"=code.{code}", node, place, *figures.values()]}


def _attempt(code: int, node: str, at: float, ending: str | None) -> Plain:
    return {"attempt": [node, _reason(code, node), at, 0.0625, f"=ending.{ending}" if ending else None]}


def _story(verdict: str, code: int, attempts: list[Plain], why: Plain = None, **more: Any) -> Plain:
    fields = {
        "id": "00000000000000a1",
        "volume": "00000000000000aa",
        "ended": 990.5,
        "took": 0.375,
        "verdict": verdict,
        "code": f"=code.{code}",
        "front": "http",
        "class": 1,
        "plan": 0,
        "units": 3.0,
        "shard": 2,
        "repeat": False,
        "first": "",
        "rivals": 0,
        "attempts": attempts,
        "why": why,
        "object": 0,
    } | more
    return {"story": list(fields.values())}


STORIES = [
    _story("served", 64, [_attempt(1, "d0", 0.125, "served")]),
    _story("served", 64, [_attempt(2, "d1", 0.0, "served")], front="nbd", shard=None, repeat=True),
    _story(
        "served", 64, [_attempt(1, "d2", 0.0, "node_error"), _attempt(3, "d1", 0.25, "served")], id="odd id ü"
    ),
    *(
        _story("refused", code, [], _reason(code, place=place), object=0xDEADBEEF)
        for code, place in zip(range(16, 32), ("lane", "queue", "") * 6, strict=False)
    ),
    _story("failed", 26, [_attempt(5, "d0", 0.0, "broken")], _reason(26), first="00000000000000a0", rivals=3),
    _story(
        "gone", 65, [_attempt(4, "unnamed", 0.0, None)], **{"class": None, "plan": None, "volume": "vol/1"}
    ),
    *(_story("failed", 67, [_attempt(1, "d0", 0.0, ending)]) for ending in ENDINGS),
    *(_story("refused", code, []) for code in (0, 66, *range(68, 76))),
    # What saturates: times, counts, sizes that their fields cannot hold.
    _story(
        "refused",
        18,
        [],
        _reason(
            18,
            threshold=1e9,
            out=999,
            queued=999,
            credits=-1e9,
            wait=1e6,
            left=-1e6,
            refill=1e6,
            epoch=1 << 33,
        ),
        took=1e6,
        units=1e9,
        shard=1 << 20,
        object=1 << 33,
    ),
]

MESSAGES: list[tuple[str, Plain]] = [
    ("fleet_datagram", {"ask": [3, 0xDEADBEEF, 7, NODE_KEY, 2.0]}),
    ("fleet_datagram", {"ask": [65535, 1, 0xFFFFFFFF, NODE_KEY, 1.03]}),  # rounded up
    ("fleet_datagram", {"ask": [0, 0, 0, NODE_KEY, 1e6]}),  # saturated
    ("fleet_datagram", {"loan": [4, 5, 0xDEADBEEF, 7, 2.0, 0.0]}),
    ("fleet_datagram", {"loan": [4, 5, 6, 7, 1.07, 0.0205]}),  # rounded down
    ("fleet_datagram", {"loan": [4, 5, 6, 7, 0.0, 1e3]}),
    ("store_entry", {"entry": ["config/limit", 7, "n1", "ä=1"]}),
    ("store_entry", {"entry": ["node/d0", (1 << 63) - 1, "n2", None]}),
    ("store_entry", {"entry": ["node/d1", 1, "n2", ""]}),
    *(("why_record", story) for story in STORIES),
    *(("handover_member", member) for member in MEMBERS),
    ("nbd_call", {"nbd_call": [0, 4, 0x0123456789ABCDEF, 4096, 8192]}),
    ("nbd_call", {"nbd_call": [4, 0, 1, (1 << 63) - 512, 512]}),
    ("nbd_option", [6, "=hex.00ff"]),
    ("nbd_option_reply", [7, 3, "=hex.000000"]),
    ("nbd_go", ["disk-ü", [0, 3]]),
]
WIRE_ACTIONS: list[Plain] = [
    {"send": [5, "d0", None, None, 0.1]},
    {"send": [5, "d0", 0.25, None, None]},
    {"send": [5, "d0", 1e-12, None, None]},
    {"refuse": [5, 0.125, None]},
    {"fail": [5, None]},
    {"cancel": [5, 1, None]},
    {"set_timer": [0, 0.0123456789]},
    {"probe": ["d0"]},
    {"watch": []},
    {"note": ["two  words\nEND"]},
]
WRITTEN: list[tuple[str, list[Plain]]] = [
    ("herald_coming", []),
    ("nbd_greeting", []),
    ("nbd_simple_reply", [77, 0, "=hex.0102"]),
    ("nbd_simple_reply", [77, 12]),
    ("nbd_error_chunk", [77, 5, "broken"]),
    ("nbd_data_chunk", [77, 4096, "=hex.0102", 0]),
    ("directory", ["n1", "127.0.0.1", 8080, "/tmp"]),
    ("memory_path", ["/var/lib/x", "b/ü 1"]),
    ("node_key", ["d0", 1700000000123.0]),
    *(("wire_action", [7, action]) for action in WIRE_ACTIONS),
]
HEALTH = [
    {
        "Node": {"Address": "10.0.0.1"},
        "Service": {
            "ID": "d0",
            "Port": 7001,
            "Meta": {"shard": "3", "since_ms": "1700000000123", "zone": "b"},
            "Weights": {"Passing": 2},
        },
        "Checks": [{"Status": "passing"}, {"Status": "warning", "CheckID": "x"}],
    },
    {
        "Node": {"Address": "10.0.0.2"},
        "Service": {"ID": "d1", "Address": "10.1.0.2", "Port": 7002, "Meta": {"shard": "1"}},
        "Checks": [{"Status": "passing", "CheckID": "_service_maintenance:d1"}],
    },
    {"Service": {"ID": "d2"}, "Checks": []},  # known before, and malformed now
    {"Service": {"ID": "stranger"}},
]


def _lines(values: list[Plain]) -> str:
    """JSON, one value a line."""
    return "[\n" + ",\n".join(json.dumps(each, ensure_ascii=False) for each in values) + "\n]\n"


def messages() -> str:
    """Each message: its kind, what is written, its bytes in hex, and what is read from them."""
    rows = []
    for kind, plain in MESSAGES:
        data = golden.MESSAGES[kind].encode(golden.from_plain(plain))
        rows.append([kind, plain, data.hex(), golden.to_plain(golden.MESSAGES[kind].decode(data))])
    return _lines(rows)


def written() -> str:
    """Messages that are only written: kind, arguments, bytes in hex."""
    return _lines(
        [[kind, plain, golden.WRITTEN[kind](*golden.from_plain(plain)).hex()] for kind, plain in WRITTEN]
    )


def memory() -> bytes:
    told, moment, settings = (golden.from_plain(each) for each in (TOLD, MOMENT, SETTINGS))
    return golden.write_memory(told, 100.0, moment, settings, "n1", False)


def memory_read(data: bytes) -> str:
    """What a process takes up of the memory 2 s later, on another clock."""
    later = {"moment": [1_700_000_002.25, "5f0c7a52-boot", 5002.5]}
    with tempfile.TemporaryDirectory() as folder:
        where = Path(folder) / "memory"
        where.write_bytes(data)
        found = golden.read_memory(where, 7.0, golden.from_plain(later), golden.from_plain(SETTINGS), "n1")
    return json.dumps([golden.to_plain(each) for each in found], indent=1) + "\n"


def maintenance() -> bytes:
    with tempfile.TemporaryDirectory() as folder:
        return golden.write_maintenance(golden.from_plain(MAINTENANCE), Path(folder))


def store() -> str:
    news = golden.from_plain({"node_list": [9, True, MEMBERS]})
    config = {f"config/{number}": "x" * number for number in range(1, 20)}
    return "".join(f"{line}\n" for line in golden.store_exchange(news, config))


def consul() -> str:
    found = golden.read_health(json.dumps(HEALTH), {"a": 0, "b": 1}, golden.from_plain(MEMBERS))
    return json.dumps({"answer": HEALTH, "list": golden.to_plain(found)}, indent=1) + "\n"


OUT = {"maintenance": [{"=map": [["d2", 4.5]]}, {"=map": [["d1", [0.0, 1700000000999.5]]]}]}


def hand_over() -> str:
    """What two processes of one broker say to each other, as either of them."""
    with tempfile.TemporaryDirectory() as folder:
        former = golden.hand_over(Path(folder), SETTINGS, MEMBERS[:2], OUT, STORIES[:4], MOMENT)
    state, piece = (
        next(line[2:] for line in former if line.startswith(start)) for start in ('< {"version"', '< {"why"')
    )
    with tempfile.TemporaryDirectory() as folder:
        fresh = golden.take_over(Path(folder), SETTINGS, state, piece)
    return "".join(f"{line}\n" for line in ["in service", *former, "", "taking over", *fresh])


# Configuration and HTTP.

PLATFORM = {
    "name": "n7",
    "listen": "127.0.0.1:5001",
    "admin": "[::1]:9101",
    "discovery": "127.0.0.1:8501",
    "seed": "8c1f",
    "limits": {"cores": 1.0, "memory_mb": 193.5, "sockets": 1025},
    "known": {
        "index": 12,
        "snapshot": True,
        "endpoints": [
            {
                "name": "d0",
                "address": "127.0.0.1:5100",
                "zone": "room-b",
                "type": "full-speed",
                "group": 1,
                "status": "up",
                "weight": 0.5,
                "since_ms": 1700000000123,
            },
            {"name": "d1", "address": "[::1]:5101", "group": 0, "status": "draining"},
            {"name": "d2", "status": "removed"},
        ],
    },
    "peer_listen": "127.0.0.1:7001",
    "peers": ["127.0.0.1:7000", "127.0.0.1:7001"],
    "peers_all": ["not read"],
    "tier": "not read",
    "strange": 1,
    "settings": {
        "balancers": 2,
        "me": 1,
        "zones": ["room-a", "room-b"],
        "tickNs": 2_000_000,
        "discovery": "on_request",
        "classes": [
            {
                "name": "claim-read",
                "aimNs": 150_000_000,
                "deadlineNs": 750_000_000,
                "idempotency": "token",
                "gain": 3.5,
                "lateValue": 0.1,
                "group": "zone",
                "windowNs": 5_000_000_000,
                "serialByKey": True,
                "stream": False,
                "odd": 1,
            },
            {
                "name": "claim-write",
                "aimNs": 200_000_000,
                "deadlineNs": 800_000_000,
                "idempotency": "side_effect",
                "gain": 2.5,
            },
            {
                "name": "claim-list",
                "aimNs": 210_000_000,
                "deadlineNs": 810_000_000,
                "idempotency": "pure",
                "gain": 1.5,
                "group": "cell",
            },
        ],
        "policies": [
            {
                "name": "basic",
                "nominal": 6.5,
                "floorRate": 3.5,
                "parts": 1.5,
                "valueFactor": 0.75,
                "ceilingRate": 7.5,
                "burst": 21.0,
                "capSlack": 2.25,
            },
            {
                "name": "free",
                "nominal": 6.0,
                "floorRate": 0.0,
                "parts": 1.0,
                "valueFactor": 0.5,
                "ceilingRate": 0.0,
                "burst": 0.0,
                "capSlack": 0.0,
            },
        ],
        "familyInfo": {
            "beyondShare": 0.05,
            "coldBears": 41.5,
            "countsOthers": True,
            "maxUnits": 8,
            "meterNs": 500_000_000,
            "nShards": 4,
            "usualUnits": 2.125,
            "withinShare": 0.4,
            "writes": [False, True],
        },
        "feedback": {"how": "answers", "names": ["busy_reqs", "svc_ms"]},
        "guarantees": {
            "askWithinNs": 10_000_000_000,
            "drainGraceNs": 2_000_000_000,
            "extraRatio": 0.05,
            "fallNs": 3_000_000_000,
            "fallMultiple": 4.5,
            "graceToAnswerNs": 8_000_000,
            "lookBackNs": 1_500_000_000,
            "orderSettleNs": 50_000_000,
            "spareAttempts": 2,
            "startCapacity": 0.18,
            "warmAfterNs": 17_000_000_000,
        },
        "limits": {
            "cancel": True,
            "connIdleNs": 30_000_000_000,
            "dialTimeoutNs": 250_000_000,
            "maxAttempts": 3,
            "maxRetryAfterNs": 1_000_000_000,
            "mayTell": True,
            "probing": True,
            "retryAfter": True,
            "secondCopies": True,
        },
    },
}
FROM_ENVIRONMENT = {
    "RELAY_NAME": "e1",
    "RELAY_LISTEN": "127.0.0.1:5002",
    "RELAY_ADMIN": "127.0.0.1:9102",
    "RELAY_DISCOVERY": "127.0.0.1:8502",
}
OPERATOR = """
[nbd]
enabled = true
listen = "127.0.0.1:10810"
connections = 65
pipeline = 17
unit_bytes = 8193
node_port = 10811
[nbd.classes]
read = "claim-read"
write = "claim-write"
trim = "claim-write"
flush = "claim-list"
[nbd.nodes]
d0 = "10.1.0.18:10812"
[nbd.exports.claims]
volume = "00000003b4d60021"
shard = 3
plan = "free"
size = 1073741824
hosts = 2
read_only = true
description = "claim records"
[consul]
enabled = true
agent = "127.0.0.1:8503"
service = "disk-node"
wait_s = 31
register = "broker"
ttl_s = 11
[store]
enabled = true
listen = "127.0.0.1:7946"
peers = ["127.0.0.1:7947"]
interval_ms = 1001
[store.config]
log_level = { version = 3, value = "DEBUG" }
"closed/claims" = { version = 2, deleted = true }
[why]
enabled = true
bytes = 2097153
spans = "/var/spans"
sampled = 0.25
spans_a_second = 21
[log]
form = "json"
level = "WARNING"
[memory]
enabled = true
folder = "/var/lib/cherrycove"
interval_ms = 1002
"""
HEAD = {
    "X-Request-Id": "r-1",
    "X-Class": "put",
    "Tier": "capped",
    "X-Deadline-Ms": "1250",
    "IO-Info": "volume=00000000000000AA, units=2.5, shard=3, hosts=2",
    "Cookie": 'other=1; object="00000000000000bb"',
    "Idempotency-Key": "key-7",
    "X-Retry": "1",
}
CALLS = [
    *("status", "stats", "maint-on d0", "maint-off d0", "why r-1 --json", "why --volume v --since 5m"),
    *("maint-on", "status d0", "maint-on d0 d1", "halt"),
]


def operator_file() -> Plain:
    """The operator's file, as TOML gives it."""
    return tomllib.loads(OPERATOR)


def configuration() -> str:
    """What is taken of both configurations."""
    bare = {name: each for name, each in PLATFORM.items() if name in ("settings", "seed")}
    read = {
        "platform": golden.read_platform(PLATFORM, {}),
        "platform from the environment": golden.read_platform(bare, FROM_ENVIRONMENT),
        "operator": golden.read_operator(operator_file(), PLATFORM),
        "operator, empty": golden.read_operator({}, PLATFORM),
    }
    return json.dumps(read, indent=1) + "\n"


def http() -> str:
    """What is taken of a request's head, of discovery's list and of a node's answer."""
    listed = json.dumps(PLATFORM["known"])
    read = {
        "head": golden.read_head("/put/x?y", HEAD, SETTINGS),
        "list": golden.read_list(listed, {"room-a": 0, "room-b": 1}),
        "answer": golden.read_answer('{"busy_reqs": 3, "svc_ms": 1.5}', "125", "2.5"),
    }
    return json.dumps(read, indent=1) + "\n"


def operators() -> str:
    """What operators' calls are taken for, and what they are answered."""
    told = {
        "calls": {line: golden.read_call(line) for line in CALLS},
        "stats": golden.stats({"read": (1, 2, 3), "put": (0, 0, 4)}, {"memory_written": 9}).split("\n"),
        "why": [golden.why_fields(story, SETTINGS, False) for story in STORIES],
        "why, open": golden.why_fields(STORIES[0], SETTINGS, True),
    }
    return json.dumps(told, indent=1) + "\n"


# Decisions.


class Vary:
    """Changes the batches of one scheduler, by its own dice: times and figures in microseconds, so that the
    data stay small, and what no day of bench/rules has."""

    def __init__(self, seed: int, jumps: bool, evidence: bool) -> None:
        self._dice, self._jumps, self._shift, self._last = random.Random(seed), jumps, 0.0, -inf
        self._receiving: dict[int, int] = {}  # requests whose last byte is still to come: calls until then
        self._evidence = Evidence(seed) if evidence else None

    def __call__(self, now: float, events: list[Plain], acts: list[Plain]) -> golden.Batch:
        dice = self._dice
        events = [self._each(*next(iter(event.items()))) for event in events]
        for act in acts:
            number = act["send"][0] if "send" in act else None
            if number in self._receiving:
                self._receiving[number] = dice.randint(1, 4)
        for number, left in list(self._receiving.items()):
            self._receiving[number] = left - 1
            if left == 1:
                del self._receiving[number]
                events.append({"uploaded": [number]})
        if dice.random() < 0.02:
            events.append(self._rare(events))
        if self._jumps and dice.random() < 0.004:
            self._shift += dice.choice((0.5, 2.0, 11.0))  # the host stood still
        self._last = max(ceil((now + self._shift) * 1e6) / 1e6, self._last)
        if self._evidence is not None:
            events = self._evidence.added(self._last, events)
        return self._last, events

    def _each(self, name: str, fields: list[Plain]) -> Plain:
        if name == "arrived" and self._dice.random() < 0.1:
            fields = [*fields[:-1], True]
            self._receiving[fields[0]] = -1
        if name == "attempt_ended" and self._dice.random() < 0.08:
            fields = [
                *fields[:3],
                self._dice.choice(("=outcome.moot", "=outcome.cancelled")),
                False,
                *fields[5:],
            ]
        return {name: [self._short(each) for each in fields]}

    def _short(self, value: Plain) -> Plain:
        if isinstance(value, dict):
            return {name: self._short(each) for name, each in value.items()}
        if isinstance(value, list):
            return [self._short(each) for each in value]
        return round(value, 6) if isinstance(value, float) else value

    def _rare(self, events: list[Plain]) -> Plain:
        dice = self._dice
        units = round(dice.uniform(0.0, 4.0), 3)
        return dice.choice(
            (
                {"shared": [0.5, {"=map": [["s0-1", units]]}]},
                {"shared": [1.0, {"=map": []}]},
                {"places": [dice.choice((1, 4, 100))]},
                {"stream_started": [dice.randrange(50), 0, "s0-1", 0.001]},
                {"probe_ended": ["s0-1", "=outcome.served", 0.001, {"=map": []}]},
                {"arrived": [1 << 40, 0, 0, "v0", 1.0, 0, 1, 0.05, "twice", False, False]},
                {
                    "attempt_ended": [
                        1 << 41,
                        0,
                        "s0-1",
                        "=outcome.served",
                        True,
                        0.1,
                        None,
                        0.0,
                        {"=map": []},
                    ]
                },
                {"room_lent": ["s0-1", units, 0.25]},
                {"list_unavailable": []},
                {"nodes_listed": [0, "=kind.changes", []]},
            )
        )


class Evidence:
    """Adds what other processes may tell of listed nodes: an earlier life's figures, of any age and some
    of them wrong, another process's sends, loans of room."""

    def __init__(self, seed: int) -> None:
        self._dice = random.Random(seed + 500)
        self._nodes: dict[str, list[Plain]] = {}

    def added(self, now: float, events: list[Plain]) -> list[Plain]:
        """The events, with some more."""
        first = not self._nodes
        for event in events:
            for node in event.get("nodes_listed", (0, "", ()))[2]:
                self._nodes[node["node"][0]] = node["node"]
        if self._nodes and first:
            return [*events, self._recalled(now)]
        if not self._nodes or self._dice.random() > 0.05:
            return events
        name = self._dice.choice(list(self._nodes))
        more = self._dice.choice(
            (
                self._recalled(now),
                {"shared": [0.5, {"=map": [[name, self._figure(0.0, 6.0)]]}]},
                {"shared": [1.0, {"=map": []}]},
                {"room_lent": [name, self._figure(0.0, 8.0), self._figure(0.0, 0.5)]},
            )
        )
        return [more, *events]

    def _figure(self, least: float, most: float) -> float:
        return round(self._dice.uniform(least, most), 6)

    def _recalled(self, now: float) -> Plain:
        dice, figure = self._dice, self._figure
        nodes = [
            {
                "node_memory": [
                    node[0],
                    node[4] if node[4] is None else round(node[4] + dice.choice((0.0, 0.0, 0.0005, 0.5)), 6),
                    figure(0.001, 0.5),
                    round(now - figure(-0.2, 8.0), 6),
                    figure(1.0, 8.0),
                    dice.random() < 0.5,
                    dice.choice((0, 0, 1, 3)),
                    round(now + figure(-7.0, 7.0), 6),
                    dice.randint(-1, 3),
                    dice.choice((0.0, figure(0.0, 6.0))),
                    round(now - figure(-0.2, 3.0), 6),
                ]
            }
            for node in self._nodes.values()
        ]
        volumes = [
            {
                "volume_memory": [
                    f"v{number}",
                    figure(-9.0, 9.0),
                    round(now - figure(-0.1, 2.0), 6),
                    dice.choice(("=-inf", round(now - figure(-0.1, 5.0), 6))),
                ]
            }
            for number in range(6)
        ]
        return {"recalled": [nodes, volumes, {"=map": [[0, figure(0.0, 0.5)]]}, dice.random() < 0.7]}


class Day(NamedTuple):
    """A day of bench/rules, and what is changed of it."""

    seed: int
    crowded: bool = False  # forty schedulers, as far as each knows
    jumps: bool = False  # the host stands still now and then
    evidence: bool = False
    busy: bool = False  # more volumes, for longer
    lives: int = 2  # of schedulers that are recorded

    def name(self) -> str:
        """The file's."""
        marks = [name for name in ("crowded", "jumps", "evidence", "busy") if getattr(self, name)]
        return f"decisions-{'-'.join([str(self.seed), *marks])}.txt.xz"


def decisions(day: Day) -> str:
    """A day as its first lives of schedulers saw it: settings, then for each call its time, its events (<)
    and actions (>), and what the scheduler knows at the end."""
    settings = {"schedulers": 40} if day.crowded else {}
    drawn = {"seconds": 6.0, "volumes": 6, "gap": 0.03} if day.busy else {}
    number = count()
    recordings = golden.record_day(
        day.seed,
        drawn,
        settings,
        lambda: Vary(1000 * day.seed + next(number), day.jumps, day.evidence),
    )
    lines = []
    for each in recordings[: day.lives]:
        lines.append(f"scheduler {each.seed} {_compact(each.settings)}")
        for now, events, acts in each.calls:
            lines.append(f"at {now!r}")
            lines += [f"< {_compact(event)}" for event in events] + [f"> {_compact(act)}" for act in acts]
        lines.append(f"knows {_compact(each.known)}")
    return "".join(f"{line}\n" for line in lines)


def _compact(value: Plain) -> str:
    return json.dumps(value, separators=(",", ":"))


# Chosen so that together they take each branch of the decision module that the days of 150 seeds take, more
# of what crowded and quiet deployments do, and what changes where a term is taken out of the module.
DAYS = [
    *(Day(seed, jumps=True) for seed in (103, 42, 23, 49, 125, 126, 44, 109, 59, 33)),
    *(Day(seed, crowded=True, jumps=True) for seed in (138, 48, 82, 39, 88, 50, 91, 32, 102)),
    *(Day(seed) for seed in (144, 56, 140, 59, 31, 72)),
    *(Day(seed, crowded=True) for seed in (20, 2)),
    *(Day(seed, evidence=True, lives=1) for seed in (213, 235, 211, 225)),
    *(Day(seed, crowded=True, evidence=True, lives=1) for seed in (205,)),
    *(Day(seed, crowded=True, evidence=True, busy=True, lives=1) for seed in (200,)),
]


class Steady:
    """One scheduler under a steady stream, more of it at each node than the days have: windows of many
    answers, nodes that are cold for long, a node that is lost while another drains."""

    BEGIN_S, TICK_S = 100.0, 0.002

    def __init__(
        self,
        seed: int,
        changes: dict[str, Plain],
        started: float | None,
        slowness: float = 1.0,
        faults: bool = False,
        tail: float = 0.0,
    ) -> None:
        self._slowness, self._faults, self._tail = slowness, faults, tail
        fields = dict(zip(golden.TYPES["settings"][1].split(), SETTINGS["settings"], strict=True))
        self._settings = {"settings": list((fields | changes).values())}
        self._dice, self._decider = random.Random(seed), golden.Decider(self._settings, seed)
        self._due: list[tuple[float, int, Plain]] = []
        self._serial, self._started = 0, started
        self._out: Counter[str] = Counter()
        self._attempts: Counter[int] = Counter()
        self._lines = [f"scheduler {seed} {_compact(self._settings)}"]

    def _at(self, when: float, event: Plain) -> None:
        self._serial += 1
        self._due.append((round(when, 6), self._serial, event))

    def _listed(self, when: float, kind: str, *nodes: tuple[str, int, float | None, str]) -> None:
        entries = [{"node": [name, shard, 0, 1.0, at, f"=state.{state}"]} for name, shard, at, state in nodes]
        self._at(when, {"nodes_listed": [int(when), f"=kind.{kind}", entries]})

    def play(self, requests: int, gap: float) -> str:
        """So many requests, on average so far apart (s)."""
        begin, dice = self.BEGIN_S, self._dice
        self._listed(begin, "restored", ("d0", 0, self._started, "up"), ("d1", 1, self._started, "up"))
        when = begin
        for number in range(requests):
            when += dice.expovariate(1 / gap)
            cls, shard, units = dice.choice((0, 0, 0, 1)), dice.choice((0, 1)), float(dice.randint(1, 6))
            volume, key = number % 5, f"k{dice.randrange(40)}"
            fields = [number, cls, volume // 4, f"v{volume}", units, shard, 1, (3.0, 4.0)[cls], key]
            self._at(when, {"arrived": [*fields, False, False]})
        lost = begin + 0.6 * (when - begin)
        self._listed(lost, "changes", ("d0", 0, None, "gone"), ("d1", 1, self._started, "draining"))
        self._listed(lost + 0.5, "changes", ("d1", 1, self._started, "up"), ("d2", 0, round(lost, 3), "up"))
        if self._faults:
            for number in range(1, 24):
                start = round(begin + 0.2 * number, 3)
                self._listed(start, "changes", ("d1", 1, start, "up"))
        last = 0.0
        while self._due and last < when + 2.0:
            self._due.sort()
            last = max(self._due[0][0], round(last + self.TICK_S, 6))
            if self._faults and dice.random() < 0.02:
                last = round(last + 0.05, 6)  # the host stood still
            events = [event for at, _, event in self._due if at <= last]
            self._due = [each for each in self._due if each[0] > last]
            self._call(last, events)
        self._lines.append(f"knows {_compact(self._decider.known())}")
        return "".join(f"{line}\n" for line in self._lines)

    def _call(self, now: float, events: list[Plain]) -> None:
        for event in events:
            if "attempt_ended" in event:
                self._out[event["attempt_ended"][2]] -= 1
        acts = self._decider.decide(now, events)
        self._lines.append(f"at {now!r}")
        self._lines += [f"< {_compact(event)}" for event in events] + [f"> {_compact(act)}" for act in acts]
        for act in acts:
            if "set_timer" in act:
                self._at(now + act["set_timer"][1] + 1e-6, {"timer_fired": [act["set_timer"][0]]})
            elif "send" in act:
                self._answer(now, *act["send"][:2])

    def _answer(self, now: float, request: int, node: str) -> None:
        self._out[node] += 1
        dice = self._dice
        took = round(0.01 + self._slowness * 0.01 * self._out[node] * dice.uniform(0.5, 2.0), 6)
        if self._tail and dice.random() < self._tail:
            took = round(dice.uniform(0.15, 0.45), 6)  # a few answers are far slower than the others
        attempt, self._attempts[request] = self._attempts[request], self._attempts[request] + 1
        outcome = "served"
        if self._faults:
            outcome = dice.choices(("served", "error", "timeout", "reset", "moot"), (76, 6, 8, 3, 7))[0]
            took = 0.8 if outcome == "timeout" else took
        answer = [f"=outcome.{outcome}", outcome == "served", took]
        fields = [request, attempt, node, *answer, None, 0.0, {"=map": []}]
        self._at(now + took, {"attempt_ended": fields})


STEADY: dict[str, Callable[[], str]] = {
    "decisions-steady.txt.xz": lambda: Steady(1, {}, None).play(500, 0.01),
    "decisions-steady-cold.txt.xz": lambda: Steady(
        2, {"schedulers": 10, "fall_window": 0.5, "warm_after": 5.0}, 99.5
    ).play(400, 0.01),
    "decisions-steady-crowded.txt.xz": lambda: Steady(
        3, {"schedulers": 40, "fall_window": 0.5, "warm_after": 5.0}, 99.5
    ).play(300, 0.01),
    "decisions-steady-overload.txt.xz": lambda: Steady(
        5, {"schedulers": 1, "max_attempts": 5}, None, slowness=8.0
    ).play(500, 0.01),
    "decisions-steady-tail.txt.xz": lambda: Steady(8, {}, None, slowness=0.1, tail=0.07).play(700, 0.007),
    "decisions-steady-faults.txt.xz": lambda: Steady(
        6, {"extra_spare": None, "cold_units": 200.0}, None, faults=True
    ).play(400, 0.012),
}


class WireWorld:
    """Two schedulers on the wire, disk nodes that answer, and lines that cannot be read."""

    TICK, NODES = 1_000_000, 4  # ns

    def __init__(self) -> None:
        self._dice, self._host, self._serial, self._turn = random.Random(44), golden.WireHost(), 0, 0
        self._due: list[tuple[int, int, str]] = []  # lines to come: when, in which order
        self._trials: dict[str, int] = {}
        self.text = ""

    def play(self) -> str:
        """All batches: lines in (<), and out (>)."""
        info = json.loads(Path("examples/config.json").read_text())["settings"]
        for who in (1, 2):
            info["discovery"] = ("pushed", "on_request")[who - 1]
            self._at(self.TICK, f"ENLIST schedulerId={who} entropy={who * 11} info={_compact(info)}")
        for who in (1, 2):
            self._at(self.TICK, f"MEMBERS schedulerId={who} rev=1 form=restored table=1")
            for _ in range(150):
                self._at(self._dice.randrange(2, 2000) * self.TICK, self._arrival(who))
        for when, line in (
            (5, "MEMBERS schedulerId=2 form=unavailable"),
            (600, "MEMBERS schedulerId=1 rev=2 form=update table=2"),
            (900, "MEMBERS schedulerId=1 rev=3 form=replace table=1"),
            (901, "ECHO schedulerId=1 server=d0 code=S latencyNs=1000 healthInfo=busy_reqs:2"),
            (902, "FIRST schedulerId=1 handle=4 trial=0 server=d0 latencyNs=1000"),
            (903, "LAPSED schedulerId=1 handle=9"),
            (904, "REPLY schedulerId=1 handle=9 trial=x server=d0 code=S"),
            (905, "NOBODY schedulerId=1 knows=this"),
            (906, "MEMBERS schedulerId=1 rev=4 form=odd table=1"),
            (907, "ARRIVAL schedulerId=1 handle=77"),
            (908, "MEMBERS schedulerId=1 rev=4 form=replace table=99"),
            (909, "ENLIST schedulerId=3 entropy=1 info={}"),
            (1200, "DOWN schedulerId=2"),
            (1210, "REPLY schedulerId=2 handle=1 trial=0 server=d0 code=S"),
            (1300, f"ENLIST schedulerId=2 entropy=5 info={_compact(info)}"),
            (1301, "MEMBERS schedulerId=2 rev=9 form=restored table=1"),
        ):
            self._at(when * self.TICK, line)
        self._say(0, [])
        self._turn = self.TICK
        while self._due and self._turn < 3000 * self.TICK:
            self._due.sort()
            self._turn = max(self._turn + self.TICK, self._due[0][0])
            ready = [line for when, _, line in self._due if when <= self._turn]
            self._due = [each for each in self._due if each[0] > self._turn]
            self._say(self._turn, ready)
        return self.text

    def _at(self, when: int, line: str) -> None:
        self._serial += 1
        self._due.append((when, self._serial, line))

    def _arrival(self, who: int) -> str:
        dice = self._dice
        self._serial += 1
        disk, cls = dice.randrange(5), dice.randrange(3)
        key = f" blockKey=k{dice.randrange(9)}" if dice.random() < 0.5 else ""
        resent = " resent=1" if dice.random() < 0.1 else ""
        return (
            f"ARRIVAL schedulerId={who} handle={self._serial} class={cls} contract={disk % 3} disk=v{disk}"
            f" quotaUnits={dice.randint(1, 8)} slotNo={dice.choice((0, 1, 1, -1))} hosts=1"
            f" budgetNs={dice.choice((750, 300, 1200)) * self.TICK}{key}{resent}"
        )

    def _sheets(self) -> list[str]:
        nodes = [
            f"NODE server=d{n} pod={n % 2} site={n % 3} weight=1 sinceNs=0 condition=up" for n in range(2)
        ]
        changed = [
            "NODE server=d1 pod=1 site=0 condition=draining",
            "NODE server=d2 pod=1 site=0 sinceNs=550000000 condition=up",
            "NODE server=d3 pod=z condition=up",
        ]
        return [
            f"SHEET table=1 entries={len(nodes)}",
            *nodes,
            f"SHEET table=2 entries={len(changed)}",
            *changed,
        ]

    def _say(self, now: int, lines: list[str]) -> None:
        lines = [f"SYNC simTimeNs={now}", *(self._sheets() if now == 0 else []), *lines]
        replies = self._host.batch(lines)
        self.text += "".join(f"< {each}\n" for each in [*lines, "END"])
        self.text += "".join(f"> {each}\n" for each in [*replies, "READY"])
        for reply in replies:
            word, _, rest = reply.partition(" ")
            told = dict(each.partition("=")[::2] for each in rest.split(" "))
            who = f"schedulerId={told.get('schedulerId')}"
            if word == "SLEEP":
                self._at(now + int(told["sleepForNs"]), f"TIMER {who} nonce={told['nonce']}")
            elif word == "CALL_OUT":
                self._at(*self._reply(now, who, told))

    def _reply(self, now: int, who: str, told: dict[str, str]) -> tuple[int, str]:
        dice, handle = self._dice, told["handle"]
        trial = self._trials[who + handle] = self._trials.get(who + handle, -1) + 1
        code = dice.choices("SEFTCRXN", (80, 4, 4, 2, 4, 3, 1, 2))[0]
        took = int(dice.expovariate(1 / 60)) * self.TICK if code == "S" else self.TICK
        done = int(code == "S")
        return now + took, (
            f"REPLY {who} handle={handle} trial={trial} server={told['server']} code={code} complete={done}"
            f" latencyNs={took} seenUse={dice.randrange(300)} elsewhere=0 healthInfo=busy_reqs:{trial},odd"
        )


def _recorded() -> dict[str, Callable[[], str]]:
    made: dict[str, Callable[[], str]] = {"wirehost.txt.xz": lambda: WireWorld().play()}
    made |= STEADY
    for day in DAYS:
        made[day.name()] = partial(decisions, day)
    return made


def read_recorded(folder: Path, name: str) -> str:
    """What was recorded under this name."""
    return lzma.decompress((folder / name).read_bytes()).decode()


# These are played again by the tests, not made again.
RECORDED = _recorded()
FILES: dict[str, Callable[[], bytes | str]] = {
    "n1.memory": memory,
    "memory-read.json": lambda: memory_read(memory()),
    "maintenance.json": maintenance,
    "messages.json": messages,
    "written.json": written,
    "store.txt": store,
    "consul.json": consul,
    "handover.txt": hand_over,
    "configuration.json": configuration,
    "http.json": http,
    "operators.json": operators,
    "names.json": lambda: json.dumps(golden.names(), indent=1) + "\n",
}


def main(folder: Path) -> None:
    """Write all files into this folder."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, make in FILES.items():
        made = make()
        (folder / name).write_bytes(made.encode() if isinstance(made, str) else made)
    for name, record in RECORDED.items():
        (folder / name).write_bytes(lzma.compress(record().encode(), preset=9))


if __name__ == "__main__":
    main(Path(sys.argv[1]) if len(sys.argv) > 1 else golden.DATA)
