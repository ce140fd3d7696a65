"""HTTP handlers for the queries and commands of operators."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from aiohttp import web

from ..connection.control_api import CallStatus, StatusAnswer
from ..connection.trainer_messages import NameText, NonNegativeInt
from ..durable.configuration_commands import (
    ChangeConfiguration,
    ConfigurationChanged,
    ConfigurationConflict,
    ConfigurationInvalid,
    ReleaseVersion,
)
from ..durable.crash_commands import Pardon
from ..external_data import find_unstorable
from ..ids import Fingerprint, ModelName, Revision, WeightVersion
from ..process.context import EntryContext
from ..release import THIS_RELEASE, UNREPORTED, Release
from .api import (
    execute_command,
    json_response,
    read_command_id,
    read_json,
    with_refusal_responses,
)
from .outcome import Outcome, Refusal, RefusedError, bad_request, unavailable

# Timeout for the status of each control instance.
_STATUS_TIMEOUT_S = 0.7
_MAX_KEY_PARTS = 16


class ChangeBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request that changes the configuration.

    Attributes
    ----------
    changes : dict
        New values by settings key.
    based_on : int or None
        Revision that the change is based on; None for the revision that is
        applied at this entry.
    operator : str
        Who makes the change.
    """

    changes: Annotated[dict[str, Any], msgspec.Meta(min_length=1)]
    based_on: NonNegativeInt | None = None
    operator: str = ""


class ReleaseBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request that releases a weight version of a service."""

    service: NameText
    version: NonNegativeInt


class PardonBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request that lets a suspect or condemned request run again.

    Attributes
    ----------
    fingerprint : str
        Fingerprint of that request.
    """

    fingerprint: str


class ServerStatus(msgspec.Struct):
    """State of a backend server as this entry observes it.

    Attributes
    ----------
    version : int or None
        Weight version that the server serves.
    in_flight : int
        Requests of this entry at the server.
    load : float
        Estimated requests of all entries per slot.
    latency_ms : float
        Smoothed latency of complete answers; 0 without any.
    """

    server: str
    service: str
    address: str
    failure_domain: str
    is_usable: bool
    is_leaving: bool
    version: int | None
    in_flight: int
    load: float
    latency_ms: float


class EntryStatus(msgspec.Struct):
    """State of this entry process.

    Attributes
    ----------
    name : str
        Name of the instance.
    revision : int
        Revision of the configuration that is applied here.
    is_leased : bool
        Whether the entry holds a valid lease.
    is_draining : bool
        Whether the entry is shutting down.
    latencies : dict
        Encoded HdrHistogram of latencies in microseconds by ``service/class``.
    release : Release
        Release that the process runs.
    """

    name: str
    revision: int
    is_leased: bool
    is_draining: bool
    servers: list[ServerStatus]
    latencies: dict[str, str]
    release: Release = UNREPORTED


class WorkspaceStatus(msgspec.Struct):
    """A workspace in the configuration that is applied at this entry.

    Attributes
    ----------
    weight : float
        Its share relative to that of others.
    priority : int or None
        Priority of its requests; None for that of their routes.
    keys : int
        Number of its keys.
    """

    name: str
    weight: float
    priority: int | None
    keys: int


class OperatorApi:
    """HTTP handlers for operators.

    Parameters
    ----------
    context : EntryContext
        Parts of the entry process.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the handlers to a server's router."""
        base = "/pollenlb/v1/operator"
        router.add_post(base + "/configuration", with_refusal_responses(self.change))
        router.add_post(base + "/releases", with_refusal_responses(self.release))
        router.add_post(base + "/pardons", with_refusal_responses(self.pardon))
        router.add_get(base + "/entry", with_refusal_responses(self.entry))
        router.add_get(base + "/workspaces", with_refusal_responses(self.workspaces))
        router.add_get(base + "/control", with_refusal_responses(self.control))

    async def change(self, request: web.Request) -> web.Response:
        """Change the configuration, if it still has the revision that it is based on.

        The response has status 409 when another change came first.

        Raises
        ------
        RefusedError
            When the body or a new value is invalid, or the command failed.
        """
        body = await read_json(request, ChangeBody)
        problem = _find_problem(body.changes)
        if problem is not None:
            raise bad_request(problem, "changes")
        based_on = body.based_on
        if based_on is None:
            based_on = max(0, self._context.configuration.revision)
        command = ChangeConfiguration(body.changes, Revision(based_on), body.operator)
        result = await execute_command(self._context, command, read_command_id(request))
        match result:
            case ConfigurationChanged():
                return json_response(result)
            case ConfigurationConflict():
                return json_response(result, 409)
            case ConfigurationInvalid(problems=problems):
                raise RefusedError(
                    Refusal(422, Outcome.NOT_RUN, "; ".join(problems), None, "changes")
                )
        raise AssertionError(f"unexpected {result}")

    async def release(self, request: web.Request) -> web.Response:
        """Release a weight version of a service."""
        body = await read_json(request, ReleaseBody)
        command = ReleaseVersion(ModelName(body.service), WeightVersion(body.version))
        await execute_command(self._context, command, read_command_id(request))
        return json_response({"service": body.service, "version": body.version})

    async def pardon(self, request: web.Request) -> web.Response:
        """Remove a request that crashed backend servers from the quarantine."""
        body = await read_json(request, PardonBody)
        command = Pardon(Fingerprint(body.fingerprint))
        await execute_command(self._context, command, read_command_id(request))
        return json_response({"fingerprint": body.fingerprint})

    async def entry(self, request: web.Request) -> web.Response:
        """Return the state of this entry process."""
        context = self._context
        servers = [
            ServerStatus(
                server.name,
                server.announcement.service,
                server.announcement.address,
                server.announcement.failure_domain,
                server.is_usable,
                server.is_leaving,
                server.version,
                server.load.in_flight,
                round(server.load.in_flight_per_slot, 3),
                round(1000 * server.load.latency_s, 3),
            )
            for server in context.directory.servers.values()
        ]
        return json_response(
            EntryStatus(
                context.settings.name,
                context.configuration.revision,
                context.configuration.is_leased,
                context.is_draining,
                servers,
                context.metrics.encoded_latencies(),
                THIS_RELEASE,
            )
        )

    async def workspaces(self, request: web.Request) -> web.Response:
        """Return the workspaces by name, with the numbers of their keys only."""
        workspaces = self._context.configuration.settings.workspaces
        return json_response(
            [
                WorkspaceStatus(
                    name,
                    workspace.weight,
                    workspace.priority,
                    len(workspace.key_digests),
                )
                for name, workspace in sorted(workspaces.items())
            ]
        )

    async def control(self, request: web.Request) -> web.Response:
        """Return the state of each control instance, null for one without answer."""
        answers = await self._context.control.query_status(_STATUS_TIMEOUT_S)
        if not any(answers.values()):
            raise unavailable(
                f"no control instance reported its state in {_STATUS_TIMEOUT_S:g} s"
            )
        return json_response(
            {address: _summary(answer) for address, answer in answers.items()}
        )


def _summary(answer: StatusAnswer | None) -> Any:
    if answer is None:
        return None
    summary = msgspec.to_builtins(answer)
    summary["is_leader"] = answer.role == "leader" and (
        answer.status is CallStatus.DONE
    )
    return summary


def _find_problem(changes: dict[str, Any]) -> str | None:
    """Return why changes cannot be proposed, whatever the configuration, or None."""
    if any(key.count(".") >= _MAX_KEY_PARTS for key in changes):
        return f"a key has more than {_MAX_KEY_PARTS} parts"
    return find_unstorable(changes)
