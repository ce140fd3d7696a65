"""The ``duties`` command: calls to the infrastructure, and what was ordered."""

from __future__ import annotations

import asyncio
import datetime
from typing import Any

from ..connection.operator import OperatorConnection
from ..settings.ctl import CtlSettings
from .output import print_json, print_table
from .running import leader_status

_HEADER = ("holder", "fencing", "last accepted call", "last call", "reports not sent")
_REPLICA_HEADER = (
    "service",
    "failure domain",
    "reclaimable",
    "ordered",
    "present",
    "status",
    "why",
)


def duties(settings: CtlSettings, is_json: bool) -> None:
    """Print the holder of the duties, its calls, and the ordered servers.

    Parameters
    ----------
    settings : CtlSettings
        Addresses of the entries and the timeout of a query.
    is_json : bool
        Whether to print JSON instead of tables.

    Raises
    ------
    ControlError
        When no entry answered in time.
    """
    asyncio.run(_duties(settings, is_json))


async def _duties(settings: CtlSettings, is_json: bool) -> None:
    async with OperatorConnection(settings) as connection:
        control_statuses = await connection.query_any("/operator/control")
    leader = leader_status(control_statuses)
    view = leader["duties"] if leader else None
    if is_json:
        print_json(view)
        return
    rows = []
    if view is not None:
        rows.append(
            (
                view["holder"] or None,
                view["fencing"],
                _describe_call(view["accepted_call"]),
                _describe_call(view["last_call"]),
                len(view["unsent_windows"]),
            )
        )
    print_table("duties", _HEADER, rows)
    print_table(
        "backend servers",
        _REPLICA_HEADER,
        [
            (
                replica["service"],
                replica["failure_domain"],
                replica["is_reclaimable"],
                replica["ordered"],
                replica["present"],
                replica["status"],
                replica["reason"] or None,
            )
            for replica in (view["replicas"] if view else [])
        ],
    )


def _describe_call(call: dict[str, Any] | None) -> str | None:
    if call is None:
        return None
    called_at = datetime.datetime.fromtimestamp(call["at_ms"] / 1000)
    when = called_at.isoformat(sep=" ", timespec="seconds")
    return f"{call['subject']} at {when}: {call['status'] or 'no response'}"
