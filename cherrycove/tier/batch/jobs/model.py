"""What a store keeps of batch jobs: jobs, their items, and the results at their positions.

A job with unfinished items is an ``OpenJob``. Once nothing is left to be run it is a ``FinishedJob``: one
compressed block that no snapshot writes a second time. Items lose their bodies when they get their results,
so only a job that its client ended early has any left.
"""

from __future__ import annotations

import attrs

from cherrycove.tier.protocol.batch_log_pb2 import JobSnapshot
from cherrycove.tier.protocol.batch_pb2 import ItemReference, SubmitRequest
from cherrycove.tier.storage.snapshot_state import StateBlock

RECORD_OVERHEAD_BYTES = 400  # of one item or result beside its payload, in memory
FINISHED_OVERHEAD_BYTES = 600  # of a finished job beside its block


@attrs.frozen
class ItemKey:
    """Identifies one item of one job."""

    job_id: str
    item_id: str

    @classmethod
    def of(cls, reference: ItemReference) -> ItemKey:
        """The key that a message names."""
        return cls(reference.job_id, reference.item_id)


@attrs.define
class StoredItem:
    """One item of a job."""

    encoded: bytes  # serialized Item; empty once it was dropped
    has_result: bool = False
    failed_attempts: int = 0  # answers of status 500; never goes down


@attrs.frozen
class StoredResult:
    """One result; its position is its index in the job's list."""

    item_id: str
    completed: bool  # False: dead-lettered
    text: bytes  # of a dead-lettered item: the reason


@attrs.define
class OpenJob:
    """A batch job with items to be run. ``submission`` is the request that brought it, without the items."""

    submission: SubmitRequest
    received_unix_ms: int  # time of day at the primary of that time
    items: dict[str, StoredItem]  # by item id, in the order of the request
    results: list[StoredResult] = attrs.field(factory=list)

    is_done = False
    ended = False

    @property
    def job_id(self) -> str:
        """The id that the client gave the job."""
        return self.submission.job_id

    @property
    def total(self) -> int:
        """How many items the job has."""
        return len(self.items)

    @property
    def result_count(self) -> int:
        """How many items have a result."""
        return len(self.results)

    @property
    def has_all_results(self) -> bool:
        """Whether no item is left to be run."""
        return len(self.results) == len(self.items)

    def unfinished_item_ids(self) -> list[str]:
        """Ids of the items without a result, in the order of the request."""
        return [item_id for item_id, item in self.items.items() if not item.has_result]

    def finished(self, *, ended: bool) -> FinishedJob:
        """The job when nothing is left to be run; ``ended`` by its client, or with all its results."""
        block = StateBlock.final(self.to_message().SerializeToString())
        return FinishedJob(
            self.job_id, self.received_unix_ms, self.total, self.result_count, ended=ended, block=block
        )

    def to_message(self) -> JobSnapshot:
        """The job as it stands in a snapshot."""
        message = JobSnapshot(terms=self.submission, received_unix_ms=self.received_unix_ms)
        for item_id, item in self.items.items():
            message.items.add(item_id=item_id, encoded=item.encoded, failed_attempts=item.failed_attempts)
        for result in self.results:
            message.results.add(item_id=result.item_id, completed=result.completed, text=result.text)
        return message


def _content(block: StateBlock) -> bytes:
    return block.content


@attrs.define
class FinishedJob:
    """A batch job of which nothing is left to be run. What is not a field here is decoded at each use."""

    job_id: str
    received_unix_ms: int
    total: int
    result_count: int
    ended: bool  # by its client
    block: StateBlock = attrs.field(eq=_content)  # a serialized JobSnapshot; of ``ended`` it says nothing

    is_done = True

    @property
    def size_bytes(self) -> int:
        """What the job takes, in memory and on disk."""
        return len(self.block.content) + FINISHED_OVERHEAD_BYTES

    @property
    def content(self) -> OpenJob:
        """The job as it was when it was finished."""
        return job_of_message(JobSnapshot.FromString(self.block.data()))

    @property
    def submission(self) -> SubmitRequest:
        """The request that brought the job, without the items."""
        return self.content.submission

    @property
    def items(self) -> dict[str, StoredItem]:
        """By item id, in the order of the request."""
        return self.content.items

    @property
    def results(self) -> list[StoredResult]:
        """The results at their positions."""
        return self.content.results

    def unfinished_item_ids(self) -> list[str]:
        """No item is to be run any more."""
        return []


Job = OpenJob | FinishedJob


def job_of_message(message: JobSnapshot) -> OpenJob:
    """The job that a message of a snapshot holds, as an open one."""
    items: dict[str, StoredItem] = {}
    for item in message.items:
        items.setdefault(item.item_id, StoredItem(item.encoded, failed_attempts=item.failed_attempts))
    results = [StoredResult(entry.item_id, entry.completed, entry.text) for entry in message.results]
    for result in results:
        items[result.item_id].has_result = True
    submission = SubmitRequest()
    submission.CopyFrom(message.terms)  # a submessage would keep the whole message in memory
    return OpenJob(submission, message.received_unix_ms, items, results)
