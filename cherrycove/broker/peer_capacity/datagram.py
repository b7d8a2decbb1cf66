"""Codec of the datagrams between brokers: a request for capacity of 24 bytes and its answer of 22.

    request  CF 1 1 sender:u16 incarnation:u32 serial:u32 node:8 units:u16
    loan     CF 1 2 sender:u16 incarnation:u32 to_incarnation:u32 serial:u32 units:u16 wait:u16

Units are encoded in sixteenths, waits in milliseconds, and integers in network byte order. Each process draws
a random incarnation number at its start; an answer to an earlier incarnation is ignored.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

MAGIC, REQUEST, LOAN = b"CF\x01", 1, 2
HEADER = struct.Struct(">3sBHI")
REQUEST_BODY = struct.Struct(">I8sH")
LOAN_BODY = struct.Struct(">IIHH")
ENCODED_STEPS_PER_UNIT = 16
MAX_U16 = 0xFFFF


class DatagramError(ValueError):
    """The received bytes are not a valid datagram."""


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """A broker asks the lender of a node for capacity."""

    sender: int  # index of the sending host
    incarnation: int
    serial: int
    node: bytes  # the node's key
    units: float


@dataclass(frozen=True, slots=True)
class Loan:
    """The lender answers a request for capacity."""

    sender: int  # index of the sending host
    incarnation: int
    to_incarnation: int  # incarnation of the broker that sent the request
    serial: int  # serial of the request
    units: float  # 0 if nothing is lent
    wait_s: float  # time before capacity of the node may be requested again


def pack(message: LoanRequest | Loan) -> bytes:
    """Encode a message; lent units are rounded down, requested units up."""
    if isinstance(message, LoanRequest):
        units = min(-int(-message.units * ENCODED_STEPS_PER_UNIT // 1), MAX_U16)
        header = HEADER.pack(MAGIC, REQUEST, message.sender, message.incarnation)
        return header + REQUEST_BODY.pack(message.serial, message.node, units)
    header = HEADER.pack(MAGIC, LOAN, message.sender, message.incarnation)
    units = min(int(message.units * ENCODED_STEPS_PER_UNIT), MAX_U16)
    wait_ms = min(int(message.wait_s * 1000), MAX_U16)
    return header + LOAN_BODY.pack(message.to_incarnation, message.serial, units, wait_ms)


def parse(data: bytes) -> LoanRequest | Loan:
    """Decode a message; DatagramError if it is malformed."""
    try:
        magic, kind, sender, incarnation = HEADER.unpack_from(data)
        body = data[HEADER.size :]
        if magic == MAGIC and kind == REQUEST:
            serial, node, units = REQUEST_BODY.unpack(body)
            return LoanRequest(sender, incarnation, serial, node, units / ENCODED_STEPS_PER_UNIT)
        if magic == MAGIC and kind == LOAN:
            to_incarnation, serial, units, wait_ms = LOAN_BODY.unpack(body)
            return Loan(
                sender, incarnation, to_incarnation, serial, units / ENCODED_STEPS_PER_UNIT, wait_ms / 1000
            )
    except struct.error as error:
        raise DatagramError("the length does not match the kind of the datagram") from error
    raise DatagramError("unknown magic bytes or kind of datagram")
