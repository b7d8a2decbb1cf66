"""Writes the golden data of the storage broker, tests/data/broker/, from fixed samples and seeds.

PYTHONPATH=. python tests/make_golden_broker.py [FOLDER]     # from the repository's root

The committed data were written before the names in the code changed; whoever runs this again must get the
same bytes (tests/test_golden_broker.py compares them). A difference is a change of behaviour.
"""

from __future__ import annotations

import json
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

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


FILES: dict[str, Callable[[], bytes | str]] = {
    "n1.memory": memory,
    "memory-read.json": lambda: memory_read(memory()),
    "maintenance.json": maintenance,
    "messages.json": messages,
    "written.json": written,
    "store.txt": store,
    "consul.json": consul,
}


def main(folder: Path) -> None:
    """Write all files into this folder."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, make in FILES.items():
        made = make()
        (folder / name).write_bytes(made.encode() if isinstance(made, str) else made)


if __name__ == "__main__":
    main(Path(sys.argv[1]) if len(sys.argv) > 1 else golden.DATA)
