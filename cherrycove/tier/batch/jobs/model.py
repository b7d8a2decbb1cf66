"""What a store keeps of batch jobs: jobs, their items, and the results at their positions."""

from __future__ import annotations

import attrs

from cherrycove.tier.protocol.batch_pb2 import ItemReference, SubmitRequest

RECORD_OVERHEAD_BYTES = 400  # of one item or result beside its payload


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

    @property
    def size_bytes(self) -> int:
        """What the result counts against the capacity for jobs."""
        return len(self.text) + RECORD_OVERHEAD_BYTES


@attrs.define
class Job:
    """One batch job. ``submission`` is the request that brought it, without the items."""

    submission: SubmitRequest
    received_unix_ms: int  # time of day at the primary of that time
    items: dict[str, StoredItem]  # by item id, in the order of the request
    results: list[StoredResult] = attrs.field(factory=list)
    ended: bool = False

    @property
    def job_id(self) -> str:
        """The id that the client gave the job."""
        return self.submission.job_id

    @property
    def total(self) -> int:
        """How many items the job has."""
        return len(self.items)

    @property
    def is_done(self) -> bool:
        """Whether nothing is left to be run."""
        return self.ended or len(self.results) == len(self.items)

    @property
    def size_bytes(self) -> int:
        """What the job counts against the capacity for jobs."""
        items = sum(len(item.encoded) + RECORD_OVERHEAD_BYTES for item in self.items.values())
        return items + sum(result.size_bytes for result in self.results)

    def unfinished_item_ids(self) -> list[str]:
        """Ids of the items without a result, in the order of the request."""
        return [item_id for item_id, item in self.items.items() if not item.has_result]
