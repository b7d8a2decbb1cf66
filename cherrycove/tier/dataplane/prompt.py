"""The prompt of a generation request, as its header fields describe it. Performs no I/O."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from cherrycove.tier.dataplane.headers import PROMPT_PREFIX, TOKEN_USAGE, parse_unsigned


@attrs.frozen
class PromptSegment:
    """One segment of a prompt; requests that contain the same segment send the same id."""

    id: str
    tokens: int


@attrs.frozen
class Prompt:
    """A prompt: its segments, the number of its input tokens, and the limit of its output tokens."""

    segments: tuple[PromptSegment, ...] = ()  # in order; the last is private to the request or session
    input_tokens: int = 0
    max_output_tokens: int = 0

    @property
    def shared_segments(self) -> tuple[PromptSegment, ...]:
        """The segments that other requests may share."""
        return self.segments[:-1]

    @property
    def total_tokens(self) -> int:
        """The maximum memory that the request uses, in tokens of the KV cache."""
        return self.input_tokens + self.max_output_tokens


NO_PROMPT = Prompt()


def parse_prompt(headers: Mapping[str, str]) -> Prompt:
    """Parse ``Prompt-Prefix: id:tokens,...`` and ``Token-Usage: input,max_output``.

    Segments and numbers that cannot be parsed count as absent.
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
