"""Backend servers that send bytes without end cost bounded memory and time."""

from __future__ import annotations

import asyncio
import json
import tracemalloc

import aiohttp
import pytest

from fakes.flood import REQUEST_ID, Flood
from pollenlb.client import JobBody, TrainerClient
from pollenlb.clock import now

from ..local_system import LocalSystem

_PROGRESS_TIMEOUT_S = 1.0
_ROUTE_TIMEOUT_S = 3.0
_ENDED_WITHIN_S = _ROUTE_TIMEOUT_S + 0.5
_MAX_MEMORY_BYTES = 32 * 1024 * 1024
_HEAD = (
    b"HTTP/1.1 200 OK\r\nPollenlb-Request-Id: " + REQUEST_ID + b"\r\n"
    b"Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n"
)
_ENDLESS_HEADS = {
    "one line": (b"HTTP/1.1 200 OK\r\nX-Filler: ", b"a"),
    "many fields": (b"HTTP/1.1 200 OK\r\n", b"X-Filler: a\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "blank lines": (b"", b"\r\n"),
    "no protocol": (b"", b"\0"),
}
_ENDLESS_FRAMING = {
    "chunk size": (b"5\r\nhello\r\n", b"0"),
    "chunk extension": (b"5\r\nhello\r\n5;", b"a=b;"),
    "trailer line": (b"5\r\nhello\r\n0\r\nX-Filler: ", b"a"),
    "trailers": (b"5\r\nhello\r\n0\r\n", b"X-Filler: a\r\n"),
}
_ENDLESS_TOKENS = {
    "id": REQUEST_ID.decode(),
    "choices": [{"text": "more ", "finish_reason": None}],
    "pollenlb": {"version": 1, "boot": "", "tokens": 1},
}
_ENDLESS_STREAMS = {
    "no line end": b"a" * 1000,
    "blank lines": b"\n\n",
    "comments": b": nothing yet\n\n",
}


async def _start(start_system, **options) -> LocalSystem:
    system = await start_system(
        entries=1, entry_options={"progress_timeout_s": _PROGRESS_TIMEOUT_S}, **options
    )
    await system.change_configuration(
        {
            f"routes.{name}.timeout_s": _ROUTE_TIMEOUT_S
            for name in ("shop", "billing", "model")
        }
    )
    return system


@pytest.fixture
def check_ended():
    """Return a function that checks that a flood ended without a memory peak."""
    tracemalloc.start()

    async def check(flood: Flood) -> None:
        async with asyncio.timeout(_PROGRESS_TIMEOUT_S):
            await flood.closed.wait()
        _, peak_bytes = tracemalloc.get_traced_memory()
        assert peak_bytes < started_bytes + _MAX_MEMORY_BYTES

    started_bytes, _ = tracemalloc.get_traced_memory()
    yield check
    tracemalloc.stop()


@pytest.mark.parametrize("kind", _ENDLESS_HEADS)
async def test_head_without_end_is_refused(start_system, check_ended, kind):
    system = await _start(start_system, plain_services=1)
    flood = Flood(*_ENDLESS_HEADS[kind])
    system.plain_services[0].floods["/shop"] = flood
    started_at = now()
    status, outcome, answer = await system.get(0, "/shop/1")
    assert now() < started_at + _ENDED_WITHIN_S
    assert status in (502, 504)
    assert outcome == "unknown"
    assert "plain-0" in answer["error"]["message"]
    await check_ended(flood)


async def test_body_without_end_of_a_keyed_request_is_refused(
    start_system, check_ended
):
    system = await _start(start_system, plain_services=1)
    flood = Flood(_HEAD, b"a" * 1000, is_chunked=True)
    system.plain_services[0].floods["/billing"] = flood
    started_at = now()
    status, outcome, answer = await system.send_request(
        "POST", 0, "/billing/1", {"Idempotency-Key": "key"}, data=b"pay"
    )
    assert now() < started_at + _ENDED_WITHIN_S
    assert (status, outcome) == (502, "unknown")
    assert "longer than" in answer["error"]["message"]
    await check_ended(flood)


async def test_body_without_end_that_is_passed_on_ends_with_the_deadline(
    start_system, check_ended
):
    system = await _start(start_system, plain_services=1)
    flood = Flood(_HEAD, b"a" * 1000, is_chunked=True)
    system.plain_services[0].floods["/shop"] = flood
    started_at = now()
    with pytest.raises(aiohttp.ClientPayloadError):
        async with system.session.get(system.url(0, "/shop/1")) as response:
            async for _ in response.content.iter_any():
                pass
    assert now() < started_at + _ENDED_WITHIN_S
    await check_ended(flood)


# Guards against framing of a body that is kept in memory until its end.
@pytest.mark.parametrize("kind", _ENDLESS_FRAMING)
@pytest.mark.parametrize("headers", [{}, {"Idempotency-Key": "key"}])
async def test_framing_without_end_costs_bounded_memory(
    start_system, check_ended, kind, headers
):
    system = await _start(start_system, plain_services=1)
    flood = Flood(_HEAD + _ENDLESS_FRAMING[kind][0], _ENDLESS_FRAMING[kind][1])
    system.plain_services[0].floods["/billing"] = flood
    started_at = now()
    try:
        url = system.url(0, "/billing/1")
        async with system.session.post(url, data=b"x", headers=headers) as response:
            await response.read()
            assert response.status in (502, 504)
    except aiohttp.ClientPayloadError:
        assert not headers
    assert now() < started_at + _ENDED_WITHIN_S
    await check_ended(flood)


async def test_body_without_end_of_a_probe_is_not_read(start_system, check_ended):
    system = await _start(start_system, plain_services=1)
    flood = Flood(_HEAD, b"a" * 1000, is_chunked=True)
    system.plain_services[0].floods["/pollenlb/probe"] = flood
    await check_ended(flood)


@pytest.mark.parametrize("kind", _ENDLESS_STREAMS)
async def test_completion_goes_on_elsewhere_after_a_stream_without_end(
    start_system, check_ended, kind
):
    system = await _start(start_system, engines=2)
    flood = Flood(_HEAD, _ENDLESS_STREAMS[kind], is_chunked=True)
    system.engines[0].floods["/v1"] = flood
    body = {"model": "model", "prompt": "hello", "max_tokens": 8}
    while not flood.sent_bytes:
        started_at = now()
        status, outcome, answer = await system.send_request(
            "POST", 0, "/v1/completions", {}, json=body
        )
        assert (status, outcome) == (200, "ran"), answer
    assert now() < started_at + _ENDED_WITHIN_S
    await check_ended(flood)


async def test_completion_with_tokens_without_end_is_refused(start_system, check_ended):
    system = await _start(start_system, engines=1)
    system.engines[0].floods["/v1"] = flood = _endless_tokens()
    body = {"model": "model", "prompt": "hello", "max_tokens": 8}
    status, outcome, answer = await system.send_request(
        "POST", 0, "/v1/completions", {}, json=body
    )
    assert (status, outcome) == (502, "unknown")
    assert "more than the 8 tokens" in answer["error"]["message"]
    await check_ended(flood)


async def test_sample_with_tokens_without_end_is_generated_elsewhere(
    start_system, check_ended
):
    system = await _start(start_system, engines=2)
    system.engines[0].floods["/v1"] = flood = _endless_tokens()
    async with TrainerClient([system.url(0)]) as client:
        await client.create_job(JobBody("job", "model", 2, 2, 1, 8))
        await client.set_version("job", 1)
        await client.submit_step("job", 0, ["one prompt", "another prompt"])
        batch = await client.pull("job", 1)
    for delivered in batch.samples:
        assert delivered.sample.finish_reason == "stop"
        assert "more" not in delivered.sample.text
    await check_ended(flood)


def _endless_tokens() -> Flood:
    event = b"data: " + json.dumps(_ENDLESS_TOKENS).encode() + b"\n\n"
    return Flood(_HEAD, event, is_chunked=True)


async def test_error_without_end_in_place_of_a_stream_is_refused(
    start_system, check_ended
):
    # Guards against a part of the error in front of the answer to a second attempt.
    system = await _start(start_system, plain_services=1)
    await system.change_configuration({"routes.shop.streaming": True})
    flood = Flood(
        _HEAD.replace(b"200 OK", b"404 Not Found"), b"a" * 1000, is_chunked=True
    )
    system.plain_services[0].floods["/shop"] = flood
    started_at = now()
    status, outcome, answer = await system.get(0, "/shop/1")
    assert now() < started_at + _ENDED_WITHIN_S
    assert (status, outcome) == (502, "unknown")
    assert "longer than" in answer["error"]["message"]
    await check_ended(flood)
