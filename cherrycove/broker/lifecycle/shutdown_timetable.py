"""The timetable of a graceful shutdown, computed from the time at which the platform may kill the process.

Pure: it reads no clock. Every request is answered by ``ANSWER_MARGIN_S`` before the kill, since requests
that are unanswered at the kill are lost.
"""

from __future__ import annotations

from dataclasses import dataclass

KILL_DELAY_S = 0.7  # the platform adds this to the longest deadline before it kills the process
MAX_DEADLINE_S = 3.0  # the platform counts a longer deadline as this one
ANSWER_MARGIN_S = 0.3  # all requests are answered this long before the kill
ABORT_MARGIN_S = 0.15  # answers still being written to clients are aborted this long before the kill
DISCONNECT_MARGIN_S = 0.05  # all clients are disconnected this long before the kill
NEW_CONNECTION_WINDOW_S = 0.4  # clients may open new connections for this long after the signal
# Requests are accepted up to this long before the answers are due, so they can be served.
SERVICE_TIME_S = 0.4
CLOSE_LEAD_S = 0.25  # answers close their connections from this long before requests are no longer accepted
QUIET_S = 0.8  # no more requests are expected once none has come for this long


@dataclass(frozen=True, slots=True)
class ShutdownTimetable:
    """The times of a shutdown in seconds after the signal, from the platform's page on planned restarts."""

    close_connections: float  # each answer closes its connection from this time on
    stop: float  # no request is accepted from this time on
    give_up: float  # requests that are still open are answered as refused or failed at this time
    kill: float  # the earliest time at which the platform kills the process

    @classmethod
    def of(cls, longest_deadline_s: float) -> ShutdownTimetable:
        """Return the timetable for a deployment whose request classes have deadlines up to the given one."""
        kill = min(longest_deadline_s, MAX_DEADLINE_S) + KILL_DELAY_S
        give_up = max(kill - ANSWER_MARGIN_S, 0.0)
        # If all deadlines are short, the first term would end while clients still open new connections.
        stop = min(max(give_up - SERVICE_TIME_S, NEW_CONNECTION_WINDOW_S), give_up)
        return cls(max(stop - CLOSE_LEAD_S, 0.0), stop, give_up, kill)

    @property
    def abort(self) -> float:
        """The time at which answers in transfer are aborted.

        A node that stalls within an answer would otherwise keep the process running until the kill, which
        loses all answers and ends the process with an error status.
        """
        return max(self.kill - ABORT_MARGIN_S, self.give_up)

    @property
    def disconnect(self) -> float:
        """The time at which clients that do not read their answers are disconnected."""
        return max(self.kill - DISCONNECT_MARGIN_S, self.abort)

    def closes_connections_at(self, *, replaced: bool) -> float:
        """Return the time from which answers close their connections.

        Without a successor no process serves this address for seconds after this one has ended, so
        connections stay open as long as possible. With one, clients have to reconnect, and can do so at once.
        """
        return 0.0 if replaced else self.close_connections

    def accepts_until(self, since: float, quiet: float, *, replaced: bool, connected: bool) -> float:
        """Return the time until which requests are accepted.

        Clients keep sending for a while after the signal, over the connections that they have. If no client
        is connected any more, or a successor serves, no more requests are expected after ``QUIET_S`` without
        one.

        Args:
            since: seconds since the signal.
            quiet: seconds since the last request.
            replaced: whether a successor serves.
            connected: whether any client is connected.
        """
        return self.stop if connected and not replaced else min(self.stop, since - quiet + QUIET_S)
