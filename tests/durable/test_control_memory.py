"""Memory of a control instance that stores and restores many batch jobs."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

pytestmark = pytest.mark.alone

# Memory of the smallest machines that run a control instance.
_MACHINE_MB = 170


# Guards against accepted batch jobs that are unreadable, since each instance ends at
# its snapshot, and again at each start.
@pytest.mark.parametrize("restarts", [0, 1])
def test_batch_jobs_of_a_long_day_fit_into_the_memory_of_an_instance(
    tmp_path, restarts
):
    phases = ["fill", *["restart"] * restarts]
    peaks_mb = [_peak_memory_mb(tmp_path, phase) for phase in phases]
    assert peaks_mb[-1] < _MACHINE_MB


# Guards against a log in memory that grows for as long as a snapshot takes, on a slow
# disk or a busy machine, and that its replacement copies.
def test_slow_snapshots_need_no_more_memory(tmp_path):
    assert _peak_memory_mb(tmp_path, "fill", "1") < _MACHINE_MB


def _peak_memory_mb(folder: Path, *arguments: str) -> float:
    process = subprocess.run(
        [sys.executable, "-m", "tests.durable.large_state", folder, *arguments],
        check=True,
        stdout=subprocess.PIPE,
        text=True,
        timeout=120,
    )
    return float(process.stdout.splitlines()[-1])
