"""The prompt of a generation as its headers describe it: segments, input tokens, most output tokens. Pure."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from cherrycove.tier.dataplane.headers import PROMPT_PREFIX, TOKEN_USAGE, parse_unsigned


@attrs.frozen
class PromptSegment:
    """One segment of a prompt; requests with the same segment send the same id."""

    id: str
    tokens: int


@attrs.frozen
class Prompt:
    """A prompt as its request describes it."""

    segments: tuple[PromptSegment, ...] = ()  # in order; the last belongs to the request or its session alone
    input_tokens: int = 0
    max_output_tokens: int = 0

    @property
    def shared_segments(self) -> tuple[PromptSegment, ...]:
        """Segments that other requests may have as well."""
        return self.segments[:-1]

    @property
    def total_tokens(self) -> int:
        """The most memory that the request takes, in tokens of the KV cache."""
        return self.input_tokens + self.max_output_tokens


NO_PROMPT = Prompt()


def parse_prompt(headers: Mapping[str, str]) -> Prompt:
    """The prompt in ``Prompt-Prefix: id:tokens,...`` and ``Token-Usage: input,max_output``.

    What cannot be parsed counts as absent.
    """
    segments = _parse_segments(headers.get(PROMPT_PREFIX, ""))
    usage = [parse_unsigned(number) or 0 for number in headers.get(TOKEN_USAGE, "").split(",")]
    input_tokens = max(usage[0], sum(segment.tokens for segment in segments))
    return Prompt(segments, input_tokens, usage[1] if len(usage) > 1 else 0)


def _parse_segments(text: str) -> tuple[PromptSegment, ...]:
    segments = []
    for entry in text.split(","):
        name, _, tokens = entry.strip().partition(":")
        size = parse_unsigned(tokens)
        if name and size is not None:
            segments.append(PromptSegment(name, size))
    return tuple(segments)
