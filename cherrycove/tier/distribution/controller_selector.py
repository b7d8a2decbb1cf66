"""Which keeper to pull from: the one that answered last, a hinted primary, else the next in turn. Pure."""

from __future__ import annotations

from collections.abc import Iterable

MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.3
MAX_CONSECUTIVE_HINTS = 2  # further hints are taken after a pause only
HINT_IGNORED_S = 1.0  # a hint to a keeper that just failed is not followed for so long
MAX_FORMER_CONTROLLERS = 16  # keepers that were once known and are no longer listed


class ControllerSelector:
    """Follows the primary hint and rotates over the known keepers on failure."""

    def __init__(self, seeds: Iterable[str]) -> None:
        self._seeds: list[str] = []
        self._discovered: list[str] = []
        self._former: list[str] = []  # learned or answered once, the newest first
        self._unanswered = 0  # keepers tried since one answered as the primary
        self._turn = 0
        self._preferred = ""
        self._answered_last = ""
        self._failed_at: dict[str, float] = {}
        self._consecutive_failures = 0
        self._consecutive_hints = 0
        self.replace_seeds(seeds)

    def replace_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the keepers that the settings name."""
        self._seeds = list(dict.fromkeys(seeds))

    def replace_discovered(self, addresses: Iterable[str]) -> None:
        """Keepers known from the list of members, beside the seeds."""
        before = self._discovered
        self._discovered = list(dict.fromkeys(addresses))
        self._remember(before)

    def _remember(self, addresses: list[str]) -> None:
        """Remember keepers that may be listed no longer: they are tried when nobody else answers."""
        self._former = list(dict.fromkeys([*addresses, *self._former]))[:MAX_FORMER_CONTROLLERS]

    def target(self) -> str:
        """The keeper to call now; empty when none is known."""
        if self._preferred:
            return self._preferred
        known = list(dict.fromkeys(self._seeds + self._discovered))
        if self._unanswered > len(known):
            known = list(dict.fromkeys(known + self._former))
        return known[self._turn % len(known)] if known else ""

    def is_known_primary(self, address: str) -> bool:
        """Whether ``address`` answered as the primary last, and nobody else was turned to since."""
        return address != "" and address == self._answered_last

    def record_answer(self, address: str) -> None:
        """``address`` answered as the primary."""
        self._preferred = address
        self._answered_last = address
        self._unanswered = 0
        self._remember([address])
        self._consecutive_failures = 0
        self._consecutive_hints = 0
        self._failed_at.pop(address, None)

    def record_not_primary(self, address: str, hint: str, now: float) -> float:
        """``address`` does not lead and names ``hint`` ("" if unknown); returns the pause in s."""
        if hint and hint != address and not self._has_failed_recently(hint, now):
            self._preferred = hint
            self._answered_last = ""
            self._consecutive_hints += 1
            if self._consecutive_hints <= MAX_CONSECUTIVE_HINTS:
                return 0.0
            self._consecutive_hints = 0
            return self._backoff_s()
        self._advance()
        return self._backoff_s()

    def record_failure(self, address: str, now: float) -> float:
        """``address`` gave no answer; returns the pause in s."""
        self._failed_at = {peer: at for peer, at in self._failed_at.items() if now - at < HINT_IGNORED_S}
        self._failed_at[address] = now
        self._advance()
        return self._backoff_s()

    def _has_failed_recently(self, address: str, now: float) -> bool:
        return now - self._failed_at.get(address, float("-inf")) < HINT_IGNORED_S

    def _advance(self) -> None:
        self._preferred = ""
        self._answered_last = ""
        self._turn += 1
        self._unanswered += 1

    def _backoff_s(self) -> float:
        pause: float = min(MIN_BACKOFF_S * 2 ** min(self._consecutive_failures, 8), MAX_BACKOFF_S)
        self._consecutive_failures += 1
        return pause
