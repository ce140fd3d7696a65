"""Memory of a control instance that stores and restores many batch jobs."""

from __future__ import annotations

import subprocess
import sys

import pytest

# Memory of the smallest machines that run a control instance.
_MACHINE_MB = 170


# Guards against accepted batch jobs that are unreadable, since each instance ends at
# its snapshot, and again at each start.
@pytest.mark.parametrize("restarts", [0, 1])
def test_batch_jobs_of_a_long_day_fit_into_the_memory_of_an_instance(
    tmp_path, restarts
):
    phases = ["fill", *["restart"] * restarts]
    peaks_mb = [
        float(
            subprocess.run(
                [sys.executable, "-m", "tests.durable.large_state", tmp_path, phase],
                check=True,
                capture_output=True,
                text=True,
                timeout=120,
            ).stdout.splitlines()[-1]
        )
        for phase in phases
    ]
    assert peaks_mb[-1] < _MACHINE_MB
