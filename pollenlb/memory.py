"""Memory of this process."""

from __future__ import annotations

import re
import resource
import sys
from pathlib import Path

_STATUS_FILE = Path("/proc/self/status")
_PEAK_LINE = re.compile(r"^VmHWM:\s*(\d+) kB$", re.MULTILINE)
# The unit of ``ru_maxrss`` differs between systems.
_BYTES_PER_UNIT = 1 if sys.platform == "darwin" else 1024


def peak_memory_mb() -> float:
    """Return the greatest resident memory since the start of the process, in MB."""
    try:
        line = _PEAK_LINE.search(_STATUS_FILE.read_text())
    except OSError:
        line = None
    if line is not None:
        return round(int(line[1]) * 1024 / 1_000_000, 1)
    # On Linux this includes the memory of the process that started this one.
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return round(peak * _BYTES_PER_UNIT / 1_000_000, 1)
