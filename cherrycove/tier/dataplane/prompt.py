"""The prompt of a generation, as its headers describe it: shared parts, tokens in, most tokens out."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from cherrycove.tier.dataplane.headers import PROMPT_PREFIX, TOKEN_USAGE, whole_number


@attrs.frozen
class Part:
    """One part of a prompt; requests with the same part share its id."""

    id: str
    tokens: int


@attrs.frozen
class Prompt:
    parts: tuple[Part, ...] = ()  # in order; the last belongs to the request or to its session
    tokens_in: int = 0
    tokens_out: int = 0  # the most

    @property
    def shared(self) -> tuple[Part, ...]:
        """Parts that other requests may have as well."""
        return self.parts[:-1]

    @property
    def tokens(self) -> int:
        """The most memory that the request takes, in tokens."""
        return self.tokens_in + self.tokens_out


NO_PROMPT = Prompt()


def parse_prompt(headers: Mapping[str, str]) -> Prompt:
    """The prompt that ``headers`` describe; what cannot be read counts as absent."""
    parts = _parts(headers.get(PROMPT_PREFIX, ""))
    usage = [whole_number(number) or 0 for number in headers.get(TOKEN_USAGE, "").split(",")]
    tokens_in = max(usage[0], sum(part.tokens for part in parts))
    return Prompt(parts, tokens_in, usage[1] if len(usage) > 1 else 0)


def _parts(text: str) -> tuple[Part, ...]:
    parts = []
    for entry in text.split(","):
        name, _, tokens = entry.strip().partition(":")
        size = whole_number(tokens)
        if name and size is not None:
            parts.append(Part(name, size))
    return tuple(parts)
