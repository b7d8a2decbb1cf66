"""Where heads and bodies in chunks end, however the bytes are split."""

from __future__ import annotations

import random

import pytest

from cherrycove.http_listener.request_framing import (
    ChunkedScanner,
    ChunkedState,
    HeadScanner,
    counted_head_bytes,
    leading_line_ends,
)
from cherrycove.tier.listener.json_cost import decoded_cost_bytes

HEAD = b"GET / HTTP/1.1\r\nHost: h\r\na:\r\n\r\n"


def pieces(data: bytes, rng: random.Random) -> list[bytes]:
    cuts = sorted(rng.sample(range(1, len(data)), min(5, len(data) - 1)))
    return [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)]


@pytest.mark.parametrize("seed", range(20))
def test_a_head_ends_at_its_empty_line(seed: int) -> None:
    scanner, buffer = HeadScanner(), bytearray()
    for piece in pieces(HEAD, random.Random(seed))[:-1]:
        buffer += piece
        assert scanner.end_of(buffer) is None
    buffer += HEAD[len(buffer) :] + b"body\r\n\r\n"
    assert scanner.end_of(buffer) == len(HEAD)


def test_method_target_and_fields_of_a_head_count() -> None:
    assert counted_head_bytes(len(HEAD)) == len(b"GET/") + len(b"Host: h\r\na:\r\n")


def test_empty_lines_before_a_request_are_ignored() -> None:
    assert leading_line_ends(bytearray(b"\r\n\r\n" + HEAD)) == 4
    assert leading_line_ends(bytearray(HEAD)) == 0


def scan(data: bytes, parts: list[bytes]) -> tuple[ChunkedScanner, bytes, bytes]:
    """Return the scanner, what it took for chunks, and what follows the body."""
    scanner, chunks, rest = ChunkedScanner(), b"", b""
    for part in parts:
        taken = scanner.scan_chunks(part)
        chunks += part[:taken]
        taken += scanner.skip_trailers(part[taken:])
        rest += part[taken:]
    assert len(chunks) + scanner.trailer_bytes + len(rest) == len(data)
    return scanner, chunks, rest


@pytest.mark.parametrize("seed", range(50))
def test_a_body_in_chunks_ends_after_its_trailers(seed: int) -> None:
    rng = random.Random(seed)
    sizes = [rng.choice([1, 2, 15, 16, 255, 300]) for _ in range(rng.randrange(6))]
    extension = rng.choice([b"", b";a=b", b' ; name="' + b"x" * 40 + b'"'])
    chunks = b"".join(b"%x%s\r\n%s\r\n" % (size, extension, b"\n" * size) for size in sizes)
    chunks += rng.choice([b"0", b"000"]) + extension + b"\r\n"
    trailers = rng.choice([b"", b"A: b\r\n", b"A: b\r\nC:\r\n"]) + b"\r\n"
    rest = rng.choice([b"", HEAD])
    data = chunks + trailers + rest
    scanner, taken, left = scan(data, pieces(data, rng))
    assert scanner.state is ChunkedState.COMPLETE
    assert (taken, left) == (chunks, rest)
    assert (scanner.data_bytes, scanner.trailer_bytes) == (sum(sizes), len(trailers))


@pytest.mark.parametrize("line", [b"", b"x", b"-1", b"1g", b"0x1", b"1" * 17, b"1 2"])
def test_a_malformed_size_line_is_found(line: bytes) -> None:
    scanner = ChunkedScanner()
    scanner.scan_chunks(line + b"\r\nabc")
    assert scanner.state is ChunkedState.MALFORMED


def test_the_cost_of_a_document_is_estimated_by_its_values() -> None:
    assert decoded_cost_bytes(b"[]") < decoded_cost_bytes(b"[{},{}]") < decoded_cost_bytes(b"[{},{},1,2,3]")
