"""Pulls from the primary controller by long poll, which keep the cluster view of one process up to date."""

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

LONG_POLL_MS = 700  # how long the controller may wait for something newer before it answers
CALL_MARGIN_S = 0.6  # a pull that is not answered so long after its wait has failed
UNREADABLE_BACKOFF_S = 0.3  # an update that cannot be read would otherwise be received again at once

_log = logging.getLogger(__name__)


class Puller:
    """Pulls for as long as its process lives, one call at a time.

    Each program owns one, and with it the task that pulls. While no controller answers, the view stays as it
    is, and the controllers that ``ControllerSelector`` knows are asked in turn.
    """

    def __init__(
        self,
        settings: Settings,
        client: Caller,
        view: ClusterView,
        announce: Callable[[], Announcement],
    ) -> None:
        """``announce`` describes this process at the time of each pull."""
        self._settings = settings
        self._client = client
        self._view = view
        self._announce = announce
        self._updater = ClusterViewUpdater(view)
        self._selector = ControllerSelector(_seeds(settings))
        self._version_log = VersionLog()
        self._contact_log: ContactLog | None = None  # from ``start`` on
        self._task: asyncio.Task[None] | None = None
        self._pull_task: asyncio.Task[None] | None = None
        self._pull_again = False

    async def start(self) -> None:
        """Start to pull."""
        self._contact_log = ContactLog(asyncio.get_running_loop().time())
        self._task = asyncio.create_task(self._run(), name="puller")

    async def stop(self) -> None:
        """Cancel the pull in progress and stop."""
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task
            self._task = None

    def reload(self, settings: Settings) -> None:
        """Take over settings that were read again; the seeds may differ."""
        self._settings = settings
        self._selector.replace_seeds(_seeds(settings))

    def suggest_primary(self, address: str) -> None:
        """Ask the controller at ``address`` next: it is said to lead. No effect while another answers."""
        self._selector.suggest(address, asyncio.get_running_loop().time())

    def remember_controllers(self, addresses: Iterable[str]) -> None:
        """Ask ``addresses`` as well when no other controller knows the primary."""
        self._selector.remember(addresses)

    def known_controllers(self) -> list[str]:
        """Return the addresses of all controllers that this process has heard of."""
        return self._selector.known()

    def announce_now(self) -> None:
        """Cancel the pull that waits and pull again at once, since the announcement changed."""
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
            except Exception:  # noqa: BLE001 -- top of the task: without pulls the process would go stale
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
        # Only the known primary is asked to wait: others answer at once, or are found hanging soon.
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
        """Apply ``reply``; return the pause before the next pull in s."""
        now = asyncio.get_running_loop().time()
        self._selector.record_answer(target)
        self._view.last_contact = now
        self._view.primary_address = target
        if self._contact_log is not None:
            self._contact_log.record_answer(target, now)
        self._apply(reply, now)
        return UNREADABLE_BACKOFF_S if self._updater.has_unreadable else 0.0

    def _apply(self, reply: PullReply, now: float) -> None:
        """Apply the updates of ``reply``, and log which configuration is in force."""
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
        """Note that ``target`` did not answer as the primary; return the pause before the next pull in s."""
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
    """Whether the present task itself was cancelled, not only the one that it awaits."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _seeds(settings: Settings) -> list[str]:
    return _addresses(settings, settings.seed_ips())


def _addresses(settings: Settings, ips: Iterable[str]) -> list[str]:
    """RPC addresses of the controllers at ``ips``."""
    return [settings.peer_address(ip, CONTROLLER_PROGRAM) for ip in ips]
