"""The ``workspaces`` command: workspaces that share the backend servers."""

from __future__ import annotations

import asyncio

from ..connection.operator import OperatorConnection
from ..settings.ctl import CtlSettings
from .output import print_json, print_table

_COLUMNS = ("name", "weight", "priority", "keys")


def workspaces(settings: CtlSettings, is_json: bool) -> None:
    """Print the workspaces that an entry applies, without their keys.

    Parameters
    ----------
    settings : CtlSettings
        Addresses of the entries and the timeout of a query.
    is_json : bool
        Whether to print JSON instead of a table.

    Raises
    ------
    ControlError
        When no entry answered in time.
    """
    asyncio.run(_workspaces(settings, is_json))


async def _workspaces(settings: CtlSettings, is_json: bool) -> None:
    async with OperatorConnection(settings) as connection:
        statuses = await connection.query_any("/operator/workspaces")
    if is_json:
        print_json(statuses)
        return
    rows = [[status[column] for column in _COLUMNS] for status in statuses]
    print_table("workspaces", _COLUMNS, rows)
