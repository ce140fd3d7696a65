"""Check-ins and deregistrations of the platform's backend servers.

A check-in is the platform's announcement of a backend server, a deregistration
its withdrawal.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from result import Err, Ok, Result

from ..addresses import parse_address
from ..durable.configuration_commands import (
    Announcement,
    AnnounceServer,
    ServerState,
    WithdrawServer,
)
from ..external_data import (
    MAX_INTEGER,
    Count,
    ExternalName,
    is_header_word,
    json_decoder,
)
from ..ids import (
    BackendServerName,
    BootId,
    FailureDomain,
    ModelName,
    ServiceName,
    SoftwareVersion,
    WeightVersion,
)

# More than any server runs; beyond it, sums over servers would lose their meaning.
_MAX_SLOTS = 1_000_000
_MAX_MODELS = 1024


class LoadedModel(msgspec.Struct):
    """A model that an engine has loaded, and its weight version."""

    name: ExternalName
    version: Count


class _Heartbeat(msgspec.Struct):
    """Body of a check-in.

    Attributes
    ----------
    zone : str
        Failure domain of the backend server.
    version : str
        Version of the server's software, not of its weights.
    slots : int
        Number of requests that the backend server runs concurrently.
    born : int
        Start of the server's process, in milliseconds since the epoch.
    seq : int
        Number of the check-in since the start of the process, from 0.
    spot : bool
        Whether the infrastructure may reclaim the server.
    """

    service: ExternalName
    address: str
    zone: ExternalName
    version: ExternalName
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    state: Literal["ready", "draining"]
    born: Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
    seq: Count
    models: Annotated[list[LoadedModel], msgspec.Meta(max_length=_MAX_MODELS)] = []
    spot: bool = False


class _Deregistration(msgspec.Struct):
    """Body of a deregistration.

    Attributes
    ----------
    born : int
        Start of the server's process, in milliseconds since the epoch; 0 when
        not reported.
    """

    born: Count = 0


_decode_heartbeat = json_decoder(_Heartbeat)
_decode_deregistration = json_decoder(_Deregistration)


def parse_heartbeat(server: str, body: bytes) -> Result[AnnounceServer, str]:
    """Return the command for a check-in, or the reason why it is invalid.

    Parameters
    ----------
    server : str
        Name of the backend server, from the path.
    body : bytes
        JSON body of the check-in.
    """
    try:
        heartbeat = _decode_heartbeat(body)
        address = parse_address(heartbeat.address)
    except (msgspec.MsgspecError, ValueError) as error:
        return Err(f"check-in of backend server {server} is invalid: {error}")
    if not is_header_word(server):
        # Requests to the server name it in a header.
        return Err("the name of the backend server is invalid")
    state = (
        ServerState.LEAVING if heartbeat.state == "draining" else ServerState.SERVING
    )
    announcement = Announcement(
        server=BackendServerName(server),
        service=ServiceName(heartbeat.service),
        address=address,
        failure_domain=FailureDomain(heartbeat.zone),
        boot=BootId(f"{server}/{heartbeat.born}"),
        slots=heartbeat.slots,
        state=state,
        started_at_ms=heartbeat.born,
        sequence=heartbeat.seq,
        models=versions_by_model(heartbeat.models),
        software=SoftwareVersion(heartbeat.version),
        is_reclaimable=heartbeat.spot,
    )
    return Ok(AnnounceServer(announcement))


def parse_deregistration(server: str, body: bytes) -> WithdrawServer:
    """Return the command that withdraws a backend server.

    A missing or malformed body is accepted, because the path names the server;
    the start of its process then counts as not reported.

    Parameters
    ----------
    server : str
        Name of the backend server, from the path.
    body : bytes
        JSON body of the deregistration.
    """
    try:
        started_at_ms = _decode_deregistration(body).born
    except msgspec.MsgspecError:
        started_at_ms = 0
    return WithdrawServer(BackendServerName(server), started_at_ms)


def versions_by_model(models: list[LoadedModel]) -> dict[ModelName, WeightVersion]:
    """Return the loaded weight version by model name."""
    return {ModelName(model.name): WeightVersion(model.version) for model in models}
