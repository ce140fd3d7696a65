"""Lines on standard output: bounded, and never waited for."""

from __future__ import annotations

import json
import subprocess
import sys

_RECORD = """
import sys
from pollenlb.events import EventLog
events = EventLog("entry-0", None)
for number in range(30_000):
    events.record("request.ended", request=f"r{number}", padding="x" * 200)
print("done", file=sys.stderr, flush=True)
sys.stdin.read()
"""
_MOST_LINES = 600  # a burst of 400 and 100 a second


def test_a_standard_output_that_nobody_reads_holds_nothing_up():
    process = subprocess.Popen(
        [sys.executable, "-c", _RECORD],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    # The pipe holds 64 KB; a writer that waited for its reader would hang here.
    assert process.stderr.readline() == b"done\n"
    written, _ = process.communicate(b"", timeout=30)
    lines = [json.loads(line) for line in written.splitlines()[:-1]]
    assert 0 < len(lines) <= _MOST_LINES
    assert [each["request"] for each in lines[:3]] == ["r0", "r1", "r2"]


def test_lines_that_were_left_out_are_counted():
    script = _RECORD.replace("sys.stdin.read()", "").replace(
        'print("done"', 'import time; time.sleep(0.1); events.record("x"); print("done"'
    )
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, timeout=60, check=True
    )
    last = json.loads(done.stdout.splitlines()[-1])
    lines = len(done.stdout.splitlines())
    left_out = sum(
        json.loads(line).get("lines_left_out", 0) for line in done.stdout.splitlines()
    )
    assert last["message_type"] == "x"
    assert lines + left_out == 30_001
