"""NBD, the network block device protocol: the codec, the server for clients and the client of storage nodes.

``_constants`` holds the protocol's numbers, ``_codec`` its messages, ``config`` the operator's settings,
``_validation`` the check of a command against its export, ``_flush_tracking`` the record of unflushed writes,
``client`` the connections to storage nodes, ``_handshake`` and ``_session`` the two phases of a client's
connection, and ``server`` the listener that owns those connections. Each of these modules imports only
modules named before it; other packages import only the names that this package exports.

The package must never send a command to a node without an attempt from the core, reuse a connection on which
a reply is outstanding, reply to a command twice, buffer a payload over the advertised maximum, or advertise
a feature that it does not implement.

Source: https://github.com/NetworkBlockDevice/nbd/blob/master/doc/proto.md; sections are named from it.
"""

from cherrycove.broker.nbd._codec import (
    CommandReply,
    CommandRequest,
    ProtocolError,
    ReplyChunk,
    make_data_chunk,
    make_error_chunk,
    pack_go_data,
    pack_greeting,
    pack_option,
    pack_option_reply,
    pack_simple_reply,
    parse_go_data,
    read_command_request,
    read_fields,
    read_option,
    read_option_reply,
    read_reply,
)
from cherrycove.broker.nbd._constants import (
    MAX_PAYLOAD_BYTES,
    MIN_BLOCK_BYTES,
    PREFERRED_BLOCK_BYTES,
    ChunkType,
    Command,
    Errno,
    HandshakeFlag,
    InfoType,
    Option,
    OptionReplyType,
    ReplyFlag,
    TransmissionFlag,
)
from cherrycove.broker.nbd.client import ConnectionPool
from cherrycove.broker.nbd.config import Export, NbdConfig
from cherrycove.broker.nbd.server import Server

__all__ = [
    "MAX_PAYLOAD_BYTES",
    "MIN_BLOCK_BYTES",
    "PREFERRED_BLOCK_BYTES",
    "ChunkType",
    "Command",
    "CommandReply",
    "CommandRequest",
    "ConnectionPool",
    "Errno",
    "Export",
    "HandshakeFlag",
    "InfoType",
    "NbdConfig",
    "Option",
    "OptionReplyType",
    "ProtocolError",
    "ReplyChunk",
    "ReplyFlag",
    "Server",
    "TransmissionFlag",
    "make_data_chunk",
    "make_error_chunk",
    "pack_go_data",
    "pack_greeting",
    "pack_option",
    "pack_option_reply",
    "pack_simple_reply",
    "parse_go_data",
    "read_command_request",
    "read_fields",
    "read_option",
    "read_option_reply",
    "read_reply",
]
