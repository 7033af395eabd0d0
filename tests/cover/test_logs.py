import io
import json

import hypothesis
from hypothesis import strategies

from auburnrock.shells import logs


def line_with(value: str) -> str:
    pairs = [("key", value)]
    return logs.key_value_line(
        {"process": "portal-1", "message": "refused", "pairs": pairs}
    )


@hypothesis.given(strategies.text())
@hypothesis.example("solver-1\revent=forged")
@hypothesis.example("\u2028 \ud800")
def test_an_event_is_one_line_whatever_a_caller_sends(value):
    line = line_with(value)
    assert line.isprintable()
    line.encode()
    written = line.partition(" key=")[2]
    read = json.loads(written) if written.startswith('"') else written
    assert read == value


def test_an_event_is_kept_and_written():
    stream = io.StringIO()
    event_log = logs.event_log("portal-1", stream)
    event_log.write("sealed", by="portal-2", count=3)
    assert event_log.recent[0].fields == [("by", "portal-2"), ("count", "3")]
    assert stream.getvalue().endswith(
        "process=portal-1 event=sealed by=portal-2 count=3\n"
    )
