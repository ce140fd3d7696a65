"""Commands that change something: set, drain, release, job."""

from __future__ import annotations

import asyncio
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from ..connection.operator import OperatorConnection
from ..exceptions import PollenError
from ..ids import CommandId
from ..settings.ctl import CtlSettings
from .running import leader_of


def set_keys(
    settings: CtlSettings,
    assignments: Sequence[str],
    file: Path | None,
    based_on: int | None,
    command_id: CommandId | None,
) -> None:
    """Set configuration keys and wait until they are in force everywhere.

    Parameters
    ----------
    settings : CtlSettings
        Addresses of the entries.
    assignments : sequence of str
        ``KEY=VALUE``; the value is TOML, a bare word is text, none removes.
    file : Path or None
        TOML file whose values are set too.
    based_on : int or None
        Revision that the operator saw; None reads the current one.
    command_id : CommandId or None
        Id of an earlier attempt of the same command.
    """
    found = {}
    if file is not None:
        found.update(_flatten(_read_toml(file)))
    for assignment in assignments:
        key, equals, value = assignment.partition("=")
        if not equals or not key:
            raise PollenError(f"{assignment!r} must be KEY=VALUE")
        found[key] = parse_value(value)
    if not found:
        raise PollenError("nothing to set; give KEY=VALUE or --file")
    asyncio.run(_change(settings, found, based_on, command_id))


def drain(settings: CtlSettings, server: str, is_undone: bool) -> None:
    """Give a backend server no new work, or give it work again.

    Parameters
    ----------
    settings : CtlSettings
        Addresses of the entries.
    server : str
        Name of the backend server.
    is_undone : bool
        Whether to give it work again.
    """
    asyncio.run(_drain(settings, server, is_undone))


def release(settings: CtlSettings, service: str, version: int) -> None:
    """Release a weight version to the backend servers of a service."""
    asyncio.run(_release(settings, service, version))


def parse_value(text: str) -> Any:
    """Return a value as TOML reads it, or the text itself; None for ``none``."""
    if text == "none":
        return None
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text


async def _change(
    settings: CtlSettings,
    found: dict[str, Any],
    based_on: int | None,
    command_id: CommandId | None,
) -> None:
    async with OperatorConnection(settings) as connection:
        if based_on is None:
            based_on = await _current_revision(connection)
        body = {"changes": found, "based_on": based_on, "operator": settings.operator}
        answer = await connection.command("/operator/configuration", body, command_id)
    print(f"revision {answer['revision']} is in force at every entry")


async def _current_revision(connection: OperatorConnection) -> int:
    control = await connection.query_any("/operator/control")
    leader = leader_of(control)
    return leader["revision"] if leader else 0


async def _drain(settings: CtlSettings, server: str, is_undone: bool) -> None:
    async with OperatorConnection(settings) as connection:
        control = await connection.query_any("/operator/control")
        leader = leader_of(control)
        assert leader is not None
        known = {each["server"]: each["service"] for each in leader["servers"]}
        if server not in known:
            names = ", ".join(sorted(known)) or "none"
            raise PollenError(f"{server} is not a backend server; known are {names}")
        service = known[server]
        table = leader["document"]["services"][service]
        drained = [each for each in table.get("drained", []) if each != server]
        if not is_undone:
            drained.append(server)
        body = {
            "changes": {f"services.{service}.drained": drained},
            "based_on": leader["revision"],
            "operator": settings.operator,
        }
        answer = await connection.command("/operator/configuration", body)
    verb = "gets work again" if is_undone else "gets no new work"
    print(f"{server} {verb} as of revision {answer['revision']}")


async def _release(settings: CtlSettings, service: str, version: int) -> None:
    async with OperatorConnection(settings) as connection:
        body = {"service": service, "version": version}
        await connection.command("/operator/releases", body)
    print(f"version {version} is released to {service}")


def _read_toml(file: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(file.read_text())
    except OSError as error:
        raise PollenError(f"{file} cannot be read: {error.strerror}") from error
    except tomllib.TOMLDecodeError as error:
        raise PollenError(f"{file} is not valid TOML: {error}") from error


def _flatten(table: dict[str, Any], prefix: str = "") -> dict[str, Any]:
    flat: dict[str, Any] = {}
    for key, value in table.items():
        if isinstance(value, dict):
            flat.update(_flatten(value, f"{prefix}{key}."))
        else:
            flat[f"{prefix}{key}"] = value
    return flat
