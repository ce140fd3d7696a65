"""Every caller gets the complete answer to its own request, or an error."""

from __future__ import annotations

import asyncio
import json

import aiohttp
import pytest
from aiohttp import web

from fakes.cut_answer import CutAnswer
from fakes.engine import token_count
from fakes.flood import REQUEST_ID

from ..local_system import LocalSystem, wait_until

_BODY = {"model": "model", "prompt": "hello", "max_tokens": 30}
_UNFRAMED_ANSWER = (
    b"HTTP/1.1 200 OK\r\nPollenlb-Request-Id: " + REQUEST_ID + b"\r\n"
    b"Content-Type: text/plain\r\nConnection: close\r\n\r\nhalf of the body"
)


async def _complete(system: LocalSystem, number: int = 0, **options) -> tuple:
    body = {**_BODY, **options}
    return await system.send_request("POST", number, "/v1/completions", {}, json=body)


def _replace_first_stream(system: LocalSystem, handler) -> None:
    """Let a handler answer the first completion request at any of the engines."""
    replaced_at = []

    def replace_stream(engine) -> None:
        original_stream = engine._stream

        async def stream(request, body):
            if replaced_at:
                return await original_stream(request, body)
            replaced_at.append(engine)
            return await handler(engine, request, body)

        engine._stream = stream

    for engine in system.engines:
        replace_stream(engine)


def _check_tokens(answer: dict) -> None:
    choice = answer["choices"][0]
    assert choice["finish_reason"] == "stop"
    tokens = choice["text"].split()
    positions = [int(token.split(":")[0]) for token in tokens]
    assert positions == list(range(token_count(_BODY)))


async def test_answer_to_another_request_is_discarded(start_system):
    async def answer_other_request(engine, request, body):
        headers = {"Pollenlb-Request-Id": "somebody-else"}
        return web.Response(text="data: [DONE]\n\n", headers=headers)

    system = await start_system(entries=1, engines=2)
    _replace_first_stream(system, answer_other_request)
    _, outcome, answer = await _complete(system)
    assert outcome == "ran"
    _check_tokens(answer)


async def test_event_of_another_request_is_discarded(start_system):
    async def send_event_of_other_request(engine, request, body):
        response = web.StreamResponse(headers=engine.response_headers(request))
        await response.prepare(request)
        await response.write(engine._event("somebody-else", body, 0, True))
        await response.write(b"data: [DONE]\n\n")
        return response

    system = await start_system(entries=1, engines=2)
    _replace_first_stream(system, send_event_of_other_request)
    _, outcome, answer = await _complete(system)
    assert outcome == "ran"
    _check_tokens(answer)


async def test_interrupted_stream_is_resumed_at_another_engine(start_system):
    async def end_after_first_event(engine, request, body):
        response = web.StreamResponse(headers=engine.response_headers(request))
        await response.prepare(request)
        request_id = request.headers["Pollenlb-Request-Id"]
        await response.write(engine._event(request_id, body, 0, False))
        return response

    system = await start_system(entries=1, engines=2)
    _replace_first_stream(system, end_after_first_event)
    _, outcome, answer = await _complete(system)
    assert outcome == "ran"
    _check_tokens(answer)


async def test_stream_without_its_end_mark_is_not_complete(start_system):
    async def omit_end_mark(engine, request, body):
        response = web.StreamResponse(headers=engine.response_headers(request))
        await response.prepare(request)
        request_id = request.headers["Pollenlb-Request-Id"]
        length = token_count(body)
        for position in range(length):
            event = engine._event(request_id, body, position, position == length - 1)
            await response.write(event)
        return response

    system = await start_system(entries=1, engines=2)
    _replace_first_stream(system, omit_end_mark)
    _, outcome, answer = await _complete(system)
    assert outcome == "ran"
    _check_tokens(answer)
    assert sum(engine.received_count for engine in system.engines) == 2


async def test_event_of_another_boot_is_discarded(start_system):
    async def send_event_of_other_boot(engine, request, body):
        response = web.StreamResponse(headers=engine.response_headers(request))
        await response.prepare(request)
        request_id = request.headers["Pollenlb-Request-Id"]
        own_boot, engine.boot = engine.boot, "another"
        await response.write(engine._event(request_id, body, 0, True))
        engine.boot = own_boot
        await response.write(b"data: [DONE]\n\n")
        return response

    system = await start_system(entries=1, engines=2)
    _replace_first_stream(system, send_event_of_other_boot)
    _, outcome, answer = await _complete(system)
    assert outcome == "ran"
    _check_tokens(answer)


def _replace_handler(plain, handler) -> None:
    """Answer every path of a running plain service with a handler."""
    router = plain.application.router
    router._resources.clear()
    router._resource_index.clear()
    router._frozen = False
    router.add_route("*", "/{path:.*}", handler)


async def test_truncated_body_is_reported_as_an_error(start_system):
    system = await start_system(entries=1, plain_services=1)

    async def close_in_mid_body(request):
        response = web.StreamResponse(
            headers=system.plain_services[0].response_headers(request)
        )
        response.content_length = 1000
        await response.prepare(request)
        await response.write(b"x" * 500)
        request.transport.close()
        return response

    _replace_handler(system.plain_services[0], close_in_mid_body)
    status, outcome, _ = await system.send_request("POST", 0, "/billing", {}, data=b"x")
    assert (status, outcome) == (502, "unknown")


async def test_large_truncated_body_aborts_the_callers_connection(start_system):
    system = await start_system(entries=1, plain_services=1)
    plain = system.plain_services[0]

    async def close_in_mid_body(request):
        response = web.StreamResponse(headers=plain.response_headers(request))
        response.content_length = 10_000_000
        await response.prepare(request)
        await response.write(b"x" * 500_000)
        request.transport.close()
        return response

    _replace_handler(plain, close_in_mid_body)
    with pytest.raises(aiohttp.ClientError):
        async with system.session.get(system.url(0, "/shop/x")) as response:
            await response.read()


async def _read_to_end(system: LocalSystem, request: bytes) -> bytes:
    """Send bytes to an entry and return all that it answers until it closes."""
    host, _, port = system.entries[0].context.identity.http.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request)
        return await reader.read()
    finally:
        writer.close()


async def test_answer_without_a_length_ends_with_its_connection(start_system):
    system = await start_system(entries=1, plain_services=1)
    system.plain_services[0].floods["/shop"] = CutAnswer(_UNFRAMED_ANSWER, False)
    async with system.session.get(system.url(0, "/shop/1")) as response:
        assert response.status == 200
        assert await response.read() == b"half of the body"


# Guards against half of an answer that reaches the caller as a complete one.
@pytest.mark.parametrize("path", ["/shop/1", "/billing/1"])
async def test_answer_without_a_length_that_is_reset_looks_incomplete(
    start_system, path
):
    system = await start_system(entries=1, plain_services=1)
    system.plain_services[0].floods[path] = CutAnswer(_UNFRAMED_ANSWER, True)
    try:
        async with system.session.post(system.url(0, path), data=b"x") as response:
            await response.read()
            # The entry had read no part of the answer when the reset came.
            assert response.status == 502
    except aiohttp.ClientPayloadError:
        pass


async def test_answer_without_a_length_to_a_keyed_request_is_reset(start_system):
    system = await start_system(entries=1, plain_services=1)
    system.plain_services[0].floods["/billing"] = CutAnswer(_UNFRAMED_ANSWER, True)
    status, outcome, _ = await system.send_request(
        "POST", 0, "/billing/1", {"Idempotency-Key": "key"}, data=b"pay"
    )
    assert (status, outcome) == (502, "unknown")


async def test_error_without_a_length_in_place_of_a_stream_is_reset(start_system):
    system = await start_system(entries=1, plain_services=1)
    await system.change_configuration({"routes.shop.streaming": True})
    error = _UNFRAMED_ANSWER.replace(b"200 OK", b"404 Not Found")
    system.plain_services[0].floods["/shop"] = CutAnswer(error, True)
    status, outcome, _ = await system.get(0, "/shop/1")
    assert (status, outcome) == (502, "unknown")


# Guards against a cut answer that an HTTP/1.0 caller, whose answers end with their
# connection, takes for a complete one.
@pytest.mark.parametrize("is_streaming", [False, True])
async def test_cut_answer_is_reset_at_an_http_1_0_caller(start_system, is_streaming):
    system = await start_system(entries=1, plain_services=1)
    await system.change_configuration({"routes.shop.streaming": is_streaming})
    answer = _UNFRAMED_ANSWER.replace(b"half of the body", b"id: 0\ndata: a\n\n")
    system.plain_services[0].floods["/shop"] = CutAnswer(answer, True)
    try:
        request = b"GET /shop/1 HTTP/1.0\r\nHost: a\r\n\r\n"
        answer = await _read_to_end(system, request)
        # The entry had read no part of the answer when the reset came.
        assert answer.startswith(b"HTTP/1.0 502 ")
    except ConnectionResetError:
        pass


async def test_cut_completion_is_reset_at_an_http_1_0_caller(start_system):
    system = await start_system(entries=1, engines=1)

    async def end_after_first_event(engine, request, body):
        response = web.StreamResponse(headers=engine.response_headers(request))
        await response.prepare(request)
        request_id = request.headers["Pollenlb-Request-Id"]
        await response.write(engine._event(request_id, body, 0, False))
        asyncio.get_running_loop().create_task(engine.kill())
        return response

    _replace_first_stream(system, end_after_first_event)
    body = json.dumps({**_BODY, "stream": True}).encode()
    head = b"POST /v1/completions HTTP/1.0\r\nPollenlb-Timeout-Ms: 1500\r\n"
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    with pytest.raises(ConnectionResetError):
        await _read_to_end(system, head + length + body)


async def test_stream_on_a_stalled_connection_is_resumed_on_a_new_one(start_system):
    options = {"progress_timeout_s": 0.5}
    system = await start_system(entries=1, entry_options=options)
    engine = await system.add_engine("engine-0", is_relayed=True, token_s=0.02)
    (relay,) = system.relays
    await system.wait_until_usable(["engine-0"])
    request = asyncio.create_task(_complete(system))
    await wait_until(lambda: engine.generated_tokens)
    relay.silence_open_connections()
    _, outcome, answer = await request
    assert outcome == "ran"
    _check_tokens(answer)


async def test_repeatable_request_is_retried_when_its_connection_stalls(start_system):
    options = {"progress_timeout_s": 0.5}
    system = await start_system(entries=1, entry_options=options)
    await system.add_plain_service("plain-0", is_relayed=True)
    (relay,) = system.relays
    await system.wait_until_usable(["plain-0"])
    assert (await system.get(0, "/shop/1"))[1] == "ran"
    relay.silence_open_connections()
    await system.add_plain_service("plain-1")
    await system.wait_until_usable(["plain-1"])
    for number in range(5):
        assert (await system.get(0, f"/shop/{number}"))[1] == "ran"


async def test_concurrent_requests_each_get_their_own_answer(start_system):
    system = await start_system(entries=2, plain_services=2)

    # Keeps concurrency within what admission accepts, as a refusal is not an answer.
    limit = asyncio.Semaphore(12)

    async def send_request(number: int) -> None:
        path = f"/shop/{number}"
        async with limit:
            status, outcome, answer = await system.get(number % 2, path)
            while status == 503 and "no valid lease" in answer["error"]["message"]:
                # On a busy machine an entry may lose its lease for a moment, and
                # then refuses requests as not run.
                assert outcome == "not-run"
                await wait_until(
                    lambda: system.entries[number % 2].context.accepts_requests
                )
                status, outcome, answer = await system.get(number % 2, path)
        assert (status, outcome, answer.get("path")) == (200, "ran", path), answer

    await asyncio.gather(*(send_request(number) for number in range(200)))
