"""Numbers of the NBD protocol (proto.md, section "Values") and the sizes that this server advertises."""

from __future__ import annotations

from enum import IntEnum, IntFlag
from typing import Final

GREETING_MAGIC: Final = 0x4E42444D41474943  # "NBDMAGIC"
OPTION_MAGIC: Final = 0x49484156454F5054  # "IHAVEOPT"
OPTION_REPLY_MAGIC: Final = 0x0003E889045565A9
REQUEST_MAGIC: Final = 0x25609513
SIMPLE_REPLY_MAGIC: Final = 0x67446698
STRUCTURED_REPLY_MAGIC: Final = 0x668E33EF

OPTION_ERROR_BIT: Final = 1 << 31  # set in the type of each option reply that reports an error
MIN_BLOCK_BYTES: Final = 512  # assumed by clients that do not request block sizes
PREFERRED_BLOCK_BYTES: Final = 4096
MAX_PAYLOAD_BYTES: Final = 64 * 1024
MAX_OPTION_BYTES: Final = 8 * 1024  # limit of an option's data; an export name has at most 4,096 bytes
MAX_OPTIONS: Final = 64  # limit for one handshake


class HandshakeFlag(IntFlag):
    """Flags of the greeting and of the client's reply to it (section "Handshake phase")."""

    FIXED_NEWSTYLE = 1
    NO_ZEROES = 2


class TransmissionFlag(IntFlag):
    """Properties and features of an export (section "Transmission flags")."""

    HAS_FLAGS = 1
    READ_ONLY = 2
    SEND_FLUSH = 4
    SEND_TRIM = 32
    SEND_DF = 128
    CAN_MULTI_CONN = 256


class CommandFlag(IntFlag):
    """Flags of a command (section "Command flags")."""

    DF = 4  # do not fragment the reply


class ReplyFlag(IntFlag):
    """Flags of a structured reply chunk (section "Structured reply flags")."""

    DONE = 1


class Option(IntEnum):
    """Options that a client may send in the handshake (section "Option types")."""

    EXPORT_NAME = 1
    ABORT = 2
    LIST = 3
    INFO = 6
    GO = 7
    STRUCTURED_REPLY = 8


class OptionReplyType(IntEnum):
    """Types of replies to options (section "Option reply types")."""

    ACK = 1
    SERVER = 2
    INFO = 3
    ERR_UNSUP = OPTION_ERROR_BIT + 1
    ERR_INVALID = OPTION_ERROR_BIT + 3
    ERR_UNKNOWN = OPTION_ERROR_BIT + 6
    ERR_SHUTDOWN = OPTION_ERROR_BIT + 7


class InfoType(IntEnum):
    """Types of information about an export (``NBD_REP_INFO`` in section "Option reply types")."""

    EXPORT = 0
    DESCRIPTION = 2
    BLOCK_SIZE = 3


class Command(IntEnum):
    """Request types of the transmission phase (section "Request types")."""

    READ = 0
    WRITE = 1
    DISC = 2
    FLUSH = 3
    TRIM = 4


class ChunkType(IntEnum):
    """Types of structured reply chunks (section "Structured reply types")."""

    NONE = 0
    OFFSET_DATA = 1
    OFFSET_HOLE = 2
    ERROR = (1 << 15) + 1
    ERROR_OFFSET = (1 << 15) + 2


class Errno(IntEnum):
    """Error numbers of replies (section "Error values")."""

    EPERM = 1
    EIO = 5  # failed: the command may have taken effect
    ENOMEM = 12  # rejected: a retry is safe
    EINVAL = 22
    ENOSPC = 28
    EOVERFLOW = 75
    ENOTSUP = 95
    ESHUTDOWN = 108
