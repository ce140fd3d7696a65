"""HTTP calls that control instances take from the platform.

The callers are the platform's operator, its trainers and its backend servers.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web
from result import Err, Ok

from ..clock import deadline_in
from ..connection.control import ControlConnection
from ..connection.control_api import Retirement, RetireRequest
from ..durable.commands import AnyCommand, AnyResult
from ..durable.configuration_commands import ConfigurationInvalid, ReleaseVersion
from ..exceptions import ControlError
from ..external_data import Count, ExternalName, json_decoder
from ..ids import CommandId, InstanceName, ModelName, WeightVersion, new_id
from ..process.control_context import ControlContext
from .announcements import parse_deregistration, parse_heartbeat
from .configuration import parse_configuration, unpack_source
from .names import (
    DEREGISTER_PATH,
    HEARTBEAT_PATH,
    READ_CONFIGURATION_PATH,
    REPLACE_CONFIGURATION_PATH,
    RETIRE_PATH,
    RETIREMENT_PATH,
    VERSION_PATH,
)

Handler = Callable[[web.Request], Awaitable[web.Response]]

_MAX_BODY_BYTES = 64 * 1024 * 1024
# Backend servers treat a later answer to a check-in or deregistration as missing.
_SERVER_TIMEOUT_S = 0.9
_OPERATOR_TIMEOUT_S = 2.0


class _ReleaseBody(msgspec.Struct):
    """Body of a release of a weight version."""

    model: ExternalName
    version: Count


_decode_release = json_decoder(_ReleaseBody)


class ControlApi:
    """HTTP handlers of a control instance.

    Any control instance takes these calls and forwards them to the leader. A call
    that the leader does not answer in time gets status 503.

    Parameters
    ----------
    control : ControlConnection
        Connection to the leader, whichever instance that is.
    """

    def __init__(self, control: ControlConnection) -> None:
        self._control = control

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the handlers to a server's router."""
        router.add_post(
            HEARTBEAT_PATH, _unavailable_on_control_error(self.announce_server)
        )
        router.add_post(
            DEREGISTER_PATH, _unavailable_on_control_error(self.withdraw_server)
        )
        router.add_post(
            REPLACE_CONFIGURATION_PATH,
            _unavailable_on_control_error(self.replace_configuration),
        )
        router.add_get(
            READ_CONFIGURATION_PATH,
            _unavailable_on_control_error(self.read_configuration),
        )
        router.add_post(
            RETIRE_PATH, _unavailable_on_control_error(self.begin_retirement)
        )
        router.add_get(
            RETIREMENT_PATH, _unavailable_on_control_error(self.read_retirement)
        )
        router.add_post(
            VERSION_PATH, _unavailable_on_control_error(self.release_version)
        )

    async def announce_server(self, request: web.Request) -> web.Response:
        """Handle a check-in: add a backend server to the directory or keep it there."""
        match parse_heartbeat(request.match_info["server"], await request.read()):
            case Err(problem):
                return web.Response(status=400, text=problem)
            case Ok(command):
                await self._propose(command, _SERVER_TIMEOUT_S)
        return web.json_response({})

    async def withdraw_server(self, request: web.Request) -> web.Response:
        """Handle a deregistration: remove a backend server from the directory."""
        server = request.match_info["server"]
        command = parse_deregistration(server, await request.read())
        await self._propose(command, _SERVER_TIMEOUT_S)
        return web.json_response({})

    async def replace_configuration(self, request: web.Request) -> web.Response:
        """Replace the complete configuration, if its version is the highest."""
        match parse_configuration(await request.read()):
            case Err(problem):
                return web.Response(status=400, text=problem)
            case Ok(command):
                result = await self._propose(command, _OPERATOR_TIMEOUT_S)
        if isinstance(result, ConfigurationInvalid):
            return web.Response(status=400, text="\n".join(result.problems))
        return web.json_response({})

    async def read_configuration(self, request: web.Request) -> web.Response:
        """Return the newest configuration, byte for byte as it was sent."""
        deadline = deadline_in(_OPERATOR_TIMEOUT_S)
        latest = await self._control.read_configuration(deadline)
        if not latest.version:
            return web.Response(
                status=503, text="no configuration has been received yet"
            )
        return web.Response(
            body=unpack_source(latest.source), content_type="application/json"
        )

    async def release_version(self, request: web.Request) -> web.Response:
        """Release a weight version of a model, which its engines are to load."""
        try:
            release = _decode_release(await request.read())
        except msgspec.MsgspecError as error:
            return web.Response(status=400, text=f"release is invalid: {error}")
        command = ReleaseVersion(
            ModelName(release.model), WeightVersion(release.version)
        )
        await self._propose(command, _OPERATOR_TIMEOUT_S)
        return web.json_response({})

    async def begin_retirement(self, request: web.Request) -> web.Response:
        """Begin to retire a control instance.

        The status is 404 if there is no such instance, and 409 if too few would
        remain.
        """
        retirement = await self._retire(request, is_question=False)
        status = {Retirement.UNKNOWN: 404, Retirement.TOO_FEW: 409}.get(retirement, 200)
        return web.Response(status=status)

    async def read_retirement(self, request: web.Request) -> web.Response:
        """Return how far the retirement of a control instance is.

        The status is 404 if there is no such instance.
        """
        retirement = await self._retire(request, is_question=True)
        if retirement is Retirement.UNKNOWN:
            return web.Response(status=404)
        return web.json_response({"state": retirement.value})

    async def _retire(self, request: web.Request, is_question: bool) -> Retirement:
        instance = InstanceName(request.match_info["instance"])
        retire_request = RetireRequest(instance, is_question)
        deadline = deadline_in(_OPERATOR_TIMEOUT_S)
        answer = await self._control.retire(retire_request, deadline)
        assert answer.retirement is not None
        return answer.retirement

    async def _propose(self, command: AnyCommand, timeout_s: float) -> AnyResult:
        command_id = CommandId(new_id("call"))
        return await self._control.propose(command, command_id, deadline_in(timeout_s))


def make_control_application(
    control: ControlConnection, context: ControlContext
) -> web.Application:
    """Return the HTTP application that a control instance serves on the platform.

    Parameters
    ----------
    control : ControlConnection
        Connection to the leader.
    context : ControlContext
        Parts of the control process; not used on the platform.
    """
    application = web.Application(client_max_size=_MAX_BODY_BYTES)
    ControlApi(control).add_routes(application.router)
    return application


def _unavailable_on_control_error(handler: Handler) -> Handler:
    """Return a handler that answers with status 503 on a ``ControlError``."""

    async def handle(request: web.Request) -> web.Response:
        try:
            return await handler(request)
        except ControlError as error:
            return web.Response(status=503, text=str(error))

    return handle
