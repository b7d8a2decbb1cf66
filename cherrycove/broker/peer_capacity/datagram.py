"""The datagrams of the fleet: an ask for room on a cold node, and its answer. Fixed forms of 24 and 22 bytes.

    ask    CF 1 1 sender:u16 life:u32 serial:u32 node:8 units:u16
    loan   CF 1 2 sender:u16 life:u32 to_life:u32 serial:u32 units:u16 wait:u16

Units in sixteenths, waits in milliseconds, integers in network order. ``life`` is drawn by each process at
its start: an answer to a former life is nobody's.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

MAGIC, ASK, LOAN = b"CF\x01", 1, 2
HEAD = struct.Struct(">3sBHI")
ASK_BODY = struct.Struct(">I8sH")
LOAN_BODY = struct.Struct(">IIHH")
UNIT = 16
MOST = 0xFFFF


class DatagramError(ValueError):
    """What has come is no datagram of this form."""


@dataclass(frozen=True, slots=True)
class Ask:
    sender: int  # the host's number
    life: int
    serial: int
    node: bytes  # its key
    units: float


@dataclass(frozen=True, slots=True)
class Loan:
    sender: int
    life: int
    to_life: int
    serial: int
    units: float  # 0: none
    wait: float  # s before the node may be asked for again


def pack(message: Ask | Loan) -> bytes:
    """What is lent is rounded down, what is asked for up."""
    if isinstance(message, Ask):
        units = min(-int(-message.units * UNIT // 1), MOST)
        return HEAD.pack(MAGIC, ASK, message.sender, message.life) + ASK_BODY.pack(
            message.serial, message.node, units
        )
    return HEAD.pack(MAGIC, LOAN, message.sender, message.life) + LOAN_BODY.pack(
        message.to_life,
        message.serial,
        min(int(message.units * UNIT), MOST),
        min(int(message.wait * 1000), MOST),
    )


def parse(data: bytes) -> Ask | Loan:
    """A datagram, or DatagramError. Source: this page's own form, above."""
    try:
        magic, kind, sender, life = HEAD.unpack_from(data)
        rest = data[HEAD.size :]
        if magic == MAGIC and kind == ASK:
            serial, node, units = ASK_BODY.unpack(rest)
            return Ask(sender, life, serial, node, units / UNIT)
        if magic == MAGIC and kind == LOAN:
            to_life, serial, units, wait = LOAN_BODY.unpack(rest)
            return Loan(sender, life, to_life, serial, units / UNIT, wait / 1000)
    except struct.error:
        raise DatagramError("it is cut short, or longer than its form") from None
    raise DatagramError("it is of no known form")
