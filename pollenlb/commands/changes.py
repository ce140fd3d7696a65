"""The ``changes`` command: accepted changes of the configuration."""

from __future__ import annotations

import asyncio
import datetime

from ..connection.operator import OperatorConnection
from ..settings.ctl import CtlSettings
from .output import print_json, print_table
from .running import leader_status


def changes(settings: CtlSettings, is_json: bool, max_count: int) -> None:
    """Print the latest accepted changes, newest first.

    Parameters
    ----------
    settings : CtlSettings
        Addresses of the entries and the timeout of a query.
    is_json : bool
        Whether to print JSON instead of a table.
    max_count : int
        Greatest number of changes to print.

    Raises
    ------
    ControlError
        When no entry answered in time.
    """
    asyncio.run(_changes(settings, is_json, max_count))


async def _changes(settings: CtlSettings, is_json: bool, max_count: int) -> None:
    async with OperatorConnection(settings) as connection:
        control_statuses = await connection.query_any("/operator/control")
    leader = leader_status(control_statuses)
    latest = list(reversed(leader["changes"] if leader else []))[:max_count]
    if is_json:
        print_json(latest)
        return
    rows = [
        (
            change["revision"],
            _local_time(change["at_ms"]),
            change["operator"],
            key,
            value,
        )
        for change in latest
        for key, value in change["changes"].items()
    ]
    print_table("changes", ("revision", "when", "operator", "key", "value"), rows)


def _local_time(at_ms: int) -> str:
    changed_at = datetime.datetime.fromtimestamp(at_ms / 1000)
    return changed_at.isoformat(sep=" ", timespec="seconds")
