"""Holds the replicated state of the configuration: the newest document and digests of accepted versions."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable
from enum import Enum

from cherrycove.tier.protocol.control_pb2 import ConfigurationDocument
from cherrycove.tier.protocol.keeper_pb2 import AcceptConfiguration, AcceptedVersion

MAX_ACCEPTED_VERSIONS = 4096  # number of accepted versions whose digests are retained


class AcceptOutcome(Enum):
    """Enumerates the outcomes of an ``AcceptConfiguration`` command."""

    ACCEPTED = "accepted"
    ALREADY_ACCEPTED = "already_accepted"  # The same document was accepted earlier under this version.
    BASE_MISMATCH = "base_mismatch"  # The base version is not the current version.
    NOT_NEWER = "not_newer"  # The version is not greater than the current one.
    FORGOTTEN = "forgotten"  # The version's digest is no longer retained, so acceptance is unknown.


def content_digest(body: bytes) -> bytes | None:
    """Return the SHA-256 of the canonical form of the JSON document ``body``; None if it is not JSON.

    Documents that differ only in key order or white space have the same digest.
    """
    try:
        document = json.loads(body)
        canonical = json.dumps(document, sort_keys=True, separators=(",", ":"))
    except (ValueError, RecursionError):
        return None
    return hashlib.sha256(canonical.encode()).digest()


class ConfigurationState:
    """Holds the newest configuration and the digests of the accepted versions.

    Part of ``ControlState``, which alone changes it, by committed commands and snapshots. Every result is a
    function of the commands so far, so all replicas agree. The group's log and snapshots persist it.

    The digests make requests idempotent: an operator whose response was lost can send the same document
    again and gets it acknowledged, whatever was accepted since. The newest ``MAX_ACCEPTED_VERSIONS`` digests
    are retained. Versions are accepted in ascending order, so it is unknown whether a version at or below the
    newest dropped one was accepted.
    """

    def __init__(self) -> None:
        self._document = ConfigurationDocument()
        self._accepted: dict[int, bytes] = {}  # digests by version, in ascending order
        self._forgotten_version = 0

    @property
    def document(self) -> ConfigurationDocument:
        """Return the newest configuration; its version is 0 before the first one."""
        return self._document

    @property
    def forgotten_version(self) -> int:
        """Return the newest version whose digest was dropped; 0 if none was."""
        return self._forgotten_version

    def accepted_versions(self) -> list[AcceptedVersion]:
        """Return the retained digests with their versions, in the order of acceptance."""
        return [AcceptedVersion(version=version, digest=digest) for version, digest in self._accepted.items()]

    def was_accepted(self, digest: bytes, version: int) -> bool:
        """Return whether the document with ``digest`` was accepted under ``version``."""
        return self._accepted.get(version) == digest

    def is_forgotten(self, version: int) -> bool:
        """Return whether ``version`` is too old to tell if it was accepted, and with what content."""
        return version <= self._forgotten_version

    def accept(self, command: AcceptConfiguration) -> AcceptOutcome:
        """Apply ``command``.

        The base version is checked here again: of two commands based on one version, only the first one in
        commit order takes effect.
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
        """Replace the whole state by the content of a snapshot."""
        self._document = document
        self._accepted = {entry.version: entry.digest for entry in accepted}
        self._forgotten_version = forgotten_version

    def _drop_oldest_digests(self) -> None:
        while len(self._accepted) > MAX_ACCEPTED_VERSIONS:
            self._forgotten_version = next(iter(self._accepted))
            del self._accepted[self._forgotten_version]
