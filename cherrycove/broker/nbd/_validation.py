"""Validates commands against their export (proto.md, "Request types" and "Block size constraints")."""

from __future__ import annotations

from cherrycove.broker.nbd._codec import CommandRequest
from cherrycove.broker.nbd._constants import (
    MAX_PAYLOAD_BYTES,
    MIN_BLOCK_BYTES,
    Command,
    CommandFlag,
    Errno,
)
from cherrycove.broker.nbd.config import Export

_COMMANDS = frozenset(map(int, Command))
_MODIFYING_COMMANDS = (Command.WRITE, Command.TRIM)


def validate_command(request: CommandRequest, export: Export, *, structured: bool) -> Errno | None:
    """Return the error with which a command is rejected before it is executed; None if it is valid."""
    if request.command not in _COMMANDS or _has_unknown_flags(request, structured=structured):
        return Errno.EINVAL
    if request.command == Command.FLUSH:
        has_range = request.offset or request.length
        return Errno.EINVAL if has_range or export.read_only else None
    if export.read_only and request.command in _MODIFYING_COMMANDS:
        return Errno.EPERM
    if not _is_size_allowed(request):
        return Errno.EINVAL
    if request.offset + request.length > export.size:
        return Errno.ENOSPC if request.command == Command.WRITE else Errno.EINVAL
    return None


def _has_unknown_flags(request: CommandRequest, *, structured: bool) -> bool:
    allowed = int(CommandFlag.DF) if structured and request.command == Command.READ else 0
    return bool(request.flags & ~allowed)


def _is_size_allowed(request: CommandRequest) -> bool:
    if not request.length:
        return False
    if request.length > MAX_PAYLOAD_BYTES and request.command != Command.TRIM:
        return False
    return not (request.offset % MIN_BLOCK_BYTES or request.length % MIN_BLOCK_BYTES)
