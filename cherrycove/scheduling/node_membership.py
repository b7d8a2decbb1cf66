"""The node list: which node serves each shard, and the restored state of nodes."""

from __future__ import annotations

from math import inf

from cherrycove.scheduling import interface as api
from cherrycove.scheduling.deadline_queue import DeadlineQueues
from cherrycove.scheduling.restart_state import FormerIncarnation
from cherrycove.scheduling.scheduler_state import SchedulerState
from cherrycove.scheduling.state import NodeQueue

# Pause before the node list is requested again after a failure, as a fraction of Settings.ask_within.
WATCH_RETRY_FRACTION = 0.2


class _NodeList:
    """The latest node list."""

    def __init__(self) -> None:
        self._nodes: dict[str, api.Node] = {}

    def apply(self, event: api.NodeListUpdate) -> dict[int, api.Node]:
        """Apply an update; return by shard the node that is up, the one started last if there are several."""
        before = self._nodes if event.kind is api.ListKind.CHANGES else {}
        after = before | {node.id: node for node in event.nodes}
        self._nodes = {name: node for name, node in after.items() if node.state is not api.NodeState.GONE}
        by_start = sorted(self._nodes.values(), key=lambda node: node.started or -inf)
        return {node.shard: node for node in by_start if node.state is api.NodeState.UP}

    def reason_absent(self, shard: int | None) -> api.Code:
        """Return why no node accepts requests for this shard."""
        draining = {node.shard for node in self._nodes.values() if node.state is api.NodeState.DRAINING}
        return api.Code.DRAINED if shard in draining else api.Code.NO_NODE


class NodeMembership:
    """Applies node list updates to the nodes' queues. Owned by ``Scheduler``."""

    def __init__(self, state: SchedulerState, queues: DeadlineQueues) -> None:
        self._state = state
        self._queues = queues
        self._node_list = _NodeList()
        self._former = FormerIncarnation()

    def update(self, event: api.NodeListUpdate) -> None:
        """Apply an update of the node list.

        A node that is draining or gone is sent nothing more; new objects in its queue move to other nodes. A
        replacement or a restarted node begins in slow start, with its statistics reset.
        """
        state = self._state
        serving = {state.node(shard): entry for shard, entry in self._node_list.apply(event).items()}
        for node in state.nodes.values():
            entry = serving.get(node)
            if entry is None:
                self._remove(node)
            elif node.incarnation == 0 or node.started != entry.started or node.id != entry.id:
                self._begin(node, entry)
            state.touch(node)

    def _remove(self, node: NodeQueue) -> None:
        node.id, node.absence_reason = None, self._node_list.reason_absent(node.shard)
        for request in node.waiting_requests():
            if request.shard is None:
                self._queues.enqueue(request, request.release_code)

    def _begin(self, node: NodeQueue, entry: api.Node) -> None:
        cold_from = entry.started
        if cold_from is None:
            cold_from = self._state.now if node.incarnation else -inf
        node.begin(entry, cold_from, self._state.initial_limit)
        self._restore(node)

    def restore(self, former: FormerIncarnation) -> None:
        """Restore the nodes' state from an earlier incarnation of this scheduler."""
        self._former = former
        for node in self._state.nodes.values():
            self._restore(node)

    def _restore(self, node: NodeQueue) -> None:
        state = self._state
        rests_until = self._former.restore_node(node, state.initial_limit, state.now)
        state.timers.schedule(rests_until, state.touch, node)

    def watch(self, _: None = None) -> None:
        """Subscribe to changes of the node list."""
        self._state.actions.append(api.WatchNodes())

    def retry_watch(self, _: api.NodeListFailure) -> None:
        """Schedule another subscription after a failure, where the node list comes only on request."""
        settings = self._state.settings
        if settings.list_on_request:
            pause = WATCH_RETRY_FRACTION * settings.ask_within
            self._state.timers.schedule(self._state.now + pause, self.watch)
