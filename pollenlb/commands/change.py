"""Commands that change the cluster: set, drain and release."""

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
from .running import leader_status


def set_keys(
    settings: CtlSettings,
    assignments: Sequence[str],
    file: Path | None,
    based_on: int | None,
    command_id: CommandId | None,
) -> None:
    """Set configuration keys and wait until every entry has applied them.

    Parameters
    ----------
    settings : CtlSettings
        Addresses of the entries, the operator's name and timeouts.
    assignments : sequence of str
        ``KEY=VALUE``; a value that is not TOML is a string, ``none`` removes
        the key.
    file : Path or None
        TOML file of further keys to set; assignments take precedence.
    based_on : int or None
        Revision that the change is based on; None uses the current one.
    command_id : CommandId or None
        Id of an earlier attempt of the same command, so that it is executed
        only once; None creates an id.

    Raises
    ------
    PollenError
        When there is nothing to set, an assignment or the file is malformed,
        or the change is refused or gets no answer in time.
    """
    changes = {}
    if file is not None:
        changes.update(_flatten(_read_toml(file)))
    for assignment in assignments:
        key, equals, value = assignment.partition("=")
        if not equals or not key:
            raise PollenError(f"{assignment!r} must be KEY=VALUE")
        changes[key] = parse_value(value)
    if not changes:
        raise PollenError("nothing to set; give KEY=VALUE or --file")
    asyncio.run(_submit_changes(settings, changes, based_on, command_id))


def drain(settings: CtlSettings, server: str, is_undone: bool) -> None:
    """Drain a backend server, so that it gets no new work, or undo that.

    Parameters
    ----------
    settings : CtlSettings
        Addresses of the entries, the operator's name and timeouts.
    server : str
        Name of the backend server.
    is_undone : bool
        Whether to let it get new work again.

    Raises
    ------
    PollenError
        When the backend server is not known, or the change is refused or
        gets no answer in time.
    """
    asyncio.run(_drain(settings, server, is_undone))


def release(settings: CtlSettings, service: str, version: int) -> None:
    """Release a weight version to the backend servers of a service.

    Raises
    ------
    PollenError
        When the release is refused or gets no answer in time.
    """
    asyncio.run(_release(settings, service, version))


def parse_value(text: str) -> Any:
    """Return a value parsed as TOML, None for ``none``, or else the text itself."""
    if text == "none":
        return None
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text


async def _submit_changes(
    settings: CtlSettings,
    changes: dict[str, Any],
    based_on: int | None,
    command_id: CommandId | None,
) -> None:
    async with OperatorConnection(settings) as connection:
        if based_on is None:
            based_on = await _current_revision(connection)
        body = {"changes": changes, "based_on": based_on, "operator": settings.operator}
        answer = await connection.send_command(
            "/operator/configuration", body, command_id
        )
    print(f"revision {answer['revision']} is applied at every entry")


async def _current_revision(connection: OperatorConnection) -> int:
    control_statuses = await connection.query_any("/operator/control")
    leader = leader_status(control_statuses)
    return leader["revision"] if leader else 0


async def _drain(settings: CtlSettings, server: str, is_undone: bool) -> None:
    async with OperatorConnection(settings) as connection:
        control_statuses = await connection.query_any("/operator/control")
        leader = leader_status(control_statuses)
        assert leader is not None
        service_by_server = {
            known["server"]: known["service"] for known in leader["servers"]
        }
        if server not in service_by_server:
            names = ", ".join(sorted(service_by_server)) or "none"
            raise PollenError(
                f"{server} is not a known backend server; known servers: {names}"
            )
        service = service_by_server[server]
        table = leader["document"]["services"][service]
        drained = [name for name in table.get("drained", []) if name != server]
        if not is_undone:
            drained.append(server)
        body = {
            "changes": {f"services.{service}.drained": drained},
            "based_on": leader["revision"],
            "operator": settings.operator,
        }
        answer = await connection.send_command("/operator/configuration", body)
    verb = "gets new work again" if is_undone else "gets no new work"
    print(f"{server} {verb} as of revision {answer['revision']}")


async def _release(settings: CtlSettings, service: str, version: int) -> None:
    async with OperatorConnection(settings) as connection:
        body = {"service": service, "version": version}
        await connection.send_command("/operator/releases", body)
    print(f"version {version} is released to {service}")


def _read_toml(file: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(file.read_text())
    except OSError as error:
        raise PollenError(f"file {file} cannot be read: {error.strerror}") from error
    except tomllib.TOMLDecodeError as error:
        raise PollenError(f"file {file} is not valid TOML: {error}") from error


def _flatten(table: dict[str, Any], prefix: str = "") -> dict[str, Any]:
    """Return the values of nested tables by dotted key."""
    flat: dict[str, Any] = {}
    for key, value in table.items():
        if isinstance(value, dict):
            flat.update(_flatten(value, f"{prefix}{key}."))
        else:
            flat[f"{prefix}{key}"] = value
    return flat
