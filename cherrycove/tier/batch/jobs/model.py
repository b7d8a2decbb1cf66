"""Defines what a store keeps of batch jobs: jobs, their items, and the results in order.

A job with unfinished items is an ``OpenJob``. Once no item remains to be run it becomes a ``FinishedJob``:
one compressed block that is not written again by later snapshots. An item's body is dropped when the item
gets its result, so only a job that its client ended early still has bodies.
"""

from __future__ import annotations

import attrs

from cherrycove.tier.protocol.batch_log_pb2 import JobSnapshot
from cherrycove.tier.protocol.batch_pb2 import ItemReference, SubmitRequest
from cherrycove.tier.storage.snapshot_state import StateBlock

RECORD_OVERHEAD_BYTES = 400  # memory that one item or result takes in addition to its payload
FINISHED_OVERHEAD_BYTES = 600  # size of a finished job in addition to its block


@attrs.frozen
class ItemKey:
    """Identifies one item of one job."""

    job_id: str
    item_id: str

    @classmethod
    def of(cls, reference: ItemReference) -> ItemKey:
        """Return the key of the item that a message refers to."""
        return cls(reference.job_id, reference.item_id)


@attrs.define
class StoredItem:
    """Holds one item of a job."""

    encoded: bytes  # serialized Item; empty once the body was dropped
    has_result: bool = False
    failed_attempts: int = 0  # responses of status 500; never decreases


@attrs.frozen
class StoredResult:
    """Holds one result. Its position is its index in the job's list of results."""

    item_id: str
    completed: bool  # False if the item was dead-lettered
    text: bytes  # event data of a completed item, or the dead-letter reason


@attrs.define
class OpenJob:
    """Holds a batch job with items left to run. ``submission`` is the client's request without its items."""

    submission: SubmitRequest
    received_unix_ms: int  # time of day at the primary that accepted the job
    items: dict[str, StoredItem]  # by item id, in the order of the request
    results: list[StoredResult] = attrs.field(factory=list)

    is_done = False
    ended = False

    @property
    def job_id(self) -> str:
        """Return the id that the client gave the job."""
        return self.submission.job_id

    @property
    def total(self) -> int:
        """Return how many items the job has."""
        return len(self.items)

    @property
    def result_count(self) -> int:
        """Return how many items have a result."""
        return len(self.results)

    @property
    def has_all_results(self) -> bool:
        """Return whether every item has a result."""
        return len(self.results) == len(self.items)

    def unfinished_item_ids(self) -> list[str]:
        """Return the ids of the items without a result, in the order of the request."""
        return [item_id for item_id, item in self.items.items() if not item.has_result]

    def finished(self, *, ended: bool) -> FinishedJob:
        """Convert the job to a finished one. ``ended`` says whether its client ended it."""
        block = StateBlock.final(self.to_message().SerializeToString())
        return FinishedJob(
            self.job_id, self.received_unix_ms, self.total, self.result_count, ended=ended, block=block
        )

    def to_message(self) -> JobSnapshot:
        """Return the job in the form in which snapshots hold it."""
        message = JobSnapshot(terms=self.submission, received_unix_ms=self.received_unix_ms)
        for item_id, item in self.items.items():
            message.items.add(item_id=item_id, encoded=item.encoded, failed_attempts=item.failed_attempts)
        for result in self.results:
            message.results.add(item_id=result.item_id, completed=result.completed, text=result.text)
        return message


def _block_content(block: StateBlock) -> bytes:
    return block.content


@attrs.define
class FinishedJob:
    """Holds a batch job with no items left to run. Properties are decoded from the block at each access."""

    job_id: str
    received_unix_ms: int
    total: int
    result_count: int
    ended: bool  # whether its client ended it
    block: StateBlock = attrs.field(eq=_block_content)  # serialized JobSnapshot in which ``ended`` is not set

    is_done = True

    @property
    def size_bytes(self) -> int:
        """Return the size of the job, in memory and on disk."""
        return len(self.block.content) + FINISHED_OVERHEAD_BYTES

    @property
    def content(self) -> OpenJob:
        """Decode the job as it was when it finished."""
        return job_from_message(JobSnapshot.FromString(self.block.data()))

    @property
    def submission(self) -> SubmitRequest:
        """Return the client's request without its items."""
        return self.content.submission

    @property
    def items(self) -> dict[str, StoredItem]:
        """Return the items by item id, in the order of the request."""
        return self.content.items

    @property
    def results(self) -> list[StoredResult]:
        """Return the results in the order of their positions."""
        return self.content.results

    def unfinished_item_ids(self) -> list[str]:
        """Return an empty list, since no item remains to be run."""
        return []


Job = OpenJob | FinishedJob


def job_from_message(message: JobSnapshot) -> OpenJob:
    """Build an open job from its snapshot message."""
    items: dict[str, StoredItem] = {}
    for item in message.items:
        items.setdefault(item.item_id, StoredItem(item.encoded, failed_attempts=item.failed_attempts))
    results = [StoredResult(entry.item_id, entry.completed, entry.text) for entry in message.results]
    for result in results:
        items[result.item_id].has_result = True
    submission = SubmitRequest()
    submission.CopyFrom(message.terms)  # a reference to the submessage would keep all of message in memory
    return OpenJob(submission, message.received_unix_ms, items, results)
