"""Exports traces of sampled requests: attempts as OpenTelemetry spans, as OTLP JSON lines in a file.

One ``ExportTraceServiceRequest`` a line, ids in hex (OTLP specification, JSON Protobuf encoding). The file is
written on a thread of the SDK's. A file that cannot be written is logged once; its traces are dropped and
counted.
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
from cherrycove.broker.decision_log import words
from cherrycove.broker.decision_log.pack import RequestRecord
from cherrycove.broker.event_log import Log
from cherrycove.scheduling.interface import Settings

log = Log("cherrycove.why")

MOST_BYTES = 64 << 20  # of the file; then it is renamed to FILE.1, which replaces the former one
IDS = ("traceId", "spanId", "parentSpanId")


class Bucket:
    """A token bucket: ``rate`` tokens a second, and as many at once."""

    def __init__(self, rate: float) -> None:
        self.rate, self._level, self._at = rate, rate, 0.0

    def take(self, now: float) -> bool:
        """Take a token; return whether there was one."""
        self._level = min(self.rate, self._level + max(now - self._at, 0.0) * self.rate)
        self._at = max(now, self._at)
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


class Sampler:
    """Selects refused, failed and retried requests up to a rate a second, and a random part of the others."""

    def __init__(self, part: float, rate: float, seed: int) -> None:
        self._part, self._bucket, self._dice = part, Bucket(rate), random.Random(seed)
        self.passed_over = 0  # refused and failed ones beyond the rate

    def chosen(self, story: RequestRecord) -> bool:
        """Return whether a request is traced."""
        if story.verdict in ("refused", "failed") or story.repeat:
            if self._bucket.take(story.ended):
                return True
            self.passed_over += 1
            return False
        return self._dice.random() < self._part


class Lines(SpanExporter):
    """Appends spans to the file; called on a thread of the SDK's."""

    def __init__(self, path: Path) -> None:
        self._path, self._failed, self.dropped = path, False, 0

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Append the spans in one line."""
        try:
            line = json.dumps(in_hex(MessageToDict(encode_spans(spans)))) + "\n"
            if self._path.exists() and self._path.stat().st_size + len(line) > MOST_BYTES:
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
        """Do nothing: the file is closed after each line."""


def in_hex(message: Any) -> Any:
    """Return the message with its ids in hex, as OTLP has them; Protobuf's JSON has them in base64."""
    if isinstance(message, dict):
        return {
            key: base64.b64decode(value).hex() if key in IDS else in_hex(value)
            for key, value in message.items()
        }
    return [in_hex(each) for each in message] if isinstance(message, list) else message


class Tracer:
    """Makes the spans of the requests that the sampler selects. The broker's process owns it."""

    def __init__(self, settings: Settings, path: Path, sampler: Sampler, name: str) -> None:
        self.sampler, self.lines = sampler, Lines(path)
        self._settings = settings
        self._provider = TracerProvider(
            resource=Resource({"service.name": "cherrycove", "service.instance.id": name})
        )
        self._provider.add_span_processor(BatchSpanProcessor(self.lines, schedule_delay_millis=1000))
        self._tracer = self._provider.get_tracer("cherrycove.broker.decision_log")
        self._offset = time.time() - time.monotonic()

    def tell(self, story: RequestRecord) -> None:
        """Make the spans of a request if the sampler selects it."""
        if not self.sampler.chosen(story):
            return
        came = story.ended - story.took
        cls = self._settings.classes[story.cls].name if story.cls is not None else "request"
        span = self._tracer.start_span(
            cls,
            kind=SpanKind.SERVER,
            start_time=self._ns(came),
            attributes={
                "cherrycove.request": words.plain(story.id),
                "cherrycove.volume": words.plain(story.volume),
                "cherrycove.verdict": story.verdict,
                "cherrycove.code": story.code.name.lower(),
                "cherrycove.broker.decision_log": words.reason(story),
                "cherrycove.front": story.front,
                "cherrycove.first": words.plain(story.first),
            },
        )
        for number, each in enumerate(story.tries, 1):
            child = self._tracer.start_span(
                f"attempt {number}",
                context=set_span_in_context(span),
                kind=SpanKind.CLIENT,
                start_time=self._ns(came + each.at),
                attributes={
                    "cherrycove.node": each.node,
                    "cherrycove.code": each.why.code.name.lower(),
                    "cherrycove.ending": each.ending.value if each.ending else "still out",
                    "cherrycove.threshold": each.why.threshold,
                    "cherrycove.out": each.why.out,
                    "cherrycove.queued": each.why.queued,
                    "cherrycove.credits": each.why.credits,
                },
            )
            self._end(child, each.ending is Ending.SERVED, came + each.at + each.took)
        self._end(span, story.verdict == "served", story.ended)

    def _end(self, span: Span, well: bool, at: float) -> None:
        span.set_status(Status(StatusCode.OK if well else StatusCode.ERROR))
        span.end(self._ns(at))

    def _ns(self, at: float) -> int:
        return int((at + self._offset) * 1e9)

    def close(self) -> None:
        """Write what is pending; blocks."""
        self._provider.shutdown()
