"""Runs a case: starts the deployment, calls the case, ends all processes."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from .deployment import Deployment, Record
from .peers import Client

HELD, BROKEN, NOT_RUN = 0, 1, 2
# A case ends by itself after this time; the users allow 120 s.
_MAX_S = 110


class CaseNotRunError(Exception):
    """The deployment did not get as far as the case needs."""


Case = Callable[[Deployment, Client, Record, bool], Awaitable[bool]]


def run_case(
    case: Case,
    record_path: Path,
    is_disrupted: bool,
    controls: int = 3,
    entries: int = 2,
    entry_zones: int = 3,
) -> None:
    """Run a case and exit with 0 if its rule held, 1 if not, 2 if it could not run.

    Parameters
    ----------
    case : callable
        Gets the deployment, a client, the record and whether the disruption is
        wanted; returns whether the rule held.
    record_path : Path
        File to which what was sent, answered and run is written.
    is_disrupted : bool
        Whether the disruption is wanted.
    controls, entries : int
        Number of control instances and of entries.
    entry_zones : int
        Number of zones that the entries are in.
    """
    record = Record(record_path)
    deployment = Deployment(controls, entries, entry_zones)
    code = NOT_RUN
    try:
        deployment.start()
        code = asyncio.run(_run(deployment, case, record, is_disrupted))
    except Exception as error:  # an error of the script says nothing of the rule
        record.write(f"case could not run: {error!r}")
    finally:
        deployment.stop()
    verdict = {HELD: "rule held", BROKEN: "rule broken", NOT_RUN: "could not run"}
    record.write(f"{verdict[code]}; disruption: {is_disrupted}")
    print(verdict[code])
    sys.exit(code)


async def _run(
    deployment: Deployment, case: Case, record: Record, is_disrupted: bool
) -> int:
    client = Client(deployment.control_addresses, deployment.front_addresses, record)
    async with asyncio.timeout(_MAX_S):
        is_held = await case(deployment, client, record, is_disrupted)
    return HELD if is_held else BROKEN
