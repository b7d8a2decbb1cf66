"""The configuration in the controllers' replicated state: newest document and accepted versions."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable
from enum import Enum

from cherrycove.tier.protocol.control_pb2 import ConfigurationDocument
from cherrycove.tier.protocol.keeper_pb2 import AcceptConfiguration, AcceptedVersion

MAX_ACCEPTED_VERSIONS = 4096  # accepted versions whose digests are kept


class AcceptOutcome(Enum):
    """The effect of an ``AcceptConfiguration`` command."""

    ACCEPTED = "accepted"
    ALREADY_ACCEPTED = "already_accepted"  # exactly this document was accepted earlier
    BASE_MISMATCH = "base_mismatch"  # another version is current
    NOT_NEWER = "not_newer"  # its version is not above the current one
    FORGOTTEN = "forgotten"  # too old to tell whether it was accepted


def content_digest(body: bytes) -> bytes | None:
    """Return the SHA-256 of the JSON content of ``body``, equal for equal content; None if it is not JSON."""
    try:
        document = json.loads(body)
        canonical = json.dumps(document, sort_keys=True, separators=(",", ":"))
    except (ValueError, RecursionError):
        return None
    return hashlib.sha256(canonical.encode()).digest()


class ConfigurationState:
    """The newest configuration, and digests of the accepted versions.

    Part of ``ControlState``, which alone changes it, by committed commands and snapshots. Pure: every result
    is a function of the commands so far, so all replicas agree. Survives a crash in the group's log and
    snapshots.

    A digest lets an operator repeat an order whose answer was lost: the same document is acknowledged again,
    whatever was accepted since. The newest ``MAX_ACCEPTED_VERSIONS`` digests are kept. Versions are accepted
    in rising order, so a version at or below the newest one dropped may or may not have been accepted.
    """

    def __init__(self) -> None:
        self._document = ConfigurationDocument()
        self._accepted: dict[int, bytes] = {}  # digests by version, in rising order
        self._forgotten_version = 0

    @property
    def document(self) -> ConfigurationDocument:
        """The newest configuration; version 0 before the first."""
        return self._document

    @property
    def forgotten_version(self) -> int:
        """The newest version whose digest was dropped; 0 before the first."""
        return self._forgotten_version

    def accepted_versions(self) -> list[AcceptedVersion]:
        """Return the kept digests with their versions, in the order of acceptance."""
        return [AcceptedVersion(version=version, digest=digest) for version, digest in self._accepted.items()]

    def was_accepted(self, digest: bytes, version: int) -> bool:
        """Whether exactly the document with ``digest`` was accepted under ``version``."""
        return self._accepted.get(version) == digest

    def is_forgotten(self, version: int) -> bool:
        """Whether ``version`` is too old to tell if it was accepted, and with what content."""
        return version <= self._forgotten_version

    def accept(self, command: AcceptConfiguration) -> AcceptOutcome:
        """Apply ``command``.

        Its base version is checked here again: of two commands built on one version, only the first in commit
        order takes effect.
        """
        if self.was_accepted(command.digest, command.version):
            return AcceptOutcome.ALREADY_ACCEPTED
        if self.is_forgotten(command.version):
            return AcceptOutcome.FORGOTTEN
        if command.base_version != self._document.version:
            return AcceptOutcome.BASE_MISMATCH
        if command.version <= self._document.version:
            return AcceptOutcome.NOT_NEWER
        self._document = ConfigurationDocument(version=command.version, document=command.document)
        self._accepted[command.version] = command.digest
        self._drop_oldest_digests()
        return AcceptOutcome.ACCEPTED

    def restore(
        self, document: ConfigurationDocument, accepted: Iterable[AcceptedVersion], forgotten_version: int
    ) -> None:
        """Replace everything by the content of a snapshot."""
        self._document = document
        self._accepted = {entry.version: entry.digest for entry in accepted}
        self._forgotten_version = forgotten_version

    def _drop_oldest_digests(self) -> None:
        while len(self._accepted) > MAX_ACCEPTED_VERSIONS:
            self._forgotten_version = next(iter(self._accepted))
            del self._accepted[self._forgotten_version]
