"""Completions for callers, as server-sent events or as one JSON answer."""

from __future__ import annotations

from typing import Any

import msgspec
from aiohttp import web

from ..connection.backend_api import OUTCOME_HEADER, REQUEST_ID_HEADER
from ..connection.engine_api import END_OF_STREAM_DATA, StreamEvent
from ..external_data import find_unstorable, json_decoder
from ..process.context import EntryContext
from .broken_answer import break_off
from .caller_request import CallerRequest
from .generation import Generation, generate
from .outcome import SERVER_HEADER, VERSIONS_HEADER, Outcome, RefusedError, bad_request
from .turns import queue_request


async def answer_completion(
    caller: CallerRequest, context: EntryContext
) -> web.StreamResponse:
    """Run a completion and answer it in the form that the caller requested.

    If a stream cannot be completed after its head was sent, an error event is
    sent and the caller's connection is closed.

    Raises
    ------
    RefusedError
        When the request fails before the head of the answer was sent.
    """
    body = await _read_body(caller, context)
    generation = Generation(
        request_id=caller.request_id,
        service=caller.service_name,
        request_body=body,
        request_class=caller.request_class,
        deadline=caller.deadline,
        is_repeatable=caller.is_repeatable,
        is_delivered=bool(body.get("stream")),
        workspace=caller.workspace,
        usage=context.usage.start_request(caller.workspace),
        queued=queue_request(caller, context),
    )
    if body.get("stream"):
        return await _answer_stream(caller, generation, context)
    async for _ in generate(generation, context):
        pass
    return web.Response(
        body=msgspec.json.encode(_completion_object(generation)),
        content_type="application/json",
        headers=_headers(generation),
    )


async def _read_body(caller: CallerRequest, context: EntryContext) -> dict[str, Any]:
    content = await caller.body.read_complete(context.settings.max_body_bytes)
    try:
        body = json_decoder(Any)(content)
    except msgspec.DecodeError as error:
        raise bad_request(
            f"the request body is not valid JSON: {error}", "body"
        ) from error
    if not isinstance(body, dict):
        raise bad_request("the request body must be a JSON object", "body")
    problem = find_unstorable(body)
    if problem is not None:
        raise bad_request(f"the request body is invalid: {problem}", "body")
    if not isinstance(body.get("prompt"), str):
        raise bad_request("prompt must be a string", "prompt")
    max_tokens = body.setdefault("max_tokens", 16)
    if (
        not isinstance(max_tokens, int)
        or isinstance(max_tokens, bool)
        or max_tokens < 1
    ):
        raise bad_request("max_tokens must be an integer above 0", "max_tokens")
    if body.get("n", 1) != 1:
        raise bad_request("n must be 1", "n")
    if not isinstance(body.get("stream", False), bool):
        raise bad_request("stream must be true or false", "stream")
    return body


async def _answer_stream(
    caller: CallerRequest, generation: Generation, context: EntryContext
) -> web.StreamResponse:
    response: web.StreamResponse | None = None
    try:
        async for event in generate(generation, context):
            if response is None:
                response = await _start_response(caller, generation)
            await response.write(_encode_event(event, generation))
    except RefusedError as error:
        if response is None:
            raise
        await _abort_stream(caller, response, error)
        return response
    except BaseException:
        if response is not None:
            break_off(caller.http_request)
        raise
    assert response is not None
    await response.write(b"data: " + END_OF_STREAM_DATA + b"\n\n")
    await response.write_eof()
    return response


async def _start_response(
    caller: CallerRequest, generation: Generation
) -> web.StreamResponse:
    response = web.StreamResponse(headers=_headers(generation))
    response.content_type = "text/event-stream"
    await response.prepare(caller.http_request)
    return response


async def _abort_stream(
    caller: CallerRequest, response: web.StreamResponse, error: RefusedError
) -> None:
    refusal = error.refusal
    detail = {"message": refusal.reason, "outcome": refusal.outcome.value}
    event = b"event: error\ndata: " + msgspec.json.encode({"error": detail}) + b"\n\n"
    await response.write(event)
    break_off(caller.http_request)


def _encode_event(event: StreamEvent, generation: Generation) -> bytes:
    """Return an event with the caller's request id in place of the attempt's id."""
    renamed = msgspec.structs.replace(event, id=generation.request_id)
    return b"data: " + msgspec.json.encode(renamed) + b"\n\n"


def _completion_object(generation: Generation) -> dict[str, Any]:
    return {
        "id": generation.request_id,
        "object": "text_completion",
        "choices": [
            {
                "index": 0,
                "text": generation.generated_text,
                "finish_reason": generation.finish_reason,
            }
        ],
        "usage": {"completion_tokens": generation.tokens},
        "pollenlb": {"spans": msgspec.to_builtins(generation.spans)},
    }


def _headers(generation: Generation) -> dict[str, str]:
    versions = dict.fromkeys(str(span.version) for span in generation.spans)
    assert generation.server is not None
    return {
        REQUEST_ID_HEADER: generation.request_id,
        OUTCOME_HEADER: Outcome.RAN.value,
        SERVER_HEADER: generation.server.name,
        VERSIONS_HEADER: ",".join(versions),
    }
