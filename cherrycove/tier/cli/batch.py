"""The command ``batch status``, which shows the progress of a batch job."""

from __future__ import annotations

from collections import Counter
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

import attrs
from cleo.helpers import argument, option

from cherrycove.tier.cli.command import JSON_OPTION, ExitCode, Outcome
from cherrycove.tier.cli.documents import to_json_object
from cherrycove.tier.cli.http_client import HttpRequest, send
from cherrycove.tier.cli.network_command import TIMEOUT_OPTION, NetworkCommand
from cherrycove.tier.cli.operator_command import parse_object, rejection_error

COMPLETED = "completed"
DEAD_LETTERED = "dead_lettered"


@attrs.frozen
class JobProgress:
    """Counts the results of a job by state."""

    job: str
    total: int
    completed: int
    dead_lettered: int
    open: int  # items without a result


class BatchStatusCommand(NetworkCommand):
    """Counts the results of a batch job over all pages that a proxy returns."""

    name = "batch status"
    description = "Counts the results of a batch job; exits with 0 once every item has one."
    arguments = [argument("job", "Id of the batch job.")]
    options = [
        option("proxy", None, "HOST:PORT of a proxy's frontend.", flag=False),
        option("host", None, "Host name of the job's route.", flag=False),
        TIMEOUT_OPTION,
        JSON_OPTION,
    ]

    def perform(self) -> Outcome:
        """Return the progress; the exit code is FAILED while the job has open items."""
        progress = self._count(self.argument("job"))
        counts = [f"{name} {value}" for name, value in to_json_object(progress).items() if name != "job"]
        exit_code = ExitCode.FAILED if progress.open else ExitCode.DONE
        return Outcome(progress, [f"{progress.job}: {', '.join(counts)}"], exit_code)

    def _count(self, job: str) -> JobProgress:
        """Return the progress after reading all pages, up to the first one without results."""
        states: Counter[str] = Counter()
        cursor = 0
        while True:
            page = self._fetch_page(job, cursor)
            results = page.get("results") or []
            if not results:
                break
            states.update(str(result.get("state")) for result in results)
            cursor += len(results)
        total = int(page.get("total", 0))
        return JobProgress(
            job=job,
            total=total,
            completed=states[COMPLETED],
            dead_lettered=states[DEAD_LETTERED],
            open=max(0, total - states.total()),
        )

    def _fetch_page(self, job: str, cursor: int) -> dict[str, Any]:
        """Return the page of results that begins at position ``cursor``."""
        path = f"/api/lots/{quote(job, safe='')}?pageCursor={cursor}"
        request = HttpRequest("GET", path, {"Host": self.required_option("host")})
        timeout_s = self.timeout_s()
        response = send([self.required_option("proxy")], request, timeout_s)
        if response.status != HTTPStatus.OK:
            raise rejection_error(response)
        return parse_object(response.body, response.address)
