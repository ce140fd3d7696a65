"""Helpers of the HTTP handlers for trainers, operators and backend servers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
from aiohttp import web

from ..clock import Deadline, deadline_in
from ..connection.trainer_messages import COMMAND_ID_HEADER
from ..durable.command_base import Refused
from ..durable.commands import AnyCommand, AnyResult
from ..exceptions import CommandInDoubtError, ControlError
from ..external_data import json_decoder
from ..ids import CommandId, new_id
from ..process.context import EntryContext
from .caller_request import request_id_of
from .outcome import (
    Outcome,
    Refusal,
    RefusedError,
    bad_request,
    refusal_response,
    unavailable,
)

T = TypeVar("T")

_COMMAND_TIMEOUT_S = 20.0
_MAX_COMMAND_ID_CHARACTERS = 128

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def with_refusal_responses(handler: Handler) -> Handler:
    """Return a handler that turns a raised ``RefusedError`` into its response."""

    async def handle(request: web.Request) -> web.StreamResponse:
        try:
            return await handler(request)
        except RefusedError as error:
            return refusal_response(error.refusal, request_id_of(request))

    return handle


def json_response(value: Any, status: int = 200) -> web.Response:
    """Return the HTTP response with a value encoded as JSON."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(value),
        content_type="application/json",
    )


async def read_json(request: web.Request, message: type[T]) -> T:
    """Return the validated JSON body of a request.

    Parameters
    ----------
    request : web.Request
        The request.
    message : type
        Type that the body must match.

    Raises
    ------
    RefusedError
        When the body is not JSON or does not match the type; names the
        invalid field.
    """
    try:
        return json_decoder(message)(await request.read())
    except msgspec.ValidationError as error:
        raise bad_request(
            f"the request body is invalid: {error}", _invalid_field(error)
        ) from error
    except msgspec.DecodeError as error:
        raise bad_request(
            f"the request body is not valid JSON: {error}", "body"
        ) from error


def read_command_id(request: web.Request) -> CommandId:
    """Return the command id from a request's header, or a new one without it.

    Raises
    ------
    RefusedError
        When the header is empty or too long.
    """
    text = request.headers.get(COMMAND_ID_HEADER)
    if text is None:
        return CommandId(new_id("command"))
    if not 0 < len(text) <= _MAX_COMMAND_ID_CHARACTERS:
        raise bad_request(
            f"{COMMAND_ID_HEADER} must have 1 to {_MAX_COMMAND_ID_CHARACTERS} "
            "characters",
            COMMAND_ID_HEADER,
        )
    return CommandId(text)


async def execute_command(
    context: EntryContext,
    command: AnyCommand,
    command_id: CommandId | None,
    deadline: Deadline | None = None,
) -> AnyResult:
    """Propose a command to the control instances and return its result.

    Parameters
    ----------
    context : EntryContext
        Parts of the entry process.
    command : Command
        The command.
    command_id : CommandId or None
        Id that makes a resend safe; None for a command without one.
    deadline : Deadline or None
        Deadline of the command; None for a default.

    Raises
    ------
    RefusedError
        When the command was refused (409) or not executed (503), or whether it
        was executed is not known (504).
    """
    deadline = deadline or deadline_in(_COMMAND_TIMEOUT_S)
    try:
        result = await context.control.propose(command, command_id, deadline)
    except CommandInDoubtError as error:
        reason = f"{error}; send it again with the same command id"
        raise RefusedError(Refusal(504, Outcome.UNKNOWN, reason, 1)) from error
    except ControlError as error:
        raise unavailable(str(error)) from error
    if isinstance(result, Refused):
        raise RefusedError(Refusal(409, Outcome.NOT_RUN, result.reason))
    return result


def _invalid_field(error: msgspec.ValidationError) -> str:
    _, _, path = str(error).partition("$.")
    return path.rstrip("`") or "body"
