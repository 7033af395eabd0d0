"""Tests of the tools that parse the bench's output and logs."""

import pytest

from tools import account
from tools import pairs

WORTH = (
    "worth 0.598 = whole day 0.860 (weight 0.32), worst windows 0.781"
    " (weight 0.08), served at all 0.889 (weight 0.2) less prices\n"
)


def test_worth_and_its_parts_are_read():
    play = pairs.parse_output("day  score\n" + WORTH)
    assert play.worth == 0.598
    assert play.parts == {
        "whole day": 0.860,
        "worst windows": 0.781,
        "served at all": 0.889,
    }
    assert play.broken == ""


def test_a_broken_rule_is_told():
    play = pairs.parse_output(
        "trouble-1  0.598  BROKEN: OWNER (else 0.83)\n" + WORTH
    )
    assert play.broken == "OWNER (else 0.83)"


def test_a_play_without_a_figure_is_no_zero():
    with pytest.raises(ValueError, match="no worth"):
        pairs.parse_output("the day was given up")


def line(second, event, **fields):
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    return (
        f"  {second:.4f} host-1 time_ms=1 process=host-1 event={event} {text}"
    )


def test_losses_are_counted_by_span_service_and_cause():
    lines = [
        line(1.0, "request_refused", service="portal", kind="overloaded"),
        line(1.9, "request_refused", service="portal", kind="overloaded"),
        line(2.1, "request_refused", service="portal", kind="moving"),
        line(
            2.2, "request_late", service="portal", kind="work_60", took_ms=190
        ),
        line(2.3, "request_late", service="portal", kind="work_90", took_ms=95),
        line(2.4, "waited", attempt="a"),
        line(2.5, "lines_left_out", n_request_refused=7, n_waited=3),
    ]
    counts, left_out = account.count_losses(lines, 0.0, 2.0)
    assert counts[0, "portal"] == {"refused: overloaded": 2}
    assert counts[1, "portal"] == {
        "refused: moving": 1,
        "late: waited": 1,
        "late: its work, or came back": 1,
    }
    assert left_out == 7
