"""The ``job`` command: show a rollout job, or create one."""

from __future__ import annotations

import asyncio

import msgspec

from ..connection.operator import OperatorConnection
from ..exceptions import PollenError
from ..settings.ctl import CtlSettings
from .change import parse_value
from .output import print_json, print_table


def job(
    settings: CtlSettings, name: str, assignments: list[str], is_json: bool
) -> None:
    """Create a job if settings are given, else print it.

    Parameters
    ----------
    settings : CtlSettings
        Addresses of the entries and timeouts.
    name : str
        Name of the job.
    assignments : list of str
        ``KEY=VALUE`` for each setting of a new job.
    is_json : bool
        Whether to print JSON instead of a table.

    Raises
    ------
    PollenError
        When an assignment is malformed, the request is refused, or no entry
        answered in time.
    """
    asyncio.run(_job(settings, name, assignments, is_json))


async def _job(
    settings: CtlSettings, name: str, assignments: list[str], is_json: bool
) -> None:
    async with OperatorConnection(settings) as connection:
        if assignments:
            body = {"name": name, **_parse_assignments(assignments)}
            await connection.send_command("/jobs", body)
            print(f"job {name} is created")
            return
        answer = await connection.query_any(f"/jobs/{name}")
    if is_json:
        print_json(answer)
        return
    rows = [(key, msgspec.json.encode(value).decode()) for key, value in answer.items()]
    print_table(f"job {name}", ("what", "value"), rows)


def _parse_assignments(assignments: list[str]) -> dict:
    job_settings = {}
    for assignment in assignments:
        key, equals, value = assignment.partition("=")
        if not equals:
            raise PollenError(f"{assignment!r} must be KEY=VALUE")
        job_settings[key] = parse_value(value)
    return job_settings
