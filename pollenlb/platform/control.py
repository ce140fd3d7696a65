"""What the platform's operator, trainers and backend servers ask of control."""

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
from ..ids import CommandId, InstanceName, ModelName, WeightVersion, new_id
from ..process.control_context import ControlContext
from .announcements import read_deregistration, read_heartbeat
from .configuration import read_configuration
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

_MOST_BODY_BYTES = 64 * 1024 * 1024
_SERVER_TIMEOUT_S = 0.9  # a backend server takes a later answer for none
_OPERATOR_TIMEOUT_S = 2.0


class _NamedVersion(msgspec.Struct):
    model: str
    version: int


_decode_version = msgspec.json.Decoder(_NamedVersion).decode


class ControlApi:
    """HTTP handlers of a control instance.

    Parameters
    ----------
    control : ControlConnection
        Reaches the leader, wherever it is.
    """

    def __init__(self, control: ControlConnection) -> None:
        self._control = control

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the handlers to a server's router."""
        router.add_post(HEARTBEAT_PATH, _or_unavailable(self.announce))
        router.add_post(DEREGISTER_PATH, _or_unavailable(self.withdraw))
        router.add_post(REPLACE_CONFIGURATION_PATH, _or_unavailable(self.replace))
        router.add_get(READ_CONFIGURATION_PATH, _or_unavailable(self.read))
        router.add_post(RETIRE_PATH, _or_unavailable(self.retire))
        router.add_get(RETIREMENT_PATH, _or_unavailable(self.retirement))
        router.add_post(VERSION_PATH, _or_unavailable(self.release))

    async def announce(self, request: web.Request) -> web.Response:
        """Enter a backend server, or keep it entered."""
        match read_heartbeat(request.match_info["server"], await request.read()):
            case Err(problem):
                return web.Response(status=400, text=problem)
            case Ok(command):
                await self._execute(command, _SERVER_TIMEOUT_S)
        return web.json_response({})

    async def withdraw(self, request: web.Request) -> web.Response:
        """Remove a backend server that leaves."""
        server = request.match_info["server"]
        command = read_deregistration(server, await request.read())
        await self._execute(command, _SERVER_TIMEOUT_S)
        return web.json_response({})

    async def replace(self, request: web.Request) -> web.Response:
        """Put a whole configuration in force."""
        match read_configuration(await request.read()):
            case Err(problem):
                return web.Response(status=400, text=problem)
            case Ok(command):
                result = await self._execute(command, _OPERATOR_TIMEOUT_S)
        if isinstance(result, ConfigurationInvalid):
            return web.Response(status=400, text="\n".join(result.problems))
        return web.json_response({})

    async def read(self, request: web.Request) -> web.Response:
        """Return the newest configuration as it was sent."""
        deadline = deadline_in(_OPERATOR_TIMEOUT_S)
        read = await self._control.read_configuration(deadline)
        if not read.version:
            return web.Response(status=503, text="no configuration was sent yet")
        return web.Response(body=read.source, content_type="application/json")

    async def release(self, request: web.Request) -> web.Response:
        """Name a version of a model that engines should have."""
        try:
            wire = _decode_version(await request.read())
        except msgspec.MsgspecError as error:
            return web.Response(status=400, text=f"cannot be read: {error}")
        command = ReleaseVersion(ModelName(wire.model), WeightVersion(wire.version))
        await self._execute(command, _OPERATOR_TIMEOUT_S)
        return web.json_response({})

    async def retire(self, request: web.Request) -> web.Response:
        """Begin to empty an instance."""
        retirement = await self._retire(request, is_question=False)
        status = {Retirement.UNKNOWN: 404, Retirement.TOO_FEW: 409}.get(retirement, 200)
        return web.Response(status=status)

    async def retirement(self, request: web.Request) -> web.Response:
        """Tell how far an instance is emptied."""
        retirement = await self._retire(request, is_question=True)
        if retirement is Retirement.UNKNOWN:
            return web.Response(status=404)
        return web.json_response({"state": retirement.value})

    async def _retire(self, request: web.Request, is_question: bool) -> Retirement:
        instance = InstanceName(request.match_info["instance"])
        asked = RetireRequest(instance, is_question)
        deadline = deadline_in(_OPERATOR_TIMEOUT_S)
        answer = await self._control.retire(asked, deadline)
        assert answer.retirement is not None
        return answer.retirement

    async def _execute(self, command: AnyCommand, timeout_s: float) -> AnyResult:
        command_id = CommandId(new_id("call"))
        return await self._control.propose(command, command_id, deadline_in(timeout_s))


def make_control_application(
    control: ControlConnection, context: ControlContext
) -> web.Application:
    """Return what a control instance serves over HTTP."""
    application = web.Application(client_max_size=_MOST_BODY_BYTES)
    ControlApi(control).add_routes(application.router)
    return application


def _or_unavailable(handler: Handler) -> Handler:
    async def handle(request: web.Request) -> web.Response:
        try:
            return await handler(request)
        except ControlError as error:
            return web.Response(status=503, text=str(error))

    return handle
