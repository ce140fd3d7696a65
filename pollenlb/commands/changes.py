"""What changed: accepted revisions of the configuration."""

from __future__ import annotations

import asyncio
import datetime

from ..connection.operator import OperatorConnection
from ..settings.ctl import CtlSettings
from .output import print_json, print_table
from .running import leader_of


def changes(settings: CtlSettings, is_json: bool, most: int) -> None:
    """Print the latest accepted changes, newest first.

    Parameters
    ----------
    settings : CtlSettings
        Addresses of the entries.
    is_json : bool
        Whether to print JSON instead of a table.
    most : int
        Number of changes to print.
    """
    asyncio.run(_changes(settings, is_json, most))


async def _changes(settings: CtlSettings, is_json: bool, most: int) -> None:
    async with OperatorConnection(settings) as connection:
        control = await connection.query_any("/operator/control")
    leader = leader_of(control)
    found = list(reversed(leader["changes"] if leader else []))[:most]
    if is_json:
        print_json(found)
        return
    rows = [
        (each["revision"], _when(each["at_ms"]), each["operator"], key, value)
        for each in found
        for key, value in each["changes"].items()
    ]
    print_table("changes", ("revision", "when", "operator", "key", "value"), rows)


def _when(at_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(at_ms / 1000)
    return moment.isoformat(sep=" ", timespec="seconds")
