"""Selects the controller that a process pulls from; the caller passes the current time."""

from __future__ import annotations

from collections.abc import Iterable

MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.3
MAX_CONSECUTIVE_HINTS = 2  # number of hints followed without a backoff
HINT_IGNORED_S = 1.0  # time after a controller's failure in which hints to it are ignored
MAX_FORMER_CONTROLLERS = 16  # number of remembered controllers that may no longer be members
_MAX_DOUBLINGS = 8  # limits the exponent in the backoff computation


class ControllerSelector:
    """Follows hints to the primary, and rotates over the known controllers when one fails.

    The controller that last answered as the primary is asked first; otherwise the one that a backup named as
    the primary; otherwise the next of the seeds and the discovered controllers. Once all of these were asked
    without success, former ones are asked as well: all members may have been replaced during a partition of
    this process, and at its start all seeds may be outside the group.
    """

    def __init__(self, seeds: Iterable[str]) -> None:
        """``seeds`` are the RPC addresses (host:port) that the settings name."""
        self._seeds: list[str] = []
        self._discovered: list[str] = []
        self._former: list[str] = []  # controllers known earlier, the most recent first
        self._preferred = ""  # controller that answered last or was named by a hint
        self._last_answered = ""
        self._rotation = 0
        self._asked_without_answer = 0  # number of controllers asked since one answered as the primary
        self._failed_at: dict[str, float] = {}
        self._consecutive_failures = 0
        self._consecutive_hints = 0
        self.replace_seeds(seeds)

    def replace_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the addresses named in the settings."""
        self._seeds = list(dict.fromkeys(seeds))

    def replace_discovered(self, addresses: Iterable[str]) -> None:
        """Replace the addresses known from the member list of the tier."""
        before = self._discovered
        self._discovered = list(dict.fromkeys(addresses))
        self._add_former(before)

    def add_known(self, addresses: Iterable[str]) -> None:
        """Add ``addresses``, which are asked after the seeds and discovered controllers without success."""
        self._add_former(list(addresses))

    def known(self) -> list[str]:
        """Return every known address: those of seeds, discovered and former controllers."""
        return list(dict.fromkeys([*self._seeds, *self._discovered, *self._former]))

    def suggest(self, address: str, now: float) -> None:
        """Ask ``address``, the probable primary, next, unless another one answers or it has just failed."""
        self._add_former([address])
        if not self._last_answered and not self._has_failed_recently(address, now):
            self._preferred = address

    def target(self) -> str:
        """Return the address to call now; empty when none is known."""
        if self._preferred:
            return self._preferred
        known = list(dict.fromkeys(self._seeds + self._discovered))
        if self._asked_without_answer > len(known):
            known = list(dict.fromkeys(known + self._former))
        return known[self._rotation % len(known)] if known else ""

    def is_known_primary(self, address: str) -> bool:
        """Return whether ``address`` last answered as the primary and no other was selected since."""
        return address != "" and address == self._last_answered

    def record_answer(self, address: str) -> None:
        """Record that ``address`` answered as the primary."""
        self._preferred = address
        self._last_answered = address
        self._asked_without_answer = 0
        self._add_former([address])
        self._consecutive_failures = 0
        self._consecutive_hints = 0
        self._failed_at.pop(address, None)

    def record_not_primary(self, address: str, hint: str, now: float) -> float:
        """Record that ``address`` is not the primary; return the backoff in s.

        ``hint`` is the primary's address according to ``address``, or empty if it knows none.
        """
        if not hint or hint == address or self._has_failed_recently(hint, now):
            self._advance()
            return self._next_backoff_s()
        self._preferred = hint
        self._last_answered = ""
        self._consecutive_hints += 1
        if self._consecutive_hints <= MAX_CONSECUTIVE_HINTS:
            return 0.0
        self._consecutive_hints = 0
        return self._next_backoff_s()

    def record_failure(self, address: str, now: float) -> float:
        """Record that ``address`` did not answer; return the backoff in s."""
        self._failed_at = {peer: at for peer, at in self._failed_at.items() if now - at < HINT_IGNORED_S}
        self._failed_at[address] = now
        self._advance()
        return self._next_backoff_s()

    def _add_former(self, addresses: list[str]) -> None:
        self._former = list(dict.fromkeys([*addresses, *self._former]))[:MAX_FORMER_CONTROLLERS]

    def _has_failed_recently(self, address: str, now: float) -> bool:
        return now - self._failed_at.get(address, float("-inf")) < HINT_IGNORED_S

    def _advance(self) -> None:
        self._preferred = ""
        self._last_answered = ""
        self._rotation += 1
        self._asked_without_answer += 1

    def _next_backoff_s(self) -> float:
        doublings = min(self._consecutive_failures, _MAX_DOUBLINGS)
        backoff_s: float = min(MIN_BACKOFF_S * 2**doublings, MAX_BACKOFF_S)
        self._consecutive_failures += 1
        return backoff_s
