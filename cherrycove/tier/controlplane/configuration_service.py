"""Validates configuration changes sent by operators and commits them, one at a time."""

from __future__ import annotations

import asyncio
import logging
from contextlib import AbstractAsyncContextManager

from result import Err, Ok, Result

from cherrycove.tier.configuration import parse_configuration
from cherrycove.tier.controlplane.barrier_proposer import BarrierProposer
from cherrycove.tier.controlplane.configuration_state import AcceptOutcome, content_digest
from cherrycove.tier.controlplane.exclusive_access import exclusive_access
from cherrycove.tier.controlplane.leadership import Leadership
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.control_pb2 import ConfigurationDocument
from cherrycove.tier.protocol.keeper_pb2 import AcceptConfiguration, Command
from cherrycove.tier.replication.interface import Group

DECISION_TIMEOUT_S = 2.0  # time limit of a change, after which its outcome is reported as uncertain
MAX_VERSION = 2**63 - 1  # versions are transferred as signed 64-bit integers

_log = logging.getLogger(__name__)


class ConfigurationService:
    """Serializes the changes, so that of two changes based on one version the second sees the first one.

    Owned by the ``Controller``. Every change is a command to the replicated state machine; the service
    modifies no state itself. Only the confirmed primary decides, and leadership is checked again after every
    wait. After a change with an uncertain outcome, a barrier is committed before the next decision: by then
    the change has either taken effect or never will. docs/design/control-plane.md describes the states of a
    change.
    """

    def __init__(self, group: Group, state: ControlState, leadership: Leadership) -> None:
        """Commit to ``group``, the group of the controllers; ``state`` is its state machine."""
        self._proposer = BarrierProposer(group)
        self._state = state
        self._leadership = leadership
        self._lock = asyncio.Lock()

    def current(self) -> Result[ConfigurationDocument, Failure]:
        """Return the newest configuration, or NOT_FOUND if none was accepted yet.

        The caller must have checked that this controller is the confirmed primary.
        """
        configuration = self._state.configuration
        if not configuration.version:
            return Err(Failure(ErrorKind.NOT_FOUND, "no configuration was taken yet"))
        return Ok(configuration)

    async def put(self, body: bytes, base_version: int) -> Result[None, Failure]:
        """Commit ``body`` as the successor of the configuration ``base_version``.

        Returns Ok if ``body`` is committed now or was committed earlier. INVALID and VERSION_MISMATCH are
        final errors. After NOT_PRIMARY and UNAVAILABLE the request may be sent again: this call committed
        nothing, although an identical earlier one may have. After DEADLINE the outcome is unknown.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + DECISION_TIMEOUT_S
        async with self._exclusive_access(DECISION_TIMEOUT_S) as acquired:
            if not acquired:
                return Err(Failure(ErrorKind.UNAVAILABLE, "earlier changes are still being decided"))
            resolved = await self._proposer.resolve(deadline - loop.time())
            if isinstance(resolved, Err):
                return resolved
            command = self._check(body, base_version)
            if isinstance(command, Err):
                return command
            if command.ok_value is None:
                return Ok(None)
            return await self._commit(command.ok_value, deadline - loop.time())

    def _exclusive_access(self, timeout_s: float) -> AbstractAsyncContextManager[bool]:
        """Hold the lock; yields False if it was not acquired within ``timeout_s``."""
        return exclusive_access(self._lock, asyncio.get_running_loop().time() + timeout_s)

    def _check(self, body: bytes, base_version: int) -> Result[AcceptConfiguration | None, Failure]:
        """Return the command to commit, or None if this document is already committed under its version.

        Must not await anything: leadership is checked first and must still hold for every result.
        """
        if not self._leadership.is_confirmed_primary():
            return Err(self._leadership.not_primary_failure())
        parsed = parse_configuration(body)
        digest = content_digest(body)
        if isinstance(parsed, Err):
            return parsed
        version = parsed.ok_value.version
        if digest is None or version > MAX_VERSION:
            return Err(Failure(ErrorKind.INVALID, "version: too large"))
        if self._state.was_accepted(digest, version):
            return Ok(None)
        if self._state.is_forgotten(version):
            return Err(_forgotten(version))
        current = self._state.configuration.version
        if base_version != current:
            return Err(_mismatch(base_version, current))
        if version <= current:
            return Err(_not_newer(version, current))
        return Ok(
            AcceptConfiguration(version=version, base_version=base_version, document=body, digest=digest)
        )

    async def _commit(self, command: AcceptConfiguration, timeout_s: float) -> Result[None, Failure]:
        if timeout_s <= 0:
            return Err(Failure(ErrorKind.UNAVAILABLE, "no time left to decide"))
        outcome = await self._proposer.propose(Command(accept_configuration=command), timeout_s)
        if isinstance(outcome, Err):
            return Err(self._uncommitted(outcome.err_value))
        return self._committed(command, outcome.ok_value)

    def _uncommitted(self, failure: Failure) -> Failure:
        """Return the error for a change whose proposal failed; it is never a final one."""
        if failure.kind is ErrorKind.NOT_PRIMARY:
            return self._leadership.not_primary_failure()
        if not failure.had_no_effect:
            return Failure(ErrorKind.DEADLINE, failure.detail)
        return Failure(ErrorKind.UNAVAILABLE, failure.detail)

    def _committed(self, command: AcceptConfiguration, outcome: object) -> Result[None, Failure]:
        """Return the result of a change whose command was applied with ``outcome``."""
        current = self._state.configuration.version
        if outcome is AcceptOutcome.BASE_MISMATCH:
            return Err(_mismatch(command.base_version, current))
        if outcome is AcceptOutcome.NOT_NEWER:
            return Err(_not_newer(command.version, current))
        if outcome is AcceptOutcome.FORGOTTEN:
            return Err(_forgotten(command.version))
        if outcome is AcceptOutcome.ACCEPTED:
            _log.info("configuration_accepted", extra={"version": command.version})
        return Ok(None)


def _mismatch(base_version: int, current: int) -> Failure:
    return Failure(ErrorKind.VERSION_MISMATCH, f"builds on version {base_version}, but {current} is current")


def _not_newer(version: int, current: int) -> Failure:
    return Failure(ErrorKind.INVALID, f"version: {version} is not above the current {current}")


def _forgotten(version: int) -> Failure:
    """Return DEADLINE, which leaves the outcome open: this content may have been accepted earlier."""
    return Failure(ErrorKind.DEADLINE, f"version: {version} is too old to tell whether it was taken")
