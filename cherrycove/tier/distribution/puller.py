"""Keeps the cluster view of a process up to date by long polling the primary controller."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from contextlib import suppress

from result import Ok

from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.distribution.cluster_view_updater import ClusterViewUpdater
from cherrycove.tier.distribution.contact_log import ContactLog, VersionLog
from cherrycove.tier.distribution.controller_selector import MAX_BACKOFF_S, ControllerSelector
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.program_names import CONTROLLER_PROGRAM
from cherrycove.tier.protocol.calls import Caller
from cherrycove.tier.protocol.control_methods import PULL
from cherrycove.tier.protocol.control_pb2 import Announcement, PullReply, PullRequest
from cherrycove.tier.settings import Settings

LONG_POLL_MS = 700  # time for which the controller may wait for an update before it answers
CALL_MARGIN_S = 0.6  # time after the end of the wait after which an unanswered pull has failed
UNREADABLE_BACKOFF_S = 0.3  # avoids receiving an update that cannot be parsed again immediately

_log = logging.getLogger(__name__)


class Puller:
    """Pulls continuously while its process runs, one call at a time.

    Each program owns one, which in turn owns the pulling task. While no controller answers, the view stays
    unchanged, and the controllers that ``ControllerSelector`` knows are asked in turn.
    """

    def __init__(
        self,
        settings: Settings,
        client: Caller,
        view: ClusterView,
        announce: Callable[[], Announcement],
    ) -> None:
        """``announce`` returns this process's announcement and is called for each pull."""
        self._settings = settings
        self._client = client
        self._view = view
        self._announce = announce
        self._updater = ClusterViewUpdater(view)
        self._selector = ControllerSelector(_seeds(settings))
        self._version_log = VersionLog()
        self._contact_log: ContactLog | None = None  # set by ``start``
        self._task: asyncio.Task[None] | None = None
        self._pull_task: asyncio.Task[None] | None = None
        self._pull_again = False

    async def start(self) -> None:
        """Start the pulling task."""
        self._contact_log = ContactLog(asyncio.get_running_loop().time())
        self._task = asyncio.create_task(self._run(), name="puller")

    async def stop(self) -> None:
        """Cancel the pull in progress and stop the pulling task."""
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task
            self._task = None

    def reload(self, settings: Settings) -> None:
        """Use reloaded ``settings``, whose seeds may differ."""
        self._settings = settings
        self._selector.replace_seeds(_seeds(settings))

    def suggest_primary(self, address: str) -> None:
        """Ask ``address``, the probable primary, next; no effect while another controller answers."""
        self._selector.suggest(address, asyncio.get_running_loop().time())

    def add_known_controllers(self, addresses: Iterable[str]) -> None:
        """Ask ``addresses`` as well when no other controller knows the primary."""
        self._selector.add_known(addresses)

    def known_controllers(self) -> list[str]:
        """Return the addresses (host:port) of all controllers that this process knows of."""
        return self._selector.known()

    def announce_now(self) -> None:
        """Cancel the waiting pull and pull again immediately, because the announcement has changed."""
        if self._pull_task is not None:
            self._pull_again = True
            self._pull_task.cancel()

    async def _run(self) -> None:
        while True:
            pull = asyncio.create_task(self._pull_once())
            self._pull_task = pull
            try:
                await pull
            except asyncio.CancelledError:
                if not self._pull_again or _is_cancelled():
                    pull.cancel()
                    raise
            except Exception:  # noqa: BLE001 -- top level of the task: without pulls the view would become stale
                _log.exception("pull_failed")
                await asyncio.sleep(MAX_BACKOFF_S)
            finally:
                self._pull_task = None
                self._pull_again = False

    async def _pull_once(self) -> None:
        target = self._selector.target()
        if not target:
            await asyncio.sleep(MAX_BACKOFF_S)
            return
        # Only the known primary is asked to wait. Others answer at once, so a hanging one is detected soon.
        wait_ms = LONG_POLL_MS if self._selector.is_known_primary(target) else 0
        request = PullRequest(
            announcement=self._announce(), versions=self._updater.versions.messages(), wait_ms=wait_ms
        )
        outcome = await self._client.call(target, PULL, request, wait_ms / 1000.0 + CALL_MARGIN_S)
        if isinstance(outcome, Ok):
            await asyncio.sleep(self._handle_reply(target, outcome.ok_value))
        else:
            await asyncio.sleep(self._handle_failure(target, outcome.err_value))

    def _handle_reply(self, target: str, reply: PullReply) -> float:
        """Apply ``reply``; return the pause in s before the next pull."""
        now = asyncio.get_running_loop().time()
        self._selector.record_answer(target)
        self._view.last_contact = now
        self._view.primary_address = target
        if self._contact_log is not None:
            self._contact_log.record_answer(target, now)
        self._apply(reply, now)
        return UNREADABLE_BACKOFF_S if self._updater.has_unreadable else 0.0

    def _apply(self, reply: PullReply, now: float) -> None:
        """Apply the updates of ``reply``, and log the version of the active configuration."""
        version_before = self._configuration_version()
        if self._updater.apply(reply.updates):
            self._selector.replace_discovered(self._controller_addresses())
        version = self._configuration_version()
        if version != version_before:
            self._version_log.record(version, now)
        else:
            self._version_log.flush(now)

    def _configuration_version(self) -> int:
        configuration = self._view.configuration
        return 0 if configuration is None else configuration.version

    def _handle_failure(self, target: str, failure: Failure) -> float:
        """Record that ``target`` did not answer as primary; return the pause in s before the next pull."""
        now = asyncio.get_running_loop().time()
        if self._contact_log is not None:
            self._contact_log.record_failure(target, failure.kind.value, now)
        if failure.kind is ErrorKind.NOT_PRIMARY:
            return self._selector.record_not_primary(target, failure.primary, now)
        if target == self._view.primary_address:
            self._view.primary_address = ""
        return self._selector.record_failure(target, now)

    def _controller_addresses(self) -> list[str]:
        ips = [member.ip for member in self._view.members if member.program == CONTROLLER_PROGRAM]
        return _addresses(self._settings, ips)


def _is_cancelled() -> bool:
    """Return whether the current task itself was cancelled, not only the one that it awaits."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _seeds(settings: Settings) -> list[str]:
    return _addresses(settings, settings.seed_ips())


def _addresses(settings: Settings, ips: Iterable[str]) -> list[str]:
    """Return the RPC addresses of the controllers at ``ips``."""
    return [settings.peer_address(ip, CONTROLLER_PROGRAM) for ip in ips]
