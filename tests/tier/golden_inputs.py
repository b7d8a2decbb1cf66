"""Fixed inputs of the files in ``tests/data/tier``, as plain data: ids, epochs, commands, results.

Messages and fields have the names of the version that wrote the files; see ``golden_support``.
"""

from __future__ import annotations

import json
from typing import Any

COMMAND, NOOP, MEMBERS = 0, 1, 2  # kinds of log entries

MEMBERS_OF: dict[str, list[list[str]]] = {
    program: [
        [f"first-10.1.0.{number}", f"core-{number}", f"10.1.0.{number}:{port}", zone]
        for number, zone in ((3, "east"), (1, "north"), (2, "south"))
    ]
    for program, port in (("keeper", 7700), ("store", 7701))
}
EXCLUDED = ["0badd15c0badd15c", "1badd15c1badd15c"]

# Of a disk: how it got its identity.
IDENTITY: dict[str, dict[str, Any]] = {
    "keeper": {"first_start": True, "ip": "10.1.0.1", "random_id": "00000000-0000-4000-8000-000000000000"},
    "store": {"first_start": False, "ip": "10.1.0.1", "random_id": "0123456789ab4def8123456789abcdef"},
}


def configuration(version: int) -> str:
    """A small valid configuration, as an operator sends it."""
    route = {
        "name": "refunds",
        "hostname": "shop.example",
        "pathPrefix": "/refunds/",
        "routeKind": "idempotent",
        "timeoutMs": 3000,
        "service": "ledger",
    }
    return json.dumps({"version": version, "routes": [route], "services": [{"name": "ledger"}]})


def _store(number: int, disk: str, zone: str = "north") -> dict[str, Any]:
    address = f"10.1.0.{number}:7701"
    return {"member_id": disk, "node_name": f"core-{number}", "address": address, "zone": zone}


def _machine(number: int, store: str, keeper: str = "") -> dict[str, Any]:
    machine = {"node_name": f"core-{number}", "ip": f"10.1.0.{number}", "store_id": store}
    return {**machine, "keeper_id": keeper} if keeper else machine


# Commands by the field of the message that holds them; a digest is that of the document.
KEEPER_COMMANDS: list[dict[str, Any]] = [
    {"accept_configuration": {"version": 7, "document": configuration(7)}},
    {
        "form_store_group": {
            "initial": [_store(1, "disk-1"), _store(2, "disk-2", "south"), _store(3, "disk-3")]
        }
    },
    {"record_machines": {"machines": [_machine(4, "disk-4", "keeper-4"), _machine(2, "disk-2", "keeper-2")]}},
    {"retire": {"node_name": "core-3", "member_id": "disk-3", "ip": "10.1.0.3", "keeper_id": "keeper-3"}},
    {"retired": {"node_name": "core-3", "member_id": "disk-3", "revision": 2}},
    {"accept_configuration": {"version": 9, "base_version": 7, "document": configuration(9)}},
    {"barrier": {}},
    {"record_machines": {"machines": [_machine(5, "disk-5")]}},
    {"retire": {"node_name": "core-5", "member_id": "disk-5", "ip": "10.1.0.5"}},
    {"retired": {"node_name": "core-5"}},
    {"forget_retired": {"node_name": "core-5", "member_id": "disk-5"}},
    {"retire": {"node_name": "core-2", "member_id": "disk-2", "ip": "10.1.0.2", "keeper_id": "keeper-2"}},
    {"record_machines": {"machines": [_machine(2, "disk-2b", "keeper-2b")]}},
]


def _item(name: str) -> dict[str, Any]:
    return {
        "item_id": name,
        "path": f"/jobs/{name}",
        "headers": {"Model": "m"},
        "body": f"prompt of {name}\u00ff",
        "tokens": 300,
    }


def _job(name: str, *items: str) -> dict[str, Any]:
    return {
        "job_id": name,
        "route": "r-batch",
        "host": "batch.example",
        "completion_target_ms": 8000,
        "retention_ms": 40000,
        "max_attempts": 2,
        "items": [_item(item) for item in items],
        "configuration_version": 7,
    }


def _reference(job: str, item: str) -> dict[str, Any]:
    return {"job_id": job, "item_id": item}


def _result(job: str, item: str, text: str, *, completed: bool) -> dict[str, Any]:
    return {"reference": _reference(job, item), "completed": completed, "text": text}


STORE_COMMANDS: list[dict[str, Any]] = [
    {"accept": {"job": _job("lot-done", "a", "b"), "received_unix_ms": 1_750_000_000_123}},
    {"accept": {"job": _job("lot-open", "c", "d", "e"), "received_unix_ms": 1_750_000_001_456}},
    {"accept": {"job": _job("lot-ended", "f"), "received_unix_ms": 1_750_000_002_789}},
    {"accept": {"job": _job("lot-old", "g"), "received_unix_ms": 1_750_000_003_000}},
    {"failures": {"reference": _reference("lot-open", "d"), "failed_attempts": 1}},
    {
        "results": {
            "results": [
                _result("lot-done", "b", "two\nlines", completed=True),
                _result("lot-open", "e", "attempts", completed=False),
            ]
        }
    },
    {"results": {"results": [_result("lot-done", "a", "one", completed=True)]}},
    {"end": {"job_id": "lot-ended"}},
    {"end": {"job_id": "lot-old"}},
    {"forget": {"job_ids": ["lot-old"]}},
]

COMMANDS = {"keeper": KEEPER_COMMANDS, "store": STORE_COMMANDS}
COMMAND_MESSAGES = {"keeper": "cherrycove.keeper.Command", "store": "cherrycove.batch.BatchCommand"}
TAIL = 1  # commands behind the snapshot


def entries(payloads: list[bytes], members: bytes) -> list[list[Any]]:
    """The log: index, epoch, kind and payload of each entry, all of them committed."""
    kinds = [[0, MEMBERS, members], [3, NOOP, b""], *([3, COMMAND, payload] for payload in payloads)]
    return [[index, *entry] for index, entry in enumerate([*kinds, [5, NOOP, b""]], 1)]


def writes(log: list[list[Any]]) -> list[list[list[Any]]]:
    """The log as it is written: one frame each, at the end an entry that a newer one replaces."""
    lost = [log[-1][0], 3, COMMAND, b"lost"]
    return [log[:1], log[1:3], log[3:6], [*log[6:-1], lost], log[-1:]]


def promises(log: list[list[Any]]) -> list[list[Any]]:
    """Epoch, vote and committed index, written one after the other."""
    return [[3, "first-10.1.0.1", 1], [4, "", 2], [5, "first-10.1.0.2", log[-1][0]]]


def sample(name: str, number: int, kind: str) -> Any:
    """A value of a field, another one for each field of a message."""
    if kind == "string":
        return f"{name} {number}"
    if kind == "bytes":
        return f"{name} \x00\u00ff {number}"
    if kind == "bool":
        return True
    if kind == "double":
        return number + 0.25
    if kind == "enum":
        return 2
    if kind == "uint32":
        return 4_000_000_000 + number
    if kind in ("uint64", "fixed64"):
        return 2**63 + number
    assert kind == "sint64", kind
    return -(2**40) - number
