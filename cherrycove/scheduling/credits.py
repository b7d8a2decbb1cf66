"""Credits of the volumes: their refills, the limits of their plans, and the use of spare capacity.

The credits of all volumes are refilled together once a period, each by its reserve (SARC in the paper). While
a volume has credits, its requests move to their nodes' queues at once; otherwise they wait in the volume's
FIFO queues, one per shard ("lanes"), until the next refill or until their node has spare capacity.
"""

from __future__ import annotations

from collections import deque

from cherrycove.scheduling import interface as api
from cherrycove.scheduling.deadline_queue import DeadlineQueues
from cherrycove.scheduling.latency_estimate import LatencyEstimate
from cherrycove.scheduling.load_shedding import LoadShedding
from cherrycove.scheduling.restart_state import FormerIncarnation
from cherrycove.scheduling.scheduler_state import SchedulerState
from cherrycove.scheduling.state import REFILL_PERIOD_S, NodeQueue, Request, Volume

METER_REPORT_VALID_S = 4.0  # how long a meter report on a volume's use stays valid
VOLUME_IDLE_TIMEOUT_S = 10 * REFILL_PERIOD_S  # idle time after which a volume is removed


class Credits:
    """Spends and refills the credits of all volumes. Owned by ``Scheduler``."""

    def __init__(
        self,
        state: SchedulerState,
        latency: LatencyEstimate,
        shedding: LoadShedding,
        queues: DeadlineQueues,
    ) -> None:
        self._state = state
        self._latency = latency
        self._shedding = shedding
        self._queues = queues
        self.former = FormerIncarnation()  # state of an earlier incarnation

    def volume_of(self, event: api.RequestArrival, plan: api.Plan) -> Volume:
        """Return the volume of a request; create it on its first request."""
        state = self._state
        volume = state.volumes.get(event.volume)
        if volume is not None:
            return volume
        hosts = max(event.hosts, 1)
        full = (plan.reserve or plan.usual) / hosts * REFILL_PERIOD_S
        # An earlier incarnation may have used the burst: the bucket is empty when this one starts.
        volume = Volume(event.volume, plan, full, state.started, hosts)
        state.volumes[event.volume] = volume
        volume.set_limit_fraction(state.now, state.slow_start.own_fraction)
        self.former.restore_volume(volume, state.epoch, state.now)
        return volume

    def admit(self, request: Request) -> None:
        """Put a request into its volume's lane, and release the requests that the volume's credits allow."""
        state = self._state
        request.wait_for_credit(state.node(request.shard))
        if request.volume.limit:
            self._shedding.shed_over_limit(request.volume)
        self._release(request.volume)
        state.touch(state.node(request.shard))

    def refill(self) -> None:
        """Refill all volumes, release the requests that this allows, and remove idle volumes."""
        state = self._state
        for volume in list(state.volumes.values()):
            self._release(volume)
            if volume.is_idle_since(state.now - VOLUME_IDLE_TIMEOUT_S):
                # Bounds the memory for volume names made up by clients. A removed volume that is used
                # again starts with a full refill, which is what it has now.
                del state.volumes[volume.name]

    def refill_for_spare_capacity(self, node: NodeQueue) -> bool:
        """Release waiting requests of one volume to this node's spare capacity; return whether any was.

        Requests for other nodes are not released, as that would flood them. It also applies in overload,
        which would never end if credits alone decided what is served.
        """
        for place in (node, self._state.node(None)):
            for name, volume in list(place.lanes.items()):
                if self._must_yield(volume, node):
                    continue
                lane = volume.lanes[place.shard]
                spent = self._release_lane(volume, lane, node)
                if lane:
                    place.lanes[name] = place.lanes.pop(name)  # the next call starts with the other volumes
                if spent:
                    return True
        return False

    def _must_yield(self, volume: Volume, node: NodeQueue) -> bool:
        """Return whether a volume above its reserve must leave spare capacity to one below its own.

        Even a volume slightly above its reserve yields while the meter's report is valid.
        """
        is_over_reserve = not volume.reserve_shortfall and self._is_report_recent(volume)
        return is_over_reserve and any(
            other.reserve_shortfall and self._is_report_recent(other) for other in node.lanes.values()
        )

    def _release_lane(self, volume: Volume, lane: deque[Request], node: NodeQueue) -> float:
        """Release about one refill from the lane to this node, first in, first out; return its units.

        A request that would miss its deadline at this node is skipped: it does not block those behind it.
        """
        spent, latest = 0.0, self._state.now + self._latency.expected(node)
        for request in list(lane):
            has_capacity = node.in_flight + node.waiting < node.threshold
            if spent >= volume.refill_units or not has_capacity or not self._is_within_limit(volume, request):
                break
            if request.deadline >= latest:
                spent += request.units
                self._queues.enqueue(request, api.Code.SPARE)
        return spent

    def record_use(self, volume: Volume, use: float) -> None:
        """Record a meter report of a volume's use over all schedulers, as a multiple of its usual rate.

        The shortfall below its reserve is added to this scheduler's refills. A scheduler that receives most
        of the volume's requests is then not bound to its even part while the reserve is unused.
        """
        plan = volume.plan
        volume.reserve_shortfall = max(plan.reserve - use * plan.usual, 0.0) * REFILL_PERIOD_S
        volume.use_reported_at = self._state.now

    def _is_report_recent(self, volume: Volume) -> bool:
        return self._state.now - volume.use_reported_at < METER_REPORT_VALID_S

    def _release(self, volume: Volume) -> None:
        """Credit the refills since the last call, and spend the credits on requests in order of arrival."""
        state = self._state
        if volume.epoch != state.epoch:
            # With many schedulers a request may exceed a refill; the overdraft is repaid first.
            full = volume.refill_units + (volume.reserve_shortfall if self._is_report_recent(volume) else 0.0)
            volume.credits = min(volume.credits + full * (state.epoch - volume.epoch), full)
            volume.epoch = state.epoch
        while volume.credits > 0:
            request = min(self._lane_heads(volume), key=lambda r: r.arrived, default=None)
            if request is None or not self._is_within_limit(volume, request):
                return
            volume.credits -= request.units
            self._queues.enqueue(request, api.Code.CREDIT)

    def _lane_heads(self, volume: Volume) -> list[Request]:
        """Return the first request of each lane; a new object waits there while there is no node at all."""
        heads = [lane[0] for lane in volume.lanes.values()]
        if None in volume.lanes and not self._state.has_nodes():
            heads.remove(volume.lanes[None][0])
        return heads

    def _is_within_limit(self, volume: Volume, request: Request) -> bool:
        """Return whether the plan's limit admits a request now; if not, schedule a check for when it will.

        Each scheduler uses only its part of the limit, so that all together never exceed it.
        """
        if not volume.limit or request.attempts:
            return True
        state = self._state
        shortfall = volume.queued_units + request.units - volume.bucket_level(state.now)
        if shortfall > 0 and not volume.wake_scheduled:
            volume.wake_scheduled = True
            state.timers.schedule(
                state.now + shortfall / volume.limit + state.settings.tick, self._wake, volume
            )
        return shortfall <= 0

    def _wake(self, volume: Volume) -> None:
        volume.wake_scheduled = False
        self._release(volume)
        for shard in volume.lanes:
            self._state.touch(self._state.node(shard))
