"""The ``late`` command: overdue leases, servers, weight versions and steps."""

from __future__ import annotations

import asyncio
import time

from ..connection.operator import OperatorConnection, QueryFailure
from ..settings.ctl import CtlSettings
from .output import print_json, print_table, print_unreachable
from .running import leader_status


def late(settings: CtlSettings, is_json: bool, step_s: float) -> bool:
    """Print what is late and return whether anything is.

    Late are control instances and entries that do not answer, entries without
    a lease or with an old revision, backend servers that do not answer or
    serve another weight version than the released one, and old open steps.

    Parameters
    ----------
    settings : CtlSettings
        Addresses of the entries and the timeout of a query.
    is_json : bool
        Whether to print JSON instead of tables.
    step_s : float
        Age, in seconds, above which the oldest open step of a job is late.

    Raises
    ------
    ControlError
        When no entry answered in time.
    """
    return asyncio.run(_late(settings, is_json, step_s))


async def _late(settings: CtlSettings, is_json: bool, step_s: float) -> bool:
    async with OperatorConnection(settings) as connection:
        control_statuses, entries = await asyncio.gather(
            connection.query_any("/operator/control"),
            connection.query_all("/operator/entry"),
        )
    rows = [
        *_late_control(control_statuses),
        *_late_entries(control_statuses, entries),
        *_late_servers(control_statuses, entries),
        *_late_steps(control_statuses, step_s),
    ]
    if is_json:
        print_json([{"what": what, "why": why} for what, why in rows])
    else:
        print_table("late", ("what", "why"), rows)
        print_unreachable(entries)
    return bool(rows)


def _late_control(control_statuses: dict) -> list[tuple[str, str]]:
    return [
        (f"control instance {address}", "does not answer")
        for address, answer in control_statuses.items()
        if answer is None
    ]


def _late_entries(control_statuses: dict, entries: dict) -> list[tuple[str, str]]:
    leader = leader_status(control_statuses)
    rows = []
    for address, entry in entries.items():
        if isinstance(entry, QueryFailure):
            rows.append((f"entry {address}", entry.reason))
        elif not entry["is_leased"]:
            rows.append((f"entry {entry['name']}", "has no lease, refuses new work"))
        elif leader and entry["revision"] < leader["revision"]:
            why = (
                f"has applied revision {entry['revision']}, "
                f"but {leader['revision']} is the latest"
            )
            rows.append((f"entry {entry['name']}", why))
    return rows


def _late_servers(control_statuses: dict, entries: dict) -> list[tuple[str, str]]:
    leader = leader_status(control_statuses)
    releases = leader["releases"] if leader else {}
    rows: dict[str, str] = {}
    for entry in entries.values():
        for server in [] if isinstance(entry, QueryFailure) else entry["servers"]:
            name = f"backend server {server['server']}"
            released = releases.get(server["service"])
            if not server["is_usable"] and not server["is_leaving"]:
                rows[name] = f"has not answered {entry['name']} in time"
            elif released is not None and server["version"] != released:
                rows[name] = (
                    f"serves weight version {server['version']} instead of {released}"
                )
    return sorted(rows.items())


def _late_steps(control_statuses: dict, step_s: float) -> list[tuple[str, str]]:
    leader = leader_status(control_statuses)
    rows = []
    for name, job in (leader["jobs"] if leader else {}).items():
        age_s = time.time() - job["oldest_step_at_ms"] / 1000
        if job["steps"] and age_s > step_s:
            why = f"step {job['oldest_step']} has been open for {age_s:.0f} s"
            rows.append((f"job {name}", why))
    return rows
