"""Memory of this process."""

from __future__ import annotations

import resource
import sys

# The unit of ``ru_maxrss`` differs between systems.
_BYTES_PER_UNIT = 1 if sys.platform == "darwin" else 1024


def peak_memory_mb() -> float:
    """Return the greatest resident memory since the start of the process, in MB."""
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return round(peak * _BYTES_PER_UNIT / 1_000_000, 1)
