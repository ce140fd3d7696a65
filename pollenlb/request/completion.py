"""Completions for callers: server-sent events or one JSON answer."""

from __future__ import annotations

from typing import Any

import msgspec
from aiohttp import web

from ..connection.backend_api import OUTCOME_HEADER, REQUEST_ID_HEADER
from ..connection.engine_api import END_MARK, StreamEvent
from ..process.context import EntryContext
from .caller_request import CallerRequest
from .generation import Generation, generate
from .outcome import SERVER_HEADER, VERSIONS_HEADER, Outcome, RefusedError, bad_request


async def answer_completion(
    caller: CallerRequest, context: EntryContext
) -> web.StreamResponse:
    """Run a completion and answer it in the form that the caller asked for.

    Raises
    ------
    RefusedError
        Before anything of the answer was sent.
    """
    asked = await _read_body(caller, context)
    generation = Generation(
        request_id=caller.request_id,
        service=caller.service_name,
        request_body=asked,
        request_class=caller.request_class,
        deadline=caller.deadline,
        is_repeatable=caller.is_repeatable,
    )
    if asked.get("stream"):
        return await _answer_stream(caller, generation, context)
    async for _ in generate(generation, context):
        pass
    return web.Response(
        body=msgspec.json.encode(_whole_answer(generation)),
        content_type="application/json",
        headers=_headers(generation),
    )


async def _read_body(caller: CallerRequest, context: EntryContext) -> dict[str, Any]:
    body = await caller.body.read_complete(context.settings.max_body_bytes)
    try:
        asked = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        raise bad_request(f"the body is not JSON: {error}", "body") from error
    if not isinstance(asked, dict):
        raise bad_request("the body must be a JSON object", "body")
    if not isinstance(asked.get("prompt"), str):
        raise bad_request("prompt must be a text", "prompt")
    most = asked.setdefault("max_tokens", 16)
    if not isinstance(most, int) or isinstance(most, bool) or most < 1:
        raise bad_request("max_tokens must be a whole number above 0", "max_tokens")
    if asked.get("n", 1) != 1:
        raise bad_request("n must be 1", "n")
    if not isinstance(asked.get("stream", False), bool):
        raise bad_request("stream must be true or false", "stream")
    return asked


async def _answer_stream(
    caller: CallerRequest, generation: Generation, context: EntryContext
) -> web.StreamResponse:
    response: web.StreamResponse | None = None
    try:
        async for event in generate(generation, context):
            if response is None:
                response = await _start_stream(caller, generation)
            await response.write(_event_line(event, generation))
    except RefusedError as error:
        if response is None:
            raise
        await _break_stream(caller, response, error)
        return response
    assert response is not None
    await response.write(b"data: " + END_MARK + b"\n\n")
    await response.write_eof()
    return response


async def _start_stream(
    caller: CallerRequest, generation: Generation
) -> web.StreamResponse:
    response = web.StreamResponse(headers=_headers(generation))
    response.content_type = "text/event-stream"
    response.enable_chunked_encoding()
    await response.prepare(caller.http_request)
    return response


async def _break_stream(
    caller: CallerRequest, response: web.StreamResponse, error: RefusedError
) -> None:
    refusal = error.refusal
    detail = {"message": refusal.reason, "outcome": refusal.outcome.value}
    line = b"event: error\ndata: " + msgspec.json.encode({"error": detail}) + b"\n\n"
    await response.write(line)
    if caller.http_request.transport is not None:
        # Without the last chunk the caller sees that the answer is not whole.
        caller.http_request.transport.close()


def _event_line(event: StreamEvent, generation: Generation) -> bytes:
    own = msgspec.structs.replace(event, id=generation.request_id)
    return b"data: " + msgspec.json.encode(own) + b"\n\n"


def _whole_answer(generation: Generation) -> dict[str, Any]:
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
