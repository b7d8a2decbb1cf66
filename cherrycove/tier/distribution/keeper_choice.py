"""Which keeper to pull from: the one that answered last, a hinted primary, else the next in turn. Pure."""

from __future__ import annotations

from collections.abc import Iterable

MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 0.3
MAX_HINTS_IN_A_ROW = 2  # further hints are taken after a pause only
HINT_IGNORED_S = 1.0  # a hint to a keeper that just failed is not followed for so long


class KeeperChoice:
    """Follows the primary hint and rotates over the known keepers on failure."""

    def __init__(self, seeds: Iterable[str]) -> None:
        self._seeds: list[str] = []
        self._learned: list[str] = []
        self._turn = 0
        self._preferred = ""
        self._failed_at: dict[str, float] = {}
        self._failures = 0
        self._hints = 0
        self.reseed(seeds)

    def reseed(self, seeds: Iterable[str]) -> None:
        """Replace the keepers that the settings name."""
        self._seeds = list(dict.fromkeys(seeds))

    def learn(self, addresses: Iterable[str]) -> None:
        """Keepers known from the list of members, beside the seeds."""
        self._learned = list(dict.fromkeys(addresses))

    def target(self) -> str:
        """The keeper to call now; empty when none is known."""
        if self._preferred:
            return self._preferred
        known = list(dict.fromkeys(self._seeds + self._learned))
        return known[self._turn % len(known)] if known else ""

    def answered(self, address: str) -> None:
        """``address`` answered as the primary."""
        self._preferred = address
        self._failures = 0
        self._hints = 0
        self._failed_at.pop(address, None)

    def not_primary(self, address: str, hint: str, now: float) -> float:
        """``address`` does not lead and names ``hint`` ("" if unknown); returns the pause in s."""
        if hint and hint != address and not self._failed_lately(hint, now):
            self._preferred = hint
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
        self._turn += 1

    def _pause(self) -> float:
        pause: float = min(MIN_PAUSE_S * 2 ** min(self._failures, 8), MAX_PAUSE_S)
        self._failures += 1
        return pause
