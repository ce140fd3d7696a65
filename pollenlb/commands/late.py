"""What is late: leases, backend servers, weight versions, steps."""

from __future__ import annotations

import asyncio
import time

from ..connection.operator import OperatorConnection, Unreachable
from ..settings.ctl import CtlSettings
from .output import print_json, print_table, print_unreachable
from .running import leader_of


def late(settings: CtlSettings, is_json: bool, step_s: float) -> bool:
    """Print what is late and tell whether anything is.

    Parameters
    ----------
    settings : CtlSettings
        Addresses of the entries.
    is_json : bool
        Whether to print JSON instead of tables.
    step_s : float
        Seconds after which an open step counts as late.
    """
    return asyncio.run(_late(settings, is_json, step_s))


async def _late(settings: CtlSettings, is_json: bool, step_s: float) -> bool:
    async with OperatorConnection(settings) as connection:
        control, entries = await asyncio.gather(
            connection.query_any("/operator/control"),
            connection.query_all("/operator/entry"),
        )
    rows = [
        *_late_control(control),
        *_late_entries(control, entries),
        *_late_servers(control, entries),
        *_late_steps(control, step_s),
    ]
    if is_json:
        print_json([{"what": what, "why": why} for what, why in rows])
    else:
        print_table("late", ("what", "why"), rows)
        print_unreachable(entries)
    return bool(rows)


def _late_control(control: dict) -> list[tuple[str, str]]:
    return [
        (f"control instance {address}", "does not answer")
        for address, answer in control.items()
        if answer is None
    ]


def _late_entries(control: dict, entries: dict) -> list[tuple[str, str]]:
    leader = leader_of(control)
    rows = []
    for address, entry in entries.items():
        if isinstance(entry, Unreachable):
            rows.append((f"entry {address}", entry.reason))
        elif not entry["is_leased"]:
            rows.append((f"entry {entry['name']}", "has no lease, refuses new work"))
        elif leader and entry["revision"] < leader["revision"]:
            why = f"has revision {entry['revision']} of {leader['revision']} in force"
            rows.append((f"entry {entry['name']}", why))
    return rows


def _late_servers(control: dict, entries: dict) -> list[tuple[str, str]]:
    leader = leader_of(control)
    releases = leader["releases"] if leader else {}
    rows: dict[str, str] = {}
    for entry in entries.values():
        for server in [] if isinstance(entry, Unreachable) else entry["servers"]:
            name = f"backend server {server['server']}"
            wanted = releases.get(server["service"])
            if not server["is_usable"] and not server["is_leaving"]:
                rows[name] = f"gives {entry['name']} no answer"
            elif wanted is not None and server["version"] != wanted:
                rows[name] = f"has weights {server['version']} instead of {wanted}"
    return sorted(rows.items())


def _late_steps(control: dict, step_s: float) -> list[tuple[str, str]]:
    leader = leader_of(control)
    rows = []
    for name, job in (leader["jobs"] if leader else {}).items():
        age_s = time.time() - job["oldest_step_at_ms"] / 1000
        if job["steps"] and age_s > step_s:
            why = f"step {job['oldest_step']} is open for {age_s:.0f} s"
            rows.append((f"job {name}", why))
    return rows
