"""Takes nodes out of service for maintenance, in all processes of a broker and across restarts."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

from cherrycove.broker.core import Core
from cherrycove.broker.event_log import Log
from cherrycove.broker.lifecycle.handover import HandoverEndpoint
from cherrycove.broker.lifecycle.messages import MAX_NODES_OUT, Message

log = Log("cherrycove.upkeep")


class MaintenanceController:
    """Changes the maintenance state in this process, in the maintenance file and in the other process.

    The operator gets a YES only after all three. ``notify_other_process`` returns once the other process has
    acknowledged or could not be reached. A change that cannot be stored is undone and refused, since the next
    process would not know of it.
    """

    def __init__(
        self,
        core: Core,
        endpoint: HandoverEndpoint,
        notify_other_process: Callable[[Message], Awaitable[None]],
    ) -> None:
        self._core, self._endpoint, self._notify_other_process = core, endpoint, notify_other_process

    def load(self) -> None:
        """Apply the maintenance state that the previous process stored."""
        self._core.set_maintenance(self._endpoint.load_maintenance())
        if self._core.maintenance.out:
            log.info("maintenance.out", nodes=" ".join(self._core.maintenance.out))

    async def change(self, node: str, out: bool) -> str:
        """Take a node out of service, or put it back; return the answer to the operator (YES or NO ...)."""
        state = self._core.maintenance
        known = {member.name: member for member in self._core.members}
        if node not in known and node not in state.out:
            return "NO no disk node of this name is in the list"
        goes_out = out and node not in state.out
        if goes_out and len(state.out) >= MAX_NODES_OUT:
            return f"NO {MAX_NODES_OUT} nodes are out, as many as may be"
        at_ms = known[node].since_ms if goes_out else time.time() * 1000
        message = {"maint": node, "at": at_ms, "out": out}
        if not await self.apply(message):
            return "NO it cannot be kept across a restart; the log says why"
        await self._notify_other_process(message)
        log.info("maintenance.changed", node=node, out=out)
        return f"YES {node} is {'out' if out else 'back'}"

    async def apply(self, message: Message) -> bool:
        """Apply a change made in either process; return whether it was stored, otherwise it is undone."""
        async with self._endpoint.maintenance_lock:
            before, node, at_ms = self._core.maintenance, str(message["maint"]), float(message["at"])
            state = (
                before.with_node_out(node, at_ms) if message["out"] else before.with_node_back(node, at_ms)
            )
            # Applied before it is stored: it must take effect 1 s after the call, however slow the disk is.
            self._core.set_maintenance(state)
            stored = await self._endpoint.save_maintenance(state)
            if not stored:
                self._core.set_maintenance(before)
        return stored
