"""Admission control of one proxy: which request starts an attempt at which broker, and when. Pure.

The scheduler is a state machine without clock, sockets or tasks: events and the time go in, actions come out.
``cherrycove.tier.dataplane.admission_controller`` drives it. The reasons are in ``docs/design/admission.md``.
"""

from cherrycove.tier.dataplane.admission._interface import (
    Action,
    AdmissionRequest,
    AttemptOutcome,
    CancelStalledAttempt,
    ClusterSnapshot,
    PendingCause,
    Reject,
    RejectionReason,
    StartAttempt,
)
from cherrycove.tier.dataplane.admission._scheduler import AdmissionScheduler

__all__ = [
    "Action",
    "AdmissionRequest",
    "AdmissionScheduler",
    "AttemptOutcome",
    "CancelStalledAttempt",
    "ClusterSnapshot",
    "PendingCause",
    "Reject",
    "RejectionReason",
    "StartAttempt",
]
