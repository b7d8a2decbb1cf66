"""The prompt of a generation, as its headers describe it: shared parts, tokens in, most tokens out."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from cherrycove.tier.dataplane.headers import PROMPT_PREFIX, TOKEN_USAGE, parse_unsigned


@attrs.frozen
class PromptSegment:
    """One part of a prompt; requests with the same part share its id."""

    id: str
    tokens: int


@attrs.frozen
class Prompt:
    segments: tuple[PromptSegment, ...] = ()  # in order; the last belongs to the request or to its session
    input_tokens: int = 0
    max_output_tokens: int = 0  # the most

    @property
    def shared_segments(self) -> tuple[PromptSegment, ...]:
        """Parts that other requests may have as well."""
        return self.segments[:-1]

    @property
    def total_tokens(self) -> int:
        """The most memory that the request takes, in tokens."""
        return self.input_tokens + self.max_output_tokens


NO_PROMPT = Prompt()


def parse_prompt(headers: Mapping[str, str]) -> Prompt:
    """The prompt that ``headers`` describe; what cannot be read counts as absent."""
    parts = _parse_segments(headers.get(PROMPT_PREFIX, ""))
    usage = [parse_unsigned(number) or 0 for number in headers.get(TOKEN_USAGE, "").split(",")]
    input_tokens = max(usage[0], sum(part.tokens for part in parts))
    return Prompt(parts, input_tokens, usage[1] if len(usage) > 1 else 0)


def _parse_segments(text: str) -> tuple[PromptSegment, ...]:
    parts = []
    for entry in text.split(","):
        name, _, tokens = entry.strip().partition(":")
        size = parse_unsigned(tokens)
        if name and size is not None:
            parts.append(PromptSegment(name, size))
    return tuple(parts)
