"""The release of a process, and which formats of stored and sent data it reads.

Format 0 is what release 0.1.0 reads, which reports no release. What raises the format
is in ``docs/design/upgrades.md``.
"""

from __future__ import annotations

import msgspec

from . import __version__
from .ids import FormatVersion

# Since this format, no workspace finds the work of another one.
WORKSPACES_APART = FormatVersion(1)
# Since this format, the failed runs of an item count on in later batch jobs.
FAILED_RUNS_CARRIED = FormatVersion(1)


class Release(msgspec.Struct, frozen=True):
    """Release that a process runs, as it reports it to others.

    Attributes
    ----------
    version : str
        Version of the package; empty for a process that reports none.
    reads : FormatVersion
        Newest format of the replicated log and its snapshots that it can read.
    """

    version: str = ""
    reads: FormatVersion = FormatVersion(0)

    def __str__(self) -> str:
        name = f"release {self.version}" if self.version else "an earlier release"
        return f"{name}, which reads format {self.reads}"


UNREPORTED = Release()
THIS_RELEASE = Release(__version__, WORKSPACES_APART)
