"""Exports traces of sampled requests as OTLP JSON lines in a file: a span for each request and attempt.

Each line is one ``ExportTraceServiceRequest`` with ids in hex (OTLP specification, JSON Protobuf encoding).
The file is written on a thread of the OpenTelemetry SDK. If it cannot be written, that is logged once until a
write succeeds, and the traces are dropped and counted.
"""

from __future__ import annotations

import base64
import json
import random
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from google.protobuf.json_format import MessageToDict
from opentelemetry.exporter.otlp.proto.common.trace_encoder import encode_spans
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.trace import Span, SpanKind, Status, StatusCode, set_span_in_context

from cherrycove.broker.core import Ending
from cherrycove.broker.decision_log import formatting
from cherrycove.broker.decision_log.codec import RequestRecord
from cherrycove.broker.event_log import Log
from cherrycove.scheduling.interface import Settings

log = Log("cherrycove.why")

MAX_FILE_BYTES = 64 << 20  # a larger file is renamed to FILE.1, which replaces an earlier FILE.1
ID_KEYS = ("traceId", "spanId", "parentSpanId")


class TokenBucket:
    """A token bucket that gets ``rate`` tokens a second and holds as many at most."""

    def __init__(self, rate: float) -> None:
        self.rate, self._tokens, self._updated_at = rate, rate, 0.0

    def take(self, now: float) -> bool:
        """Take a token. Return whether there was one."""
        self._tokens = min(self.rate, self._tokens + max(now - self._updated_at, 0.0) * self.rate)
        self._updated_at = max(now, self._updated_at)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Sampler:
    """Selects refused, failed and retried requests up to a rate per second, and others at random."""

    def __init__(self, fraction: float, rate: float, seed: int) -> None:
        self._fraction, self._bucket, self._random = fraction, TokenBucket(rate), random.Random(seed)
        self.rate_limited = 0  # refused, failed and retried requests beyond the rate

    def sample(self, record: RequestRecord) -> bool:
        """Decide whether a request is traced, and count it against the rate if that applies."""
        if record.verdict in ("refused", "failed") or record.is_retry:
            if self._bucket.take(record.ended_at):
                return True
            self.rate_limited += 1
            return False
        return self._random.random() < self._fraction


class JsonLinesExporter(SpanExporter):
    """Appends spans to the file. The SDK calls it on a thread of its own."""

    def __init__(self, path: Path) -> None:
        self._path, self._failed, self.dropped = path, False, 0

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Append the spans as one line."""
        try:
            line = json.dumps(with_hex_ids(MessageToDict(encode_spans(spans)))) + "\n"
            if self._path.exists() and self._path.stat().st_size + len(line) > MAX_FILE_BYTES:
                self._path.replace(self._path.with_name(self._path.name + ".1"))
            with self._path.open("a", encoding="utf-8") as file:
                file.write(line)
        except OSError as error:
            if not self._failed:
                log.warning("why.spans_not_written", path=self._path, why=error.strerror)
            self._failed, self.dropped = True, self.dropped + len(spans)
            return SpanExportResult.FAILURE
        self._failed = False
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Do nothing, as the file is closed after each line."""


def with_hex_ids(message: Any) -> Any:
    """Return the message with its ids in hex as OTLP requires; Protobuf's JSON encodes them in base64."""
    if isinstance(message, dict):
        return {
            key: base64.b64decode(value).hex() if key in ID_KEYS else with_hex_ids(value)
            for key, value in message.items()
        }
    return [with_hex_ids(each) for each in message] if isinstance(message, list) else message


class Tracer:
    """Creates the spans of the requests that the sampler selects. The broker's process owns it."""

    def __init__(self, settings: Settings, path: Path, sampler: Sampler, name: str) -> None:
        self.sampler, self.exporter = sampler, JsonLinesExporter(path)
        self._settings = settings
        self._provider = TracerProvider(
            resource=Resource({"service.name": "cherrycove", "service.instance.id": name})
        )
        self._provider.add_span_processor(BatchSpanProcessor(self.exporter, schedule_delay_millis=1000))
        self._tracer = self._provider.get_tracer("cherrycove.broker.decision_log")
        self._offset = time.time() - time.monotonic()

    def trace(self, record: RequestRecord) -> None:
        """Create the spans of a request if the sampler selects it."""
        if not self.sampler.sample(record):
            return
        arrived = record.ended_at - record.duration
        cls = self._settings.classes[record.cls].name if record.cls is not None else "request"
        span = self._tracer.start_span(
            cls,
            kind=SpanKind.SERVER,
            start_time=self._ns(arrived),
            attributes={
                "cherrycove.request": formatting.to_printable(record.id),
                "cherrycove.volume": formatting.to_printable(record.volume),
                "cherrycove.verdict": record.verdict,
                "cherrycove.code": record.code.name.lower(),
                "cherrycove.broker.decision_log": formatting.describe_reason(record),
                "cherrycove.front": record.front,
                "cherrycove.first": formatting.to_printable(record.original_id),
            },
        )
        for number, each in enumerate(record.attempts, 1):
            child = self._tracer.start_span(
                f"attempt {number}",
                context=set_span_in_context(span),
                kind=SpanKind.CLIENT,
                start_time=self._ns(arrived + each.started_after),
                attributes={
                    "cherrycove.node": each.node,
                    "cherrycove.code": each.reason.code.name.lower(),
                    "cherrycove.ending": each.ending.value if each.ending else "still out",
                    "cherrycove.threshold": each.reason.threshold,
                    "cherrycove.out": each.reason.out,
                    "cherrycove.queued": each.reason.queued,
                    "cherrycove.credits": each.reason.credits,
                },
            )
            self._end(child, each.ending is Ending.SERVED, arrived + each.started_after + each.duration)
        self._end(span, record.verdict == "served", record.ended_at)

    def _end(self, span: Span, is_ok: bool, at: float) -> None:
        span.set_status(Status(StatusCode.OK if is_ok else StatusCode.ERROR))
        span.end(self._ns(at))

    def _ns(self, at: float) -> int:
        return int((at + self._offset) * 1e9)

    def close(self) -> None:
        """Write pending spans and stop the SDK's thread; blocks meanwhile."""
        self._provider.shutdown()
