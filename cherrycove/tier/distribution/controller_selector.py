"""Which controller a process pulls from. Pure: the time is an argument."""

from __future__ import annotations

from collections.abc import Iterable

MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.3
MAX_CONSECUTIVE_HINTS = 2  # further hints are followed after a backoff only
HINT_IGNORED_S = 1.0  # a hint to a controller that has just failed is not followed for so long
MAX_FORMER_CONTROLLERS = 16  # remembered of those that are not among the members at present
_MAX_DOUBLINGS = 8  # of the backoff; keeps the exponent small


class ControllerSelector:
    """Follows hints to the primary, and rotates over the known controllers when one fails.

    The controller that answered as the primary last is asked again; else the one that a backup named as the
    primary; else the next of the seeds and the discovered ones. Once all of these were asked in vain, the
    former ones are asked as well: the members may all have been replaced while this process was cut off, and
    the seeds of a start may all be outside the group.
    """

    def __init__(self, seeds: Iterable[str]) -> None:
        """``seeds`` are the RPC addresses (host:port) that the settings name."""
        self._seeds: list[str] = []
        self._discovered: list[str] = []
        self._former: list[str] = []  # discovered or answered once, the newest first
        self._preferred = ""  # answered last, or named by a hint
        self._answered_last = ""
        self._rotation = 0
        self._asked_without_answer = 0  # controllers asked since one answered as the primary
        self._failed_at: dict[str, float] = {}
        self._consecutive_failures = 0
        self._consecutive_hints = 0
        self.replace_seeds(seeds)

    def replace_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the addresses that the settings name."""
        self._seeds = list(dict.fromkeys(seeds))

    def replace_discovered(self, addresses: Iterable[str]) -> None:
        """Replace the addresses that are known from the members of the tier."""
        before = self._discovered
        self._discovered = list(dict.fromkeys(addresses))
        self._remember(before)

    def remember(self, addresses: Iterable[str]) -> None:
        """Ask ``addresses`` as well, once the seeds and the discovered ones were asked in vain."""
        self._remember(list(addresses))

    def known(self) -> list[str]:
        """Return every address known: seeds, discovered and former ones."""
        return list(dict.fromkeys([*self._seeds, *self._discovered, *self._former]))

    def suggest(self, address: str, now: float) -> None:
        """Ask ``address`` next, which is said to lead; ignored while another answers or if it just failed."""
        self._remember([address])
        if not self._answered_last and not self._has_failed_recently(address, now):
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
        """Return whether ``address`` answered as the primary last, and no other was chosen since."""
        return address != "" and address == self._answered_last

    def record_answer(self, address: str) -> None:
        """Note that ``address`` answered as the primary."""
        self._preferred = address
        self._answered_last = address
        self._asked_without_answer = 0
        self._remember([address])
        self._consecutive_failures = 0
        self._consecutive_hints = 0
        self._failed_at.pop(address, None)

    def record_not_primary(self, address: str, hint: str, now: float) -> float:
        """Note that ``address`` is not the primary; return the backoff in s.

        ``hint`` is the address that it named as the primary's, "" if it knows none.
        """
        if not hint or hint == address or self._has_failed_recently(hint, now):
            self._advance()
            return self._next_backoff_s()
        self._preferred = hint
        self._answered_last = ""
        self._consecutive_hints += 1
        if self._consecutive_hints <= MAX_CONSECUTIVE_HINTS:
            return 0.0
        self._consecutive_hints = 0
        return self._next_backoff_s()

    def record_failure(self, address: str, now: float) -> float:
        """Note that ``address`` gave no answer; return the backoff in s."""
        self._failed_at = {peer: at for peer, at in self._failed_at.items() if now - at < HINT_IGNORED_S}
        self._failed_at[address] = now
        self._advance()
        return self._next_backoff_s()

    def _remember(self, addresses: list[str]) -> None:
        self._former = list(dict.fromkeys([*addresses, *self._former]))[:MAX_FORMER_CONTROLLERS]

    def _has_failed_recently(self, address: str, now: float) -> bool:
        return now - self._failed_at.get(address, float("-inf")) < HINT_IGNORED_S

    def _advance(self) -> None:
        self._preferred = ""
        self._answered_last = ""
        self._rotation += 1
        self._asked_without_answer += 1

    def _next_backoff_s(self) -> float:
        doublings = min(self._consecutive_failures, _MAX_DOUBLINGS)
        backoff_s: float = min(MIN_BACKOFF_S * 2**doublings, MAX_BACKOFF_S)
        self._consecutive_failures += 1
        return backoff_s
