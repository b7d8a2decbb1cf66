"""The protocol-independent core of the broker: requests, attempts, endings and final answers.

It owns the process's scheduler with its clock, timers and event batches. It is the only package that handles
the scheduler's events and actions, the only one that maps an ``Ending`` to an ``Outcome``, and it ensures
that each request gets exactly one final answer before its client's deadline.
"""

from cherrycove.broker.core.endings import Ending
from cherrycove.broker.core.facade import Core
from cherrycove.broker.core.metrics import Metrics, Recorder, RequestSummary
from cherrycove.broker.core.nodes import Maintenance, Member, NodeList
from cherrycove.broker.core.request_table import answer_margin_s
from cherrycove.broker.core.requests import Answer, Attempt, Backend, Reply, Request, Verdict

__all__ = [
    "Answer",
    "Attempt",
    "Backend",
    "Core",
    "RequestSummary",
    "Ending",
    "Metrics",
    "Maintenance",
    "Member",
    "NodeList",
    "Recorder",
    "Reply",
    "Request",
    "Verdict",
    "answer_margin_s",
]
