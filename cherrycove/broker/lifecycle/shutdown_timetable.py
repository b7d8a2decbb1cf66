"""The timetable of a graceful shutdown, against the moment at which the platform may kill the process.

Pure: it reads no clock. ``ANSWER_MARGIN_S`` before the kill everything has its answer, since what is
unanswered at the kill is lost.
"""

from __future__ import annotations

from dataclasses import dataclass

KILL_AFTER_S = 0.7  # that the platform adds to the longest deadline before it kills
MAX_DEADLINE_S = 3.0  # as which it counts a longer one
ANSWER_MARGIN_S = 0.3  # before the kill, at which everything has its answer
ABORT_MARGIN_S = 0.15  # before the kill, at which answers still being written to a client are aborted
DISCONNECT_MARGIN_S = 0.05  # before the kill, at which no client is connected any more
LATE_CONNECTIONS_S = 0.4  # for which new connections may keep coming after the signal
SERVICE_TIME_S = 0.4  # before the answers are due, at which no more is accepted: it may still be served
CLOSE_LEAD_S = 0.25  # before that, from which an answer closes its connection
QUIET_S = 0.8  # without a request, after which no more is expected


@dataclass(frozen=True, slots=True)
class ShutdownTimetable:
    """Times in seconds after the signal. Source: the platform's page on planned restarts."""

    close_connections: float  # from then on each answer closes its connection
    stop: float  # from then on no request is accepted
    give_up: float  # what is still open is answered as refused or failed
    kill: float  # no sooner than this

    @classmethod
    def of(cls, longest_deadline_s: float) -> ShutdownTimetable:
        """Return the timetable for a deployment whose request classes have this longest deadline."""
        kill = min(longest_deadline_s, MAX_DEADLINE_S) + KILL_AFTER_S
        give_up = max(kill - ANSWER_MARGIN_S, 0.0)
        # With short deadlines alone, the first term would be due while new connections still come.
        stop = min(max(give_up - SERVICE_TIME_S, LATE_CONNECTIONS_S), give_up)
        return cls(max(stop - CLOSE_LEAD_S, 0.0), stop, give_up, kill)

    @property
    def abort(self) -> float:
        """When answers in transfer are aborted.

        A node that stalls within an answer would otherwise keep the process until the kill, and then nobody
        has an answer and the exit status is an error.
        """
        return max(self.kill - ABORT_MARGIN_S, self.give_up)

    @property
    def disconnect(self) -> float:
        """When a client that does not read its answer is disconnected."""
        return max(self.kill - DISCONNECT_MARGIN_S, self.abort)

    def closes_connections_at(self, *, replaced: bool) -> float:
        """Return from when on answers close their connections.

        Without a successor nobody serves this address for seconds once the process has ended, so connections
        stay open as long as possible. With one, clients can connect again at once, and have to.
        """
        return 0.0 if replaced else self.close_connections

    def accepts_until(self, since: float, quiet: float, *, replaced: bool, connected: bool) -> float:
        """Return until when requests are accepted.

        Clients keep sending for a while after the signal, over the connections that they have. Where none is
        connected any more, or a successor serves, silence means that no more requests come.

        Args:
            since: seconds since the signal.
            quiet: seconds since the last request.
            replaced: whether a successor serves.
            connected: whether any client is connected.
        """
        return self.stop if connected and not replaced else min(self.stop, since - quiet + QUIET_S)
