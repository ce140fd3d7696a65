"""The ``running`` command: control instances, entries, backend servers, jobs."""

from __future__ import annotations

import asyncio

from ..connection.operator import OperatorConnection, QueryFailure
from ..settings.ctl import CtlSettings
from .output import print_json, print_table, print_unreachable


def running(settings: CtlSettings, is_json: bool) -> None:
    """Print the control instances, entries, backend servers and jobs.

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
    asyncio.run(_running(settings, is_json))


async def _running(settings: CtlSettings, is_json: bool) -> None:
    async with OperatorConnection(settings) as connection:
        control_statuses, entries = await asyncio.gather(
            connection.query_any("/operator/control"),
            connection.query_all("/operator/entry"),
        )
    if is_json:
        print_json({"control": control_statuses, "entries": entries})
        return
    _print_control(control_statuses)
    _print_entries(entries)
    _print_servers(control_statuses, entries)
    _print_jobs(control_statuses)
    print_unreachable(entries)


def _print_control(control_statuses: dict) -> None:
    rows = [
        (
            (
                address,
                status["replica"],
                status["role"],
                status["term"],
                status["commit_index"],
                _version(status),
            )
            if status
            else (address, None, "unreachable", None, None, None)
        )
        for address, status in control_statuses.items()
    ]
    header = ("address", "replica", "role", "term", "committed", "release")
    print_table("control instances", header, rows)


def _print_entries(entries: dict) -> None:
    rows = [
        (
            entry["name"],
            address,
            entry["revision"],
            entry["is_leased"],
            entry["is_draining"],
            _version(entry),
        )
        for address, entry in entries.items()
        if not isinstance(entry, QueryFailure)
    ]
    header = ("name", "address", "revision", "lease", "draining", "release")
    print_table("entries", header, rows)


def _version(status: dict) -> str | None:
    """Return the version that a process reports; releases up to 0.1.0 report none."""
    return status.get("release", {}).get("version")


def _print_servers(control_statuses: dict, entries: dict) -> None:
    first_entry = next(
        (entry for entry in entries.values() if not isinstance(entry, QueryFailure)),
        None,
    )
    rows = [
        (
            server["server"],
            server["service"],
            server["failure_domain"],
            server["is_usable"],
            server["is_leaving"],
            server["version"],
            server["load"],
            server["latency_ms"],
        )
        for server in (first_entry["servers"] if first_entry else ())
    ]
    header = "name service domain usable leaving version load ms".split()
    print_table("backend servers", header, sorted(rows))


def _print_jobs(control_statuses: dict) -> None:
    leader = leader_status(control_statuses)
    rows = [
        (
            name,
            job["settings"]["service"],
            job["trainer_version"],
            job["steps"],
            job["open_samples"],
            job["accepted"],
            job["delivered"],
            job["wasted"],
        )
        for name, job in (leader["jobs"] if leader else {}).items()
    ]
    header = "name service version steps open accepted delivered wasted".split()
    print_table("jobs", header, rows)


def leader_status(control_statuses: dict) -> dict | None:
    """Return the leader's status, or the most up-to-date one without a leader.

    Parameters
    ----------
    control_statuses : dict
        Status by address of the control instances; None for those that did
        not answer.

    Returns
    -------
    dict or None
        None when no control instance answered.
    """
    statuses = [status for status in control_statuses.values() if status]
    if not statuses:
        return None
    return max(
        statuses, key=lambda status: (status["is_leader"], status["commit_index"])
    )
