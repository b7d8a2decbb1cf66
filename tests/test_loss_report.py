"""The loss report: parsing of a log and of a bench report, and distribution of a kind's loss over causes."""

from __future__ import annotations

import pytest

from bench.loss_report import KindLoss, LossLine, by_second, read_log, read_report, table

LOG = """
  -2.1000 fe-west-end-1 {"event": "configuration_in_force", "version": 1}
   3.4567 fe-west-end-1 {"event": "requests_lost", "losses": {"r-1": {"broker_queue": 3, "broker_pause": 1}}}
   4.0001 fe-east-2/proxy {"event": "requests_lost", "losses": {"r-2": {"leased_late": 2}}}
   4.5000 fe-east-2/proxy requests_lost is no event here
"""


def test_the_log_gives_counts_by_second_zone_route_and_cause() -> None:
    assert list(read_log(LOG.splitlines())) == [
        LossLine(3, "west-end", "r-1", "broker_queue", 3),
        LossLine(3, "west-end", "r-1", "broker_pause", 1),
        LossLine(4, "east", "r-2", "leased_late", 2),
    ]
    assert by_second(read_log(LOG.splitlines()))[4] == {"leased_late": 2}


def test_the_lost_worth_of_a_kind_is_distributed_by_counts() -> None:
    kinds = read_report({"classes": [{"name": "chat", "n": 100, "worth": 0.8}]})
    assert kinds == {"chat": KindLoss("chat", 100, pytest.approx(0.2))}
    rows = [row.split() for row in table(read_log(LOG.splitlines()), kinds, {"r-1": "chat"})]
    assert rows == [
        ["chat", "broker_queue", "3", "0.1500"],
        ["r-2", "leased_late", "2", "-"],
        ["chat", "broker_pause", "1", "0.0500"],
    ]


def test_a_report_of_another_form_raises_an_error_with_the_missing_field() -> None:
    with pytest.raises(KeyError, match="classes"):
        read_report({"days": []})
