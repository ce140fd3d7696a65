"""Event lines on standard output: limited in rate, and written without blocking."""

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
# A burst of 400 lines, and 100 lines per second for at most 2 s.
_MAX_LINES = 600


def test_unread_standard_output_does_not_block_the_process():
    process = subprocess.Popen(
        [sys.executable, "-c", _RECORD],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    # A pipe holds 64 KB, so a writer that blocks until its reader has read would
    # hang here.
    assert process.stderr.readline() == b"done\n"
    written, _ = process.communicate(b"", timeout=30)
    lines = [json.loads(line) for line in written.splitlines()[:-1]]
    assert 0 < len(lines) <= _MAX_LINES
    assert [event["request"] for event in lines[:3]] == ["r0", "r1", "r2"]


def test_next_written_line_tells_how_many_lines_were_left_out():
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
