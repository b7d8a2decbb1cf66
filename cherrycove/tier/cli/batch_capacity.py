"""The command ``check room``, which checks whether a store has the capacity for a rate of batch jobs."""

from __future__ import annotations

import attrs
from cleo.helpers import argument, option

from cherrycove.tier.batch.store.job_capacity import JobCapacity
from cherrycove.tier.batch.store.traffic_estimate import BatchTraffic, bounds_in_use
from cherrycove.tier.cli.check import read_settings
from cherrycove.tier.cli.command import CommandError, ExitCode, Outcome, Problem, TierCommand
from cherrycove.tier.settings import Settings

DEFAULTS = {
    "jobs-per-s": 1.0,
    "items": 30.0,
    "body-bytes": 2000.0,
    "result-bytes": 4000.0,
    "run-s": 10.0,
    "compressed": 0.7,  # compressed size of random letters as a fraction; about 0.4 for prose
}


@attrs.frozen
class BatchCapacityDocument:
    """The document that ``check room`` prints, with the used fraction of each bound, of which 1 is full."""

    file: str
    fits: bool
    disk: float
    memory: float
    link: float
    jobs_per_s_at_most: float


class CheckBatchCapacityCommand(TierCommand):
    """Estimates the capacity that batch jobs use at a store, before the store serves them."""

    name = "check room"
    description = "Checks whether a store has the capacity for a steady rate of batch jobs."
    arguments = [argument("file", "The settings file of a store (YAML).")]
    options = [
        *TierCommand.options,
        option("jobs-per-s", None, f"Jobs per second [{DEFAULTS['jobs-per-s']:g}].", flag=False),
        option("items", None, f"Items per job [{DEFAULTS['items']:g}].", flag=False),
        option("body-bytes", None, f"Bytes of the body of an item [{DEFAULTS['body-bytes']:g}].", flag=False),
        option(
            "result-bytes",
            None,
            f"Bytes of the result of an item [{DEFAULTS['result-bytes']:g}].",
            flag=False,
        ),
        option(
            "run-s", None, f"Seconds until a job has all its results [{DEFAULTS['run-s']:g}].", flag=False
        ),
        option(
            "compressed",
            None,
            f"Size of compressed results as a fraction of the original size [{DEFAULTS['compressed']:g}].",
            flag=False,
        ),
    ]

    def perform(self) -> Outcome:
        """Return the used capacity; the exit code is FAILED if the traffic does not fit.

        Raises CommandError for invalid input.
        """
        path = self.argument("file")
        settings = read_settings(path)
        traffic = BatchTraffic(
            jobs_per_s=self._positive_number("jobs-per-s"),
            items=self._positive_number("items"),
            body_bytes=self._positive_number("body-bytes"),
            result_bytes=self._positive_number("result-bytes"),
            run_s=self._positive_number("run-s"),
            compressed=self._positive_number("compressed"),
        )
        document = capacity_use(settings, traffic, path)
        exit_code = ExitCode.DONE if document.fits else ExitCode.FAILED
        return Outcome(document, [_describe(document)], exit_code)

    def _positive_number(self, name: str) -> float:
        text = self.option(name)
        if text is None:
            return DEFAULTS[name]
        try:
            number = float(text)
        except ValueError as error:
            raise CommandError(ExitCode.INVALID, Problem("must be a number", key=f"--{name}")) from error
        if not 0 < number < float("inf"):
            raise CommandError(ExitCode.INVALID, Problem("must be above 0", key=f"--{name}"))
        return number


def capacity_use(settings: Settings, traffic: BatchTraffic, file: str) -> BatchCapacityDocument:
    """Return how much of the capacity of a store with ``settings`` the ``traffic`` uses."""
    capacity = JobCapacity.of(settings.limits, settings.bounds.catch_up_s)
    in_use = bounds_in_use(capacity, traffic.demand(settings.bounds.status_s))
    return BatchCapacityDocument(
        file=file,
        fits=max(in_use.values()) <= 1.0,
        disk=round(in_use["disk"], 3),
        memory=round(in_use["memory"], 3),
        link=round(in_use["link"], 3),
        jobs_per_s_at_most=round(_max_jobs_per_s(capacity, traffic, settings.bounds.status_s), 2),
    )


def _max_jobs_per_s(capacity: JobCapacity, traffic: BatchTraffic, status_s: float) -> float:
    """Return the highest rate that fits, by bisection, since the demand only rises with the rate."""
    low, high = 0.0, 1.0
    while _fits(capacity, traffic, high, status_s):
        low, high = high, 2 * high
    for _ in range(30):
        middle = (low + high) / 2
        if _fits(capacity, traffic, middle, status_s):
            low = middle
        else:
            high = middle
    return low


def _fits(capacity: JobCapacity, traffic: BatchTraffic, jobs_per_s: float, status_s: float) -> bool:
    demand = attrs.evolve(traffic, jobs_per_s=jobs_per_s).demand(status_s)
    return capacity.excess_bytes(demand) == 0


def _describe(document: BatchCapacityDocument) -> str:
    verdict = "fits" if document.fits else "does not fit"
    return (
        f"{document.file}: {verdict}; disk {document.disk:.2f}, memory {document.memory:.2f}, "
        f"link {document.link:.2f} of the capacity; at most {document.jobs_per_s_at_most:g} jobs/s"
    )
