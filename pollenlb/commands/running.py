"""What is running: control instances, entries, backend servers and jobs."""

from __future__ import annotations

import asyncio

from ..connection.operator import OperatorConnection, Unreachable
from ..settings.ctl import CtlSettings
from .output import print_json, print_table, print_unreachable


def running(settings: CtlSettings, is_json: bool) -> None:
    """Print what is running.

    Parameters
    ----------
    settings : CtlSettings
        Addresses of the entries.
    is_json : bool
        Whether to print JSON instead of tables.
    """
    asyncio.run(_running(settings, is_json))


async def _running(settings: CtlSettings, is_json: bool) -> None:
    async with OperatorConnection(settings) as connection:
        control, entries = await asyncio.gather(
            connection.query_any("/operator/control"),
            connection.query_all("/operator/entry"),
        )
    if is_json:
        print_json({"control": control, "entries": entries})
        return
    _print_control(control)
    _print_entries(entries)
    _print_servers(control, entries)
    _print_jobs(control)
    print_unreachable(entries)


def _print_control(control: dict) -> None:
    rows = [
        (
            (address, each["replica"], each["role"], each["term"], each["commit_index"])
            if each
            else (address, None, "not reached", None, None)
        )
        for address, each in control.items()
    ]
    header = ("address", "replica", "role", "term", "committed")
    print_table("control instances", header, rows)


def _print_entries(entries: dict) -> None:
    rows = [
        (
            each["name"],
            address,
            each["revision"],
            each["is_leased"],
            each["is_draining"],
        )
        for address, each in entries.items()
        if not isinstance(each, Unreachable)
    ]
    print_table("entries", ("name", "address", "revision", "lease", "draining"), rows)


def _print_servers(control: dict, entries: dict) -> None:
    view = next(
        (each for each in entries.values() if not isinstance(each, Unreachable)), None
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
        for server in (view["servers"] if view else ())
    ]
    header = "name service domain usable leaving version load ms".split()
    print_table("backend servers", header, sorted(rows))


def _print_jobs(control: dict) -> None:
    leader = leader_of(control)
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


def leader_of(control: dict) -> dict | None:
    """Return what the leader told, or the best that any control instance did."""
    answers = [each for each in control.values() if each]
    if not answers:
        return None
    return max(answers, key=lambda each: (each["is_leader"], each["commit_index"]))
