"""``batch status``: how far a batch job is."""

from __future__ import annotations

from collections import Counter
from typing import Any
from urllib.parse import quote

import attrs
from cleo.helpers import argument, option

from cherrycove.tier.cli.command import JSON_OPTION, CommandError, ExitCode, Outcome, Problem, TierCommand
from cherrycove.tier.cli.http_client import DEFAULT_TIMEOUT_S, HttpRequest, send
from cherrycove.tier.cli.operator_command import TIMEOUT_OPTION, parse_object, rejection

COMPLETED = "completed"
DEAD_LETTERED = "dead_lettered"


@attrs.define
class JobProgress:
    """Results of a job, counted by state."""

    total: int = 0
    listed: Counter[str] = attrs.field(factory=Counter)

    @property
    def open(self) -> int:
        """Items without a result."""
        return max(0, self.total - sum(self.listed.values()))


class BatchStatusCommand(TierCommand):
    name = "batch status"
    description = "Counts the results of a batch job; 0 once every item has one."
    arguments = [argument("job", "Id of the batch job.")]
    options = [
        option("proxy", None, "HOST:PORT of a proxy's frontend.", flag=False),
        option("host", None, "Host name of the job's route.", flag=False),
        TIMEOUT_OPTION,
        JSON_OPTION,
    ]

    def perform(self) -> Outcome:
        job = self.argument("job")
        progress = self._count(job)
        document = {
            "job": job,
            "total": progress.total,
            "completed": progress.listed[COMPLETED],
            "deadLettered": progress.listed[DEAD_LETTERED],
            "open": progress.open,
        }
        counts = ", ".join(f"{name} {value}" for name, value in document.items() if name != "job")
        return Outcome(document, [f"{job}: {counts}"], ExitCode.FAILED if progress.open else ExitCode.DONE)

    def _count(self, job: str) -> JobProgress:
        """Read all pages."""
        progress = JobProgress()
        cursor = 0
        while True:
            page = self._page(job, cursor)
            progress.total = int(page.get("total", 0))
            results = page.get("results") or []
            progress.listed.update(str(result.get("state")) for result in results)
            if not results:
                return progress
            cursor += len(results)

    def _page(self, job: str, cursor: int) -> dict[str, Any]:
        request = HttpRequest(
            "GET", f"/api/lots/{quote(job, safe='')}?pageCursor={cursor}", {"Host": self._required("host")}
        )
        timeout_s = self.integer_option("timeout") or DEFAULT_TIMEOUT_S
        answer = send([self._required("proxy")], request, timeout_s)
        if answer.status != 200:
            raise rejection(answer)
        return parse_object(answer.body, answer.address)

    def _required(self, name: str) -> str:
        value = self.option(name)
        if not value:
            raise CommandError(ExitCode.INVALID, Problem("is required", key=f"--{name}"))
        return str(value)
