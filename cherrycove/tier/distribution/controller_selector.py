"""Which keeper to pull from: the one that answered last, a hinted primary, else the next in turn. Pure."""

from __future__ import annotations

from collections.abc import Iterable

MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 0.3
MAX_HINTS_IN_A_ROW = 2  # further hints are taken after a pause only
HINT_IGNORED_S = 1.0  # a hint to a keeper that just failed is not followed for so long
EARLIER_KEPT = 16  # keepers that were once known and are no longer listed


class ControllerSelector:
    """Follows the primary hint and rotates over the known keepers on failure."""

    def __init__(self, seeds: Iterable[str]) -> None:
        self._seeds: list[str] = []
        self._learned: list[str] = []
        self._earlier: list[str] = []  # learned or answered once, the newest first
        self._unanswered = 0  # keepers tried since one answered as the primary
        self._turn = 0
        self._preferred = ""
        self._answered_last = ""
        self._failed_at: dict[str, float] = {}
        self._failures = 0
        self._hints = 0
        self.reseed(seeds)

    def reseed(self, seeds: Iterable[str]) -> None:
        """Replace the keepers that the settings name."""
        self._seeds = list(dict.fromkeys(seeds))

    def learn(self, addresses: Iterable[str]) -> None:
        """Keepers known from the list of members, beside the seeds."""
        before = self._learned
        self._learned = list(dict.fromkeys(addresses))
        self._keep(before)

    def _keep(self, addresses: list[str]) -> None:
        """Remember keepers that may be listed no longer: they are tried when nobody else answers."""
        self._earlier = list(dict.fromkeys([*addresses, *self._earlier]))[:EARLIER_KEPT]

    def target(self) -> str:
        """The keeper to call now; empty when none is known."""
        if self._preferred:
            return self._preferred
        known = list(dict.fromkeys(self._seeds + self._learned))
        if self._unanswered > len(known):
            known = list(dict.fromkeys(known + self._earlier))
        return known[self._turn % len(known)] if known else ""

    def is_primary(self, address: str) -> bool:
        """Whether ``address`` answered as the primary last, and nobody else was turned to since."""
        return address != "" and address == self._answered_last

    def answered(self, address: str) -> None:
        """``address`` answered as the primary."""
        self._preferred = address
        self._answered_last = address
        self._unanswered = 0
        self._keep([address])
        self._failures = 0
        self._hints = 0
        self._failed_at.pop(address, None)

    def not_primary(self, address: str, hint: str, now: float) -> float:
        """``address`` does not lead and names ``hint`` ("" if unknown); returns the pause in s."""
        if hint and hint != address and not self._failed_lately(hint, now):
            self._preferred = hint
            self._answered_last = ""
            self._hints += 1
            if self._hints <= MAX_HINTS_IN_A_ROW:
                return 0.0
            self._hints = 0
            return self._pause()
        self._next()
        return self._pause()

    def failed(self, address: str, now: float) -> float:
        """``address`` gave no answer; returns the pause in s."""
        self._failed_at = {peer: at for peer, at in self._failed_at.items() if now - at < HINT_IGNORED_S}
        self._failed_at[address] = now
        self._next()
        return self._pause()

    def _failed_lately(self, address: str, now: float) -> bool:
        return now - self._failed_at.get(address, float("-inf")) < HINT_IGNORED_S

    def _next(self) -> None:
        self._preferred = ""
        self._answered_last = ""
        self._turn += 1
        self._unanswered += 1

    def _pause(self) -> float:
        pause: float = min(MIN_PAUSE_S * 2 ** min(self._failures, 8), MAX_PAUSE_S)
        self._failures += 1
        return pause
