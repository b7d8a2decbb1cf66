"""Credits of the volumes: their joint refills, the limits of their plans, and refills for spare room.

Each volume has credits, refilled once a period by its reserve (SARC in the paper). While they are above 0 its
requests go to their nodes' queues at once; otherwise they wait in the volume's own queues, one for each shard
("lanes"), until the next joint refill or until their node has room to spare.
"""

from __future__ import annotations

from collections import deque

from cherrycove.scheduling import interface as api
from cherrycove.scheduling.deadline_queue import DeadlineQueues
from cherrycove.scheduling.latency_estimate import LatencyEstimate
from cherrycove.scheduling.limit_policy import BUSY_FRACTION, CROWDED_CEILING
from cherrycove.scheduling.load_shedding import LoadShedding
from cherrycove.scheduling.restart_state import FormerIncarnation
from cherrycove.scheduling.scheduler_state import SchedulerState
from cherrycove.scheduling.state import REFILL_PERIOD_S, NodeQueue, Request, Volume

METER_MEMORY_S = 4.0  # time for which a report of the meter on a volume's use counts
FORGET_AFTER_S = 10 * REFILL_PERIOD_S  # time without a request after which a volume is forgotten


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
        self.former = FormerIncarnation()  # what an earlier incarnation of this scheduler left

    def volume_of(self, event: api.RequestArrival, plan: api.Plan) -> Volume:
        """Return the volume of a request, which is created with its first one."""
        state = self._state
        volume = state.volumes.get(event.volume)
        if volume is not None:
            return volume
        hosts = max(event.hosts, 1)
        full = (plan.reserve or plan.usual) / hosts * REFILL_PERIOD_S
        # An earlier incarnation may have spent the burst: the limit's store fills from this one's start.
        volume = Volume(event.volume, plan, full, state.started, hosts)
        state.volumes[event.volume] = volume
        volume.share(state.now, state.slow_start.own_fraction)
        self.former.restore_volume(volume, state.epoch, state.now)
        return volume

    def admit(self, request: Request) -> None:
        """Put a request into its volume's queue, and release what the volume's credits allow."""
        state = self._state
        request.wait_for_credit(state.node(request.shard))
        if request.volume.limit:
            self._shedding.shed_over_limit(request.volume)
        self._release(request.volume)
        state.touch(state.node(request.shard))

    def refill(self) -> None:
        """Release what the joint refill that has just begun allows, and forget volumes that are not used.

        A volume without a request that waits gets its refill when it is next looked at.
        """
        state = self._state
        for volume in list(state.volumes.values()):
            self._release(volume)
            if volume.idle(state.now - FORGET_AFTER_S):
                # Names that clients invent must not pile up. A volume seen anew has a refill, as this has.
                del state.volumes[volume.name]

    def refill_for_spare_room(self, node: NodeQueue) -> bool:
        """Refill, volume by volume, what waits for this node; return whether something was released.

        For this node only: a refill for all nodes would flood the others. Also in overload, which would
        never end if credits alone decided what is served.
        """
        for place in (node, self._state.node(None)):
            for name, volume in list(place.lanes.items()):
                if self._gives_way(volume, node):
                    continue
                lane = volume.lanes[place.shard]
                spent = self._release_lane(volume, lane, node)
                if lane:
                    place.lanes[name] = place.lanes.pop(name)  # the next refill begins with the others
                if spent:
                    return True
        return False

    def _gives_way(self, volume: Volume, node: NodeQueue) -> bool:
        """Whether a volume beyond its reserve gives way to those within it at a busy node.

        Only among many schedulers. One slow answer makes no busy node: the typical latency must be high, too.
        A volume just over its reserve gives way as long as the meter's report counts.
        """
        state = self._state
        is_over_reserve = not volume.reserve_shortfall and self._is_report_recent(volume)
        if not (state.is_crowded and is_over_reserve):
            return False
        latency = min(self._latency.expected(node), self._latency.typical)
        return latency > BUSY_FRACTION * CROWDED_CEILING * state.latency_target_s

    def _release_lane(self, volume: Volume, lane: deque[Request], node: NodeQueue) -> float:
        """Release up to one refill from the lane to this node, by value, then first in, first out.

        Returns the units that were released. A request that would be late at this node stays: it must not
        hold up those behind it.
        """
        spent, latest = 0.0, self._state.now + self._latency.expected(node)
        for request in sorted(lane, key=lambda r: -r.cls.worth):
            has_room = node.in_flight + node.waiting < node.threshold
            if spent >= volume.refill_units or not has_room or not self._is_within_limit(volume, request):
                break
            if request.due >= latest:
                spent += request.units
                self._queues.enqueue(request, api.Code.SPARE)
        return spent

    def count_use(self, volume: Volume, use: float) -> None:
        """The meter has reported a volume's use over all schedulers, in multiples of its usual rate.

        What the volume lacks to its reserve is added to this scheduler's refills, so that the one through
        which most of its requests come is not held to its even part while the reserve is unused.
        """
        plan = volume.plan
        volume.reserve_shortfall = max(plan.reserve - use * plan.usual, 0.0) * REFILL_PERIOD_S
        volume.use_reported_at = self._state.now

    def _is_report_recent(self, volume: Volume) -> bool:
        return self._state.now - volume.use_reported_at < METER_MEMORY_S

    def _release(self, volume: Volume) -> None:
        """Spend the volume's credits on its requests in order of arrival."""
        state = self._state
        if volume.epoch != state.epoch:
            # Where a request is more than a refill (many schedulers), what it overdrew is paid back first.
            full = volume.refill_units + (volume.reserve_shortfall if self._is_report_recent(volume) else 0.0)
            volume.credits = min(volume.credits + full * (state.epoch - volume.epoch), full)
            volume.epoch = state.epoch
        while volume.lanes and volume.credits > 0:
            request = min((lane[0] for lane in volume.lanes.values()), key=lambda r: r.due - r.cls.aim)
            if not self._is_within_limit(volume, request):
                return
            volume.credits -= request.units
            self._queues.enqueue(request, api.Code.CREDIT)

    def _is_within_limit(self, volume: Volume, request: Request) -> bool:
        """Whether the plan's limit lets a request through now; if not, it is looked at again when it does.

        Only this scheduler's part of the limit is used, so that all together never exceed it.
        """
        if not volume.limit or request.attempts:
            return True
        state = self._state
        lack = volume.pending + request.units - volume.level(state.now)
        if lack > 0 and not volume.wake_scheduled:
            volume.wake_scheduled = True
            state.timers.schedule(state.now + lack / volume.limit + state.settings.tick, self._wake, volume)
        return lack <= 0

    def _wake(self, volume: Volume) -> None:
        volume.wake_scheduled = False
        self._release(volume)
        for shard in volume.lanes:
            self._state.touch(self._state.node(shard))
