from auburnrock.ctl import explain
from auburnrock.ctl import timeline

LINES = """\
time_ms=1000 process=b event=target_ended target=t-b cause=crash running=3
time_ms=1010 process=a event=repeat attempt=at-1 service=s cause=lost reached=1
time_ms=1020 process=c event=target_ended target=t-c cause=crash running=0
time_ms=1030 process=b event=answer_lost attempt=at-1 kind=outcome_unknown
time_ms=1040 process=a event=request_unknown attempt=at-1 status=502
time_ms=1050 process=a event=request_refused attempt=at-2 status=503
time_ms=1060 process=b event=lines_left_out slow_reader=0 n_waited=9
time_ms=90000 process=a event=store_lost prefix=x
"""


def parsed_events():
    return [timeline.parse_line(line) for line in LINES.splitlines()]


def test_lines_of_an_attempt_are_joined_over_processes():
    explanation = explain.explain_attempt("at-1", parsed_events())
    assert [(e.process, e.event) for e in explanation.request] == [
        ("a", "repeat"),
        ("b", "answer_lost"),
        ("a", "request_unknown"),
    ]


def test_only_state_changes_of_the_same_processes_are_included():
    explanation = explain.explain_attempt("at-1", parsed_events())
    assert [(e.process, e.event) for e in explanation.around] == [
        ("b", "target_ended")
    ]


def test_log_lines_left_out_near_the_request_are_reported():
    assert explain.explain_attempt("at-1", parsed_events()).left_out == ["b"]


def test_an_unknown_attempt_has_no_explanation():
    explanation = explain.explain_attempt("at-9", parsed_events())
    assert explanation.request == explanation.around == []


def test_a_log_line_with_the_prefix_of_a_log_collector_is_parsed():
    line = "   1.23 host-1 time_ms=5 process=a event=stop busy=2"
    assert timeline.parse_line(line).event == "stop"


def test_crashes_of_the_same_request_are_shown_from_all_processes():
    lines = """\
time_ms=1000 process=b event=crash_suspect mark=m1 crashes=1 target=t-b
time_ms=1100 process=c event=crash_reported mark=m1 crashes=1 peer=b
time_ms=1200 process=c event=crash_suspect mark=m2 crashes=1 target=t-c
time_ms=30000 process=d event=target_declined attempt=at-1 mark=m1
time_ms=30001 process=a event=request_refused attempt=at-1 kind=quarantined
"""
    events = [timeline.parse_line(line) for line in lines.splitlines()]
    explanation = explain.explain_attempt("at-1", events)
    assert [(e.process, e.event) for e in explanation.around] == [
        ("b", "crash_suspect"),
        ("c", "crash_reported"),
    ]
