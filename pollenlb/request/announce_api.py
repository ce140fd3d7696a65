"""HTTP handler for the announcements of backend servers."""

from __future__ import annotations

from typing import Annotated

import msgspec
from aiohttp import web

from ..addresses import parse_address
from ..connection.trainer_messages import NameText, PositiveInt
from ..durable.configuration_commands import Announcement, AnnounceServer, ServerState
from ..ids import (
    BackendServerName,
    BootId,
    FailureDomain,
    ServiceName,
    SoftwareVersion,
)
from ..process.context import EntryContext
from .api import execute_command, json_response, read_json, with_refusal_responses
from .outcome import bad_request

ANNOUNCE_PATH = "/pollenlb/v1/announce"
# How often a backend server should repeat its announcement.
ANNOUNCE_INTERVAL_S = 2.0


class AnnounceBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of an announcement, which a backend server repeats while it runs.

    Attributes
    ----------
    address : str
        Address at which the backend server takes requests, as ``IP:PORT``.
    boot : str
        Id of the server's process, new after each start.
    slots : int
        Requests that the server runs at the same time.
    state : ServerState
        Whether the server takes new requests or is leaving.
    software : str
        Version of the server's software; empty when it does not report it. Output of
        one version is continued only by servers of the same version.
    """

    server: NameText
    service: NameText
    address: str
    failure_domain: NameText
    boot: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    slots: PositiveInt
    state: ServerState = ServerState.SERVING
    software: Annotated[str, msgspec.Meta(max_length=64)] = ""


class AnnounceApi:
    """HTTP handler for backend servers.

    Parameters
    ----------
    context : EntryContext
        Parts of the entry process.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the handler to a server's router."""
        router.add_post(ANNOUNCE_PATH, with_refusal_responses(self.announce))

    async def announce(self, request: web.Request) -> web.Response:
        """Add a backend server to the directory, or renew its announcement there.

        Raises
        ------
        RefusedError
            When the body is invalid, the service is not configured, or the
            announcement could not be recorded in the replicated log.
        """
        body = await read_json(request, AnnounceBody)
        try:
            address = parse_address(body.address)
        except ValueError as error:
            raise bad_request(f"address {error}", "address") from error
        if body.service not in self._context.configuration.settings.services:
            raise bad_request(
                f"service {body.service!r} is not configured", "service", 404
            )
        announcement = Announcement(
            BackendServerName(body.server),
            ServiceName(body.service),
            address,
            FailureDomain(body.failure_domain),
            BootId(body.boot),
            body.slots,
            body.state,
            software=SoftwareVersion(body.software),
        )
        known = self._context.directory.servers.get(announcement.server)
        if known is not None and known.announcement == announcement:
            self._context.announced_servers.add(announcement.server)
        else:
            await execute_command(self._context, AnnounceServer(announcement), None)
        return json_response({"announce_again_s": ANNOUNCE_INTERVAL_S})
