"""Fixed inputs from which the files in ``tests/data/tier`` are generated, as plain data.

Messages and fields have the names that the version which wrote the files used; see ``golden_support``.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

COMMAND, NOOP, MEMBERS = 0, 1, 2  # kinds of log entries

GROUP_MEMBERS: dict[str, list[list[str]]] = {
    program: [
        [f"first-10.1.0.{number}", f"core-{number}", f"10.1.0.{number}:{port}", zone]
        for number, zone in ((3, "east"), (1, "north"), (2, "south"))
    ]
    for program, port in (("keeper", 7700), ("store", 7701))
}
EXCLUDED = ["0badd15c0badd15c", "1badd15c1badd15c"]

# The arguments with which the identity of each program's disk is created.
IDENTITY: dict[str, dict[str, Any]] = {
    "keeper": {"first_start": True, "ip": "10.1.0.1", "random_id": "00000000-0000-4000-8000-000000000000"},
    "store": {"first_start": False, "ip": "10.1.0.1", "random_id": "0123456789ab4def8123456789abcdef"},
}


def configuration(version: int) -> str:
    """Returns a small valid configuration in the form in which an operator uploads it."""
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


# Commands, keyed by the field of the command message that holds them. ``golden_support.payloads`` adds the
# digest of the document to ``accept_configuration``.
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
TAIL = 1  # number of commands after the snapshot


def entries(payloads: list[bytes], members: bytes) -> list[list[Any]]:
    """Returns the index, epoch, kind and payload of each log entry; all of them are committed."""
    kinds = [[0, MEMBERS, members], [3, NOOP, b""], *([3, COMMAND, payload] for payload in payloads)]
    return [[index, *entry] for index, entry in enumerate([*kinds, [5, NOOP, b""]], 1)]


def append_batches(log: list[list[Any]]) -> list[list[list[Any]]]:
    """Returns the batches in which the log is written, one frame per batch.

    The last entry of the log overwrites an entry of an older epoch.
    """
    overwritten = [log[-1][0], 3, COMMAND, b"lost"]
    return [log[:1], log[1:3], log[3:6], [*log[6:-1], overwritten], log[-1:]]


def hard_states(log: list[list[Any]]) -> list[list[Any]]:
    """Returns the successive hard states: epoch, vote and commit index."""
    return [[3, "first-10.1.0.1", 1], [4, "", 2], [5, "first-10.1.0.2", log[-1][0]]]


# The topics that a primary keeper publishes, and the calls that a proxy sends to the stores.
MEMBER_LIST: dict[str, Any] = {
    "members": [
        {
            "node_name": "front-1",
            "program": "proxy",
            "ip": "10.1.0.9",
            "zone": "north",
            "region": "land",
            "incarnation": "process-9",
            "arrivals_per_s": {"refunds": 12.5},
            "configuration_version": 7,
            "leaving": True,
        },
        {
            "node_name": "core-1",
            "program": "keeper",
            "ip": "10.1.0.1",
            "group_primary": True,
            "group_epoch": 5,
        },
    ]
}
BROKER_LIST: dict[str, Any] = {
    "brokers": [
        {
            "instance_id": "i-1",
            "service": "ledger",
            "address": "10.2.0.1:8080",
            "zone": "north",
            "capacity_slots": 48,
            "draining": True,
            "warmup_remaining_ms": 1500,
            "version": "v1",
        }
    ]
}

_LEASE_FIELDS = {"proxy": "front-1", "incarnation": "process-9", "routes": ["r-batch"]}


def _report(item: str, **outcome: Any) -> dict[str, Any]:
    sender = {"proxy": "front-1", "incarnation": "process-9", "epoch": 5}
    return {**sender, "reference": _reference("lot-1", item), **outcome}


BATCH_CALLS: list[tuple[str, str, dict[str, Any]]] = [
    ("submit", "SubmitRequest", _job("lot-1", "a", "b", "c")),
    ("submit", "SubmitRequest", _job("lot-2", "a", "a")),
    ("lease", "LeaseRequest", {**_LEASE_FIELDS, "sequence": 1, "capacity": 3}),
    (
        "lease",
        "LeaseRequest",
        {**_LEASE_FIELDS, "sequence": 2, "running": [_reference("lot-1", "a"), _reference("lot-9", "z")]},
    ),
    ("body", "BodyRequest", {"job_id": "lot-1", "item_id": "b"}),
    ("report", "ReportRequest", _report("a", failures_so_far=1)),
    ("report", "ReportRequest", _report("a", completed_text="one\ntwo")),
    ("report", "ReportRequest", _report("b", dead_letter_reason="unprocessable")),
    ("report", "ReportRequest", _report("c", failed_attempts=1)),
    ("report", "ReportRequest", _report("c")),
    ("read", "ReadRequest", {"job_id": "lot-1", "cursor": 1, "wait_ms": 100}),
    ("read", "ReadRequest", {"job_id": "lot-9", "cursor": 0}),
    ("end", "EndRequest", {"job_id": "lot-1"}),
    ("end", "EndRequest", {"job_id": "lot-9"}),
]

# Every key that a settings file may have, each with a distinct value.
COMPLETE_SETTINGS = """\
nodeName: core-1
machineClass: core
ipAddress: 10.1.0.1
zone: north
region: land
internalPortRange: [7700, 7709]
role: a-role
serves: [control_plane, stores]
zones: {core-1: north, core-2: south}
listenAddresses:
  frontend: 10.1.0.1:80
  readiness: 10.1.0.1:81
  controlPlane: 10.1.0.1:82
seedNodes: [10.1.0.1:7600, 10.1.0.2:7600]
firstStart: true
countsForQuorum: true
limits:
  cpuShare: 0.51
  cpuCores: 2.52
  memoryMb: 253.5
  fileDescriptors: 2054
  linkMbps: 955.5
  diskMb: 1056.5
dataDirectory: /var/lib/tier
heartbeatIntervalMs: 901.5
activeContracts: [one, two]
faultTolerance:
  machineFailures: 11
  zones: 12
  regionFailures: 13
bounds:
  seedLagS: 21.5
  addressReuseS: 22.5
  contactMs: 23.5
  acknowledgeMs: 24.5
  catchUpS: 25.5
  drainMs: 26.5
  gracePeriodS: 27.5
  lossSlackMs: 28.5
  configApplyMs: 29.5
  rollbackSlackMs: 30.5
  outerBoundMs: 31.5
  recoveryS: 32.5
  pass_ms: 33.5
  again_s: 34.5
  finishS: 35.5
  statusS: 36.5
  cancelMs: 37.5
  settleMs: 38.5
  quotaOvershoot: 39.5
cloudApi:
  address: 10.9.0.1:99
  ratePerS: 41.5
  duties: [list, launch]
  maxLagMs: 42.5
laterKey: ignored
"""
LEAST_SETTINGS = """\
nodeName: core-1
machineClass: core
ipAddress: 10.1.0.1
zone: north
region: land
internalPortRange: [7700, 7709]
"""

# Every key that a configuration may have, each with a distinct value.
COMPLETE_CONFIGURATION = json.dumps(
    {
        "version": 7,
        "routes": [
            {
                "name": "chat",
                "hostname": "chat.example",
                "pathPrefix": "/chat/",
                "routeKind": "streaming",
                "trafficSplit": [{"service": "s-1", "weight": 0.75}, {"service": "s-2", "weight": 0.25}],
                "timeoutMs": 101.5,
                "targetLatencyMs": 102.5,
                "priority": 3,
                "maxAttempts": 4,
                "sessionAffinity": True,
                "resumable": True,
                "gap_aim_ms": 105.5,
                "maxQueuedTokens": 106.5,
            },
            {
                "name": "jobs",
                "hostname": "batch.example",
                "pathPrefix": "/jobs/",
                "routeKind": "batch",
                "service": "s-2",
                "maxAttempts": 2,
                "completionTargetMs": 107.5,
                "retentionS": 108.5,
            },
        ],
        "services": [
            {
                "name": "s-1",
                "healthCheckPath": "/health",
                "connectionLimit": 201,
                "protocol": "h2",
                "tlsEnabled": True,
                "engine": {"capacitySlots": 202, "kvCacheTokens": 203, "stride": 204},
            },
            {"name": "s-2"},
        ],
        "limits": {
            "maxHeaderBytes": 301,
            "maxBodyBytes": 302,
            "headerTimeoutMs": 303.5,
            "idleTimeoutMs": 304.5,
        },
        "laterKey": "ignored",
    }
)

# The pages of the platform's list of brokers.
PLATFORM_PAGES = [
    json.dumps(
        {
            "instances": [
                {
                    "service": "ledger",
                    "address": "10.2.0.1:8080",
                    "zone": "north",
                    "version": "v1",
                    "capacitySlots": 48,
                    "state": "draining",
                    "warmupRemainingMs": 1500.5,
                    "instanceId": "i-1",
                    "stage": "both",
                },
                {"service": "ledger", "address": "10.2.0.2:8080", "instanceId": "i-2", "state": "ready"},
            ],
            "nextPageToken": "page-2",
        }
    ),
    json.dumps(
        {
            "instances": [{"service": "ledger", "address": "10.2.0.3:8080", "instanceId": "i-3"}],
            "nextPageToken": None,
        }
    ),
]

# Requests of an operator and of clients: method and path, header fields, body.
Requests = list[tuple[str, dict[str, str], str]]
OPERATOR_REQUESTS: Requests = [
    ("GET /api/configuration", {}, ""),
    ("PUT /api/configuration", {"If-Match": '"9"'}, configuration(11)),
    ("GET /api/configuration", {}, ""),
    ("PUT /api/configuration", {"If-Match": "9"}, configuration(12)),
    ("PUT /api/configuration", {}, configuration(12)),
    ("PUT /api/configuration", {"If-Match": "11"}, "{"),
    ("GET /api/retire/core-2", {}, ""),
    ("GET /api/retire/core-3", {}, ""),
    ("GET /api/retire/core-4", {}, ""),
    ("POST /api/retire/core-4", {}, "{}"),
    ("GET /api/retire/core-4", {}, ""),
    ("POST /api/retire/core-9", {}, "{}"),
    ("DELETE /api/retire/core-2", {}, ""),
    ("GET /api/other", {}, ""),
]
_JOB_DOCUMENT = {
    "requests": [
        {
            "instanceId": name,
            "path": f"/jobs/{name}",
            "headers": {"Model": "m"},
            "body": "cHJvbXB0/w==",
            "tokens": 300,
        }
        for name in ("a", "b")
    ]
}
CLIENT_REQUESTS: Requests = [
    ("POST /jobs/1", {"Request-Id": "lot-1", "Deadline-Ms": "2000"}, json.dumps(_JOB_DOCUMENT)),
    ("POST /jobs/1", {}, json.dumps(_JOB_DOCUMENT)),
    ("GET /api/lots/lot-1?pageCursor=0", {"Wait-Ms": "0"}, ""),
    ("GET /api/lots/lot-1?pageCursor=x", {}, ""),
    ("GET /api/items/lot-1?instanceId=b", {}, ""),
    ("GET /api/items/lot-1?instanceId=c", {}, ""),
    ("DELETE /api/lots/lot-1", {}, ""),
    ("GET /api/lots/other?pageCursor=0", {}, ""),
    ("DELETE /api/lots/other", {}, ""),
    ("GET /api/lots/lot-done?pageCursor=0", {}, ""),
    ("GET /api/lots/lot-done?pageCursor=1", {"Wait-Ms": "100"}, ""),
    ("GET /api/lots/lot-open?pageCursor=0", {}, ""),
    ("PUT /jobs/1", {}, ""),
    ("POST /elsewhere", {}, ""),
]

# Commands of the command line with their arguments; DATA stands for the folder of golden files.
COMMAND_LINES = [
    ("storage inspect", "DATA/disk/log/keeper"),
    ("storage inspect", "DATA/disk/snapshot/store"),
    ("storage verify", "DATA/disk/snapshot/keeper"),
    ("storage verify", "DATA/disk/log"),
    ("check settings", "DATA/settings.yaml"),
    ("check settings", "DATA/configuration.json"),
    ("check configuration", "DATA/configuration.json"),
    ("check configuration", "DATA/settings.yaml"),
    ("status", ""),
    ("status", "--keeper 127.0.0.1:1"),
]

PROGRAMS = ("keeper", "store", "proxy")


def program_settings(name: str, internal_port: int, other_port: int, directory: Path) -> str:
    """Returns the settings of a process that shares loopback with others; its keeper is at 127.0.0.2.

    Creates ``directory`` as the data directory.
    """
    directory.mkdir()
    document = {
        "nodeName": f"node-{name}",
        "machineClass": "core",
        "ipAddress": "127.0.0.1",
        "zone": "north",
        "region": "land",
        "internalPortRange": [internal_port, internal_port + 9],
        "seedNodes": [f"127.0.0.2:{other_port}"],
        "firstStart": True,
        "dataDirectory": str(directory),
        "listenAddresses": {
            "frontend": f"127.0.0.1:{other_port + 1}",
            "readiness": f"127.0.0.1:{other_port + 2}",
            "controlPlane": f"127.0.0.1:{other_port + 3}",
        },
        "bounds": {"gracePeriodS": 1.0},
    }
    return json.dumps(document)


def sample(name: str, number: int, kind: str) -> Any:
    """Returns a sample value of a field; fields of a message differ where their protobuf type allows it."""
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
