"""Which nodes staff have taken out, kept across processes and lives.

It owns the change of that state: here, in the file, at the other process, and only then a yes. It must never
say yes to what the next process would not know.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

from cherrycove.broker.core import Core
from cherrycove.broker.event_log import Log
from cherrycove.broker.lifecycle.handover import MOST_OUT, HandoverEndpoint, Message

log = Log("cherrycove.upkeep")


class MaintenanceController:
    """``tell`` tells the other process, and is done when that has taken it in or could not be reached."""

    def __init__(
        self, core: Core, place: HandoverEndpoint, tell: Callable[[Message], Awaitable[None]]
    ) -> None:
        self._core, self._place, self._tell = core, place, tell

    def load(self) -> None:
        """Who was out when the last process ended."""
        self._core.maintain(self._place.load())
        if self._core.maintenance.out:
            log.info("maintenance.out", nodes=" ".join(self._core.maintenance.out))

    async def change(self, node: str, out: bool) -> str:
        """Take a node out or put it back; the answer to whoever asked."""
        state, known = self._core.maintenance, {member.name: member for member in self._core.members}
        if node not in known and node not in state.out:
            return "NO no disk node of this name is in the list"
        if out and node not in state.out and len(state.out) >= MOST_OUT:
            return f"NO {MOST_OUT} nodes are out, as many as may be"
        changed = {"maint": node, "at": time.time() * 1000, "out": out}
        if out and node not in state.out:
            changed["at"] = known[node].since_ms
        if not await self.apply(changed):
            return "NO it cannot be kept across a restart; the log says why"
        await self._tell(changed)
        log.info("maintenance.changed", node=node, out=out)
        return f"YES {node} is {'out' if out else 'back'}"

    async def apply(self, changed: Message) -> bool:
        async with self._place.changing:
            before, node, at = self._core.maintenance, str(changed["maint"]), float(changed["at"])
            state = before.taking_out(node, at) if changed["out"] else before.putting_back(node, at)
            self._core.maintain(state)  # Guard: it binds from 1 s after the call, however long a disk takes
            kept = await self._place.save(state)
            if not kept:
                self._core.maintain(before)
        return kept
