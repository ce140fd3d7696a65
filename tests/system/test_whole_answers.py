"""Every caller gets the whole answer to its own request, or an error."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from aiohttp import web

from fakes.engine import token_count

from ..local_system import LocalSystem, until

_BODY = {"model": "model", "prompt": "hello", "max_tokens": 30}


async def _complete(system: LocalSystem, number: int = 0, **options) -> tuple:
    body = {**_BODY, **options}
    return await system.ask("POST", number, "/v1/completions", {}, json=body)


def _spoil_first(system: LocalSystem, handler) -> None:
    """Let whichever engine is asked first answer in a wrong way, once."""
    spoilt = []

    def spoil(engine) -> None:
        usual = engine._stream

        async def stream(request, body):
            if spoilt:
                return await usual(request, body)
            spoilt.append(engine)
            return await handler(engine, request, body)

        engine._stream = stream

    for engine in system.engines:
        spoil(engine)


def _check_tokens(answer: dict) -> None:
    choice = answer["choices"][0]
    assert choice["finish_reason"] == "stop"
    tokens = choice["text"].split()
    positions = [int(each.split(":")[0]) for each in tokens]
    assert positions == list(range(token_count(_BODY)))


async def test_an_answer_to_another_request_is_thrown_away(local_system):
    async def crossed(engine, request, body):
        headers = {"Pollenlb-Request-Id": "somebody-else"}
        return web.Response(text="data: [DONE]\n\n", headers=headers)

    system = await local_system(entries=1, engines=2)
    _spoil_first(system, crossed)
    _, outcome, answer = await _complete(system)
    assert outcome == "ran"
    _check_tokens(answer)


async def test_an_event_of_another_request_is_thrown_away(local_system):
    async def crossed(engine, request, body):
        response = web.StreamResponse(headers=engine.headers(request))
        await response.prepare(request)
        await response.write(engine._event("somebody-else", body, 0, True))
        await response.write(b"data: [DONE]\n\n")
        return response

    system = await local_system(entries=1, engines=2)
    _spoil_first(system, crossed)
    _, outcome, answer = await _complete(system)
    assert outcome == "ran"
    _check_tokens(answer)


async def test_a_stream_without_its_end_is_resumed_elsewhere(local_system):
    async def cut(engine, request, body):
        response = web.StreamResponse(headers=engine.headers(request))
        await response.prepare(request)
        request_id = request.headers["Pollenlb-Request-Id"]
        await response.write(engine._event(request_id, body, 0, False))
        return response

    system = await local_system(entries=1, engines=2)
    _spoil_first(system, cut)
    _, outcome, answer = await _complete(system)
    assert outcome == "ran"
    _check_tokens(answer)


async def test_a_stream_that_lacks_only_its_end_mark_is_not_whole(local_system):
    async def without_mark(engine, request, body):
        response = web.StreamResponse(headers=engine.headers(request))
        await response.prepare(request)
        request_id = request.headers["Pollenlb-Request-Id"]
        length = token_count(body)
        for at in range(length):
            event = engine._event(request_id, body, at, at == length - 1)
            await response.write(event)
        return response

    system = await local_system(entries=1, engines=2)
    _spoil_first(system, without_mark)
    _, outcome, answer = await _complete(system)
    assert outcome == "ran"
    _check_tokens(answer)
    assert sum(engine.received for engine in system.engines) == 2


async def test_a_stream_with_a_late_boot_is_not_passed_on(local_system):
    async def rebooted(engine, request, body):
        response = web.StreamResponse(headers=engine.headers(request))
        await response.prepare(request)
        request_id = request.headers["Pollenlb-Request-Id"]
        usual, engine.boot = engine.boot, "another"
        await response.write(engine._event(request_id, body, 0, True))
        engine.boot = usual
        await response.write(b"data: [DONE]\n\n")
        return response

    system = await local_system(entries=1, engines=2)
    _spoil_first(system, rebooted)
    _, outcome, answer = await _complete(system)
    assert outcome == "ran"
    _check_tokens(answer)


def _answer_with(plain, handler) -> None:
    router = plain.application.router
    router._resources.clear()
    router._resource_index.clear()
    router._frozen = False
    router.add_route("*", "/{path:.*}", handler)


async def test_a_truncated_body_is_an_error_not_an_answer(local_system):
    system = await local_system(entries=1, plains=1)

    async def truncated(request):
        response = web.StreamResponse(headers=system.plains[0].headers(request))
        response.content_length = 1000
        await response.prepare(request)
        await response.write(b"x" * 500)
        request.transport.close()
        return response

    _answer_with(system.plains[0], truncated)
    status, outcome, _ = await system.ask("POST", 0, "/billing", {}, data=b"x")
    assert (status, outcome) == (502, "unknown")


async def test_a_large_truncated_body_breaks_the_callers_connection(local_system):
    system = await local_system(entries=1, plains=1)
    plain = system.plains[0]

    async def truncated(request):
        response = web.StreamResponse(headers=plain.headers(request))
        response.content_length = 10_000_000
        await response.prepare(request)
        await response.write(b"x" * 500_000)
        request.transport.close()
        return response

    _answer_with(plain, truncated)
    with pytest.raises(aiohttp.ClientError):
        async with system.session.get(system.url(0, "/shop/x")) as response:
            await response.read()


async def test_a_silent_connection_is_left_for_a_new_one(local_system):
    options = {"progress_timeout_s": 0.5}
    system = await local_system(entries=1, entry_options=options)
    engine = await system.add_engine("engine-0", is_relayed=True, token_s=0.02)
    (relay,) = system.relays
    await system.until_usable(["engine-0"])
    asking = asyncio.create_task(_complete(system))
    await until(lambda: engine.log)
    relay.silence_open_connections()
    _, outcome, answer = await asking
    assert outcome == "ran"
    _check_tokens(answer)


async def test_a_repeatable_request_leaves_a_silent_connection(local_system):
    options = {"progress_timeout_s": 0.5}
    system = await local_system(entries=1, entry_options=options)
    await system.add_plain("plain-0", is_relayed=True)
    (relay,) = system.relays
    await system.until_usable(["plain-0"])
    assert (await system.get(0, "/shop/1"))[1] == "ran"
    relay.silence_open_connections()
    await system.add_plain("plain-1")
    await system.until_usable(["plain-1"])
    for number in range(5):
        assert (await system.get(0, f"/shop/{number}"))[1] == "ran"


async def test_crossing_requests_each_get_their_own_answer(local_system):
    system = await local_system(entries=2, plains=2)

    # As many at a time as admission takes: a refusal would be no answer.
    limit = asyncio.Semaphore(12)

    async def ask(number: int) -> None:
        path = f"/shop/{number}"
        async with limit:
            _, outcome, answer = await system.get(number % 2, path)
        assert (outcome, answer["path"]) == ("ran", path)

    await asyncio.gather(*(ask(number) for number in range(200)))
