"""Codec of the datagrams between brokers: a request for capacity of 24 bytes and its answer of 22.

    request  CF 1 1 sender:u16 incarnation:u32 serial:u32 node:8 units:u16
    loan     CF 1 2 sender:u16 incarnation:u32 to_incarnation:u32 serial:u32 units:u16 wait:u16

Units in sixteenths, waits in milliseconds, integers in network order. Each process draws its incarnation at
its start; an answer to a former incarnation is ignored.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

MAGIC, REQUEST, LOAN = b"CF\x01", 1, 2
HEAD = struct.Struct(">3sBHI")
REQUEST_BODY = struct.Struct(">I8sH")
LOAN_BODY = struct.Struct(">IIHH")
STEPS_PER_UNIT = 16
MAX_U16 = 0xFFFF


class DatagramError(ValueError):
    """Received bytes are no datagram of this form."""


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """A broker asks the lender of a node for capacity."""

    sender: int  # number of the host
    incarnation: int
    serial: int
    node: bytes  # its key
    units: float


@dataclass(frozen=True, slots=True)
class Loan:
    """The lender's answer."""

    sender: int  # number of the host
    incarnation: int
    to_incarnation: int  # of the request
    serial: int  # of the request
    units: float  # 0: nothing is lent
    wait_s: float  # before the node may be asked for again


def pack(message: LoanRequest | Loan) -> bytes:
    """Encode a message; what is lent is rounded down, what is asked for up."""
    if isinstance(message, LoanRequest):
        units = min(-int(-message.units * STEPS_PER_UNIT // 1), MAX_U16)
        head = HEAD.pack(MAGIC, REQUEST, message.sender, message.incarnation)
        return head + REQUEST_BODY.pack(message.serial, message.node, units)
    head = HEAD.pack(MAGIC, LOAN, message.sender, message.incarnation)
    units = min(int(message.units * STEPS_PER_UNIT), MAX_U16)
    wait_ms = min(int(message.wait_s * 1000), MAX_U16)
    return head + LOAN_BODY.pack(message.to_incarnation, message.serial, units, wait_ms)


def parse(data: bytes) -> LoanRequest | Loan:
    """Decode a message; DatagramError if it is malformed."""
    try:
        magic, kind, sender, incarnation = HEAD.unpack_from(data)
        body = data[HEAD.size :]
        if magic == MAGIC and kind == REQUEST:
            serial, node, units = REQUEST_BODY.unpack(body)
            return LoanRequest(sender, incarnation, serial, node, units / STEPS_PER_UNIT)
        if magic == MAGIC and kind == LOAN:
            to_incarnation, serial, units, wait_ms = LOAN_BODY.unpack(body)
            return Loan(sender, incarnation, to_incarnation, serial, units / STEPS_PER_UNIT, wait_ms / 1000)
    except struct.error as error:
        raise DatagramError("it is cut short, or longer than its form") from error
    raise DatagramError("it is of no known form")
