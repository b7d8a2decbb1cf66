"""Keeps the views of one process as new as the primary keeper's, by long-poll pulls."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from contextlib import suppress

from result import Err, Ok

from cherrycove.tier.configuration import parse_configuration
from cherrycove.tier.distribution.cluster_view import Broker, ClusterView
from cherrycove.tier.distribution.controller_selector import MAX_BACKOFF_S, ControllerSelector
from cherrycove.tier.distribution.topics import VersionVector
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.calls import Caller
from cherrycove.tier.protocol.control_methods import PULL
from cherrycove.tier.protocol.control_pb2 import (
    Announcement,
    BrokerEntry,
    PullReply,
    PullRequest,
    TopicUpdate,
)
from cherrycove.tier.settings import Settings

LONG_POLL_MS = 700  # how long the keeper may hold a pull
CALL_MARGIN_S = 0.6  # after the wait, an unanswered pull is given up
UNREADABLE_BACKOFF_S = 0.3  # an update that cannot be read would otherwise come back at once

_log = logging.getLogger(__name__)


class ClusterViewUpdater:
    """Applies updates of topics to the views. Within one life no topic goes back.

    The vector tells what the views hold: it advances with an update that was applied and with no other, so
    one that could not be read comes again with every pull until it, or a newer one, can be."""

    def __init__(self, views: ClusterView) -> None:
        self._views = views
        self.vector = VersionVector()
        self.has_unreadable = False  # the last updates held one that is newer and could not be read

    def apply(self, updates: list[TopicUpdate]) -> bool:
        """Take over each update that is newer than what the views hold; tell whether there was one."""
        newer = [update for update in updates if self.vector.is_newer(update.version)]
        taken = [update for update in newer if self._apply_one(update)]
        for update in taken:
            self.vector.advance(update.version)
        if taken:
            self._views.changed()
        self.has_unreadable = len(taken) < len(newer)
        return bool(taken)

    def _apply_one(self, update: TopicUpdate) -> bool:
        """Whether the views hold ``update`` now."""
        body = update.WhichOneof("body")
        if body == "configuration":
            return self._apply_configuration(update)
        if body == "brokers":
            self._views.brokers = tuple(_broker(entry) for entry in update.brokers.brokers)
        elif body == "members":
            self._views.members = tuple(update.members.members)
        elif body == "store_group":
            self._views.store_group = update.store_group
        return body is not None

    def _apply_configuration(self, update: TopicUpdate) -> bool:
        document = update.configuration
        parsed = parse_configuration(document.document)
        if isinstance(parsed, Err):
            _log.error("configuration_unreadable", extra={"reason": parsed.err_value.detail})
            return False
        current = self._views.configuration
        version = parsed.ok_value.version
        if version != update.version.sequence or (current is not None and version < current.version):
            _log.error("configuration_misnumbered", extra={"version": version})
            return False
        self._views.configuration = parsed.ok_value
        self._views.document = document.document
        _log.info("configuration_in_force", extra={"version": version})
        return True


def _is_cancelled() -> bool:
    """Whether the present task itself was cancelled, not only what it waits for."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _seeds(settings: Settings) -> list[str]:
    return [settings.peer_address(ip, "keeper") for ip in settings.seed_ips()]


def _broker(entry: BrokerEntry) -> Broker:
    return Broker(
        instance_id=entry.instance_id,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        capacity_slots=entry.capacity_slots,
        draining=entry.draining,
        warmup_remaining_ms=entry.warmup_remaining_ms,
        version=entry.version,
    )


class Puller:
    """One task that pulls for as long as the process lives."""

    def __init__(
        self,
        settings: Settings,
        client: Caller,
        views: ClusterView,
        announce: Callable[[], Announcement],
    ) -> None:
        """``announce`` describes this process at the time of each pull."""
        self._settings = settings
        self._client = client
        self._views = views
        self._announce = announce
        self._updater = ClusterViewUpdater(views)
        self._selector = ControllerSelector(_seeds(settings))
        self._task: asyncio.Task[None] | None = None
        self._pull_task: asyncio.Task[None] | None = None
        self._pull_again = False

    async def start(self) -> None:
        self._task = asyncio.create_task(self._run(), name="puller")

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task
            self._task = None

    def reload(self, settings: Settings) -> None:
        """The settings were read again; the seeds may differ."""
        self._settings = settings
        self._selector.replace_seeds(_seeds(settings))

    def announce_now(self) -> None:
        """Give up the pull that is held and pull again at once, since the announcement changed."""
        if self._pull_task is not None:
            self._pull_again = True
            self._pull_task.cancel()

    async def _run(self) -> None:
        while True:
            call = asyncio.create_task(self._pull_once())
            self._pull_task = call
            try:
                await call
            except asyncio.CancelledError:
                if not self._pull_again or _is_cancelled():
                    call.cancel()
                    raise
            except Exception:
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
        wait_ms = (
            LONG_POLL_MS if self._selector.is_known_primary(target) else 0
        )  # a keeper that hangs costs little time
        request = PullRequest(
            announcement=self._announce(), versions=self._updater.vector.messages(), wait_ms=wait_ms
        )
        outcome = await self._client.call(target, PULL, request, wait_ms / 1000.0 + CALL_MARGIN_S)
        if isinstance(outcome, Ok):
            await asyncio.sleep(self._handle_reply(target, outcome.ok_value))
        else:
            await asyncio.sleep(self._handle_failure(target, outcome.err_value))

    def _handle_reply(self, target: str, reply: PullReply) -> float:
        """Take ``reply`` over; returns the pause in s."""
        self._selector.record_answer(target)
        self._views.last_contact = asyncio.get_running_loop().time()
        self._views.primary_address = target
        if self._updater.apply(list(reply.updates)):
            self._selector.replace_discovered(self._controller_addresses())
        return UNREADABLE_BACKOFF_S if self._updater.has_unreadable else 0.0

    def _handle_failure(self, target: str, failure: Failure) -> float:
        now = asyncio.get_running_loop().time()
        if failure.kind is ErrorKind.NOT_PRIMARY:
            return self._selector.record_not_primary(target, failure.primary, now)
        if target == self._views.primary_address:
            self._views.primary_address = ""
        return self._selector.record_failure(target, now)

    def _controller_addresses(self) -> list[str]:
        keepers = [member.ip for member in self._views.members if member.program == "keeper"]
        return [self._settings.peer_address(ip, "keeper") for ip in keepers]
