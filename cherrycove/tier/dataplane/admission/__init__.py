"""Admission control of one proxy: decides which request starts an attempt at which broker, and when.

The scheduler is a state machine: it receives events with their time and returns actions. No
module of this package does I/O, reads a clock or starts tasks;
``cherrycove.tier.dataplane.admission_controller`` does that on its behalf. ``docs/design/admission.md`` gives
the reasons for the design.
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
