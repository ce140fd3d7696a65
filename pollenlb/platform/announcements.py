"""Check-ins of the platform's backend servers."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from result import Err, Ok, Result

from ..durable.configuration_commands import (
    Announcement,
    AnnounceServer,
    ServerState,
    WithdrawServer,
)
from ..ids import (
    Address,
    BackendServerName,
    BootId,
    FailureDomain,
    ModelName,
    ServiceName,
    WeightVersion,
)
from ..settings.options import SocketAddress

_Count = Annotated[int, msgspec.Meta(ge=0)]


class LoadedModel(msgspec.Struct):
    """A model that an engine has loaded."""

    name: str
    version: int


class _Heartbeat(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal["ready", "draining"]
    born: Annotated[int, msgspec.Meta(gt=0)]  # when its process started, unix ms
    seq: _Count
    models: list[LoadedModel] = []


class _Deregistration(msgspec.Struct):
    born: _Count = 0


_decode = msgspec.json.Decoder(_Heartbeat).decode
_decode_deregistration = msgspec.json.Decoder(_Deregistration).decode


def read_heartbeat(server: str, body: bytes) -> Result[AnnounceServer, str]:
    """Return the announcement that a check-in holds, or what is wrong with it."""
    try:
        wire = _decode(body)
        SocketAddress().check(wire.address)
    except (msgspec.MsgspecError, ValueError) as error:
        return Err(f"the check-in cannot be read: {error}")
    state = ServerState.LEAVING if wire.state == "draining" else ServerState.SERVING
    announcement = Announcement(
        server=BackendServerName(server),
        service=ServiceName(wire.service),
        address=Address(wire.address),
        failure_domain=FailureDomain(wire.zone),
        boot=BootId(f"{server}/{wire.born}"),
        slots=wire.slots,
        state=state,
        started_at_ms=wire.born,
        sequence=wire.seq,
        models=loaded_versions(wire.models),
    )
    return Ok(AnnounceServer(announcement))


def read_deregistration(server: str, body: bytes) -> WithdrawServer:
    """Return the command to remove a backend server.

    The body may be missing or strange: the server's id is in the path.
    """
    try:
        started_at_ms = _decode_deregistration(body).born
    except msgspec.MsgspecError:
        started_at_ms = 0
    return WithdrawServer(BackendServerName(server), started_at_ms)


def loaded_versions(models: list[LoadedModel]) -> dict[ModelName, WeightVersion]:
    """Return the weight version by model."""
    return {ModelName(each.name): WeightVersion(each.version) for each in models}
