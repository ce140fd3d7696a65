"""A request under which servers crash while they answer is quarantined."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import aiohttp
import pytest
from aiohttp import web

from fakes.cut_answer import CrashingAnswer, CutAnswer, reset_connections
from fakes.flood import REQUEST_ID
from pollenlb.request import passthrough
from pollenlb.request.attempt import Answer
from pollenlb.request.dialect import AnswerHead

from ..local_system import LocalSystem, wait_until

_HEAD = b"HTTP/1.1 200 OK\r\nPollenlb-Request-Id: " + REQUEST_ID + b"\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_BROKEN_ANSWERS = {
    "nothing": b"",
    "half of the head": _HEAD,
    "the head alone": _HEAD + b"Content-Length: 800\r\n\r\n",
    "half of the body": _HEAD + b"Content-Length: 800\r\n\r\n" + b"x" * 400,
    "the head of a large body": _HEAD + b"Content-Length: 100000\r\n\r\n",
    "most of a large body": _HEAD + b"Content-Length: 100000\r\n\r\n" + b"x" * 90_000,
    "some chunks": _CHUNKED + b"5\r\nhello\r\n",
    "half of a chunk": _CHUNKED + b"50\r\nhello",
    "a body without a length": _HEAD + b"Connection: close\r\n\r\nhalf of the body",
    "half of an error": b"HTTP/1.1 500 X" + _HEAD[15:] + b"Content-Length: 9\r\n\r\nx",
}
_POISON_PATH = "/shop/poison"
_RESENDS = 6


async def _start(start_system, servers: int = 4) -> LocalSystem:
    return await start_system(entries=2, plain_services=servers)


def _poison(
    system: LocalSystem, content: bytes, is_reset: bool = True
) -> list[CrashingAnswer]:
    """Let each server crash under one request, after some bytes of its answer.

    The operating system of a crashed process resets its connections, or ends them in
    an orderly way.
    """
    answers = []
    for service in system.plain_services:

        async def kill(service=service) -> None:
            connections = list(service._runner.server.connections)
            transports = [each.transport for each in connections if each.transport]
            if is_reset:
                reset_connections(transports)
            for transport in transports:
                transport.close()
            await service.stop()

        answers.append(CrashingAnswer(content, kill))
        service.floods[_POISON_PATH] = answers[-1]
    return answers


async def _send(system: LocalSystem, entry: int, path: str, **headers) -> int:
    """Send a request; return the status, or 0 if its answer broke off."""
    try:
        async with system.session.post(
            system.url(entry, path), data=b"order 4711", headers=headers
        ) as response:
            await response.read()
            return response.status
    except aiohttp.ClientError:
        return 0


# Guards against crashes that count only if the server had not begun to answer.
@pytest.mark.parametrize("shape", _BROKEN_ANSWERS)
async def test_servers_that_crash_in_their_answers_are_at_most_two(start_system, shape):
    system = await _start(start_system)
    answers = _poison(system, _BROKEN_ANSWERS[shape])
    statuses = []
    for resend in range(_RESENDS):
        statuses.append(await _send(system, resend % 2, _POISON_PATH))
        # The other entry learns of suspects with its next view.
        await asyncio.sleep(0.2)
    assert sum(answer.count for answer in answers) == 2, statuses
    assert statuses[-1] == 422
    assert await _send(system, 0, "/shop/ordinary") == 200


# Guards against servers that crash under a request whose answers look whole.
async def test_servers_whose_answers_end_with_their_crash_are_at_most_two(start_system):
    system = await _start(start_system)
    content = _BROKEN_ANSWERS["a body without a length"]
    answers = _poison(system, content, is_reset=False)
    statuses = []
    for resend in range(_RESENDS):
        statuses.append(await _send(system, resend % 2, _POISON_PATH))
        await asyncio.sleep(0.4)
    assert sum(answer.count for answer in answers) == 2
    assert statuses == [200, 200, 422, 422, 422, 422]


# Guards against a suspect that is cleared as soon as the head of an answer arrives.
async def test_a_suspect_is_on_trial_until_its_answer_is_complete(start_system):
    system = await _start(start_system, servers=2)
    answers = _poison(system, _BROKEN_ANSWERS["most of a large body"])
    assert await _send(system, 0, _POISON_PATH) == 0
    suspects = system.leader.machine.state.quarantine.suspects
    await wait_until(lambda: len(suspects) == 1)
    await wait_until(lambda: system.entries[1].context.quarantine.suspects)
    assert await _send(system, 1, _POISON_PATH) == 0
    await wait_until(
        lambda: [each.is_condemned for each in suspects.values()] == [True]
    )
    assert sum(answer.count for answer in answers) == 2


# Guards against trials that go on after their request, and keep it from running.
@pytest.mark.parametrize("leaves", [False, True])
@pytest.mark.parametrize("shape", ["half of the body", "most of a large body"])
async def test_a_trial_ends_as_a_sound_server_breaks_off_its_answer(
    start_system, shape, leaves
):
    system = await _start(start_system, servers=2)
    _poison(system, _BROKEN_ANSWERS["nothing"])
    crashing, sound = system.plain_services
    sound.floods[_POISON_PATH] = CutAnswer(_BROKEN_ANSWERS[shape], is_reset=True)
    suspects = system.leader.machine.state.quarantine.suspects
    while not suspects:
        await _send(system, 0, _POISON_PATH)
    suspect = next(iter(suspects.values()))
    request = asyncio.create_task(_send(system, 0, _POISON_PATH))
    if leaves:
        await wait_until(lambda: suspect.trial is not None)
        await asyncio.sleep(0.04)
        request.cancel()
    await asyncio.gather(request, return_exceptions=True)
    await wait_until(lambda: suspect.trial is None, timeout_s=1.0)
    assert not suspect.is_condemned


# Guards against a trial that goes on as its caller is gone when the answer begins.
async def test_a_trial_ends_as_the_caller_is_gone_before_the_head(
    start_system, monkeypatch
):
    system = await _start(start_system, servers=2)
    _poison(system, _BROKEN_ANSWERS["nothing"])
    _, sound = system.plain_services
    content = _BROKEN_ANSWERS["most of a large body"]
    sound.floods[_POISON_PATH] = CutAnswer(content, is_reset=True)
    suspects = system.leader.machine.state.quarantine.suspects
    while not suspects:
        await _send(system, 0, _POISON_PATH)
    suspect = next(iter(suspects.values()))

    async def prepare(*_) -> None:
        assert suspect.trial is not None
        raise ConnectionResetError("the caller is gone")

    monkeypatch.setattr(passthrough.web.StreamResponse, "prepare", prepare)
    await _send(system, 0, _POISON_PATH)
    await wait_until(lambda: suspect.trial is None, timeout_s=1.0)


# Guards against a probe for each answer that has no body.
@pytest.mark.parametrize(
    "method, status, headers, expected",
    [
        ("GET", 200, {}, True),
        ("GET", 500, {}, True),
        ("GET", 200, {"Content-Length": "0"}, False),
        ("GET", 200, {"Transfer-Encoding": "chunked"}, False),
        ("HEAD", 200, {}, False),
        ("GET", 204, {}, False),
        ("GET", 304, {}, False),
    ],
)
def test_only_a_body_without_framing_ends_with_its_connection(
    method, status, headers, expected
):
    response = SimpleNamespace(method=method, status=status, headers=headers)
    answer = Answer(None, response, "boot", AnswerHead())
    assert answer.ends_with_connection is expected


# Guards against a crash that is forgotten because the caller leaves at once.
@pytest.mark.parametrize("shape", ["half of the body", "most of a large body"])
async def test_a_crash_is_reported_though_the_caller_leaves(start_system, shape):
    system = await _start(start_system, servers=2)
    _poison(system, _BROKEN_ANSWERS[shape])
    control = system.entries[0].context.control
    propose = control.propose
    has_left = asyncio.Event()

    async def propose_late(*arguments):
        await has_left.wait()
        return await propose(*arguments)

    control.propose = propose_late
    request = asyncio.create_task(_send(system, 0, _POISON_PATH))
    await wait_until(lambda: not all(each._runner.sites for each in _servers(system)))
    await asyncio.sleep(0.3)
    request.cancel()
    await asyncio.gather(request, return_exceptions=True)
    await asyncio.sleep(0.2)
    has_left.set()
    suspects = system.leader.machine.state.quarantine.suspects
    await wait_until(lambda: suspects, timeout_s=3.0)


def _servers(system: LocalSystem) -> list:
    return system.plain_services


# Guards against sound requests that are condemned as a server breaks off its answers.
@pytest.mark.parametrize("is_reset", [True, False])
@pytest.mark.parametrize(
    "shape", [each for each in _BROKEN_ANSWERS if each != "nothing"]
)
async def test_broken_answers_of_a_sound_server_make_no_suspect(
    start_system, shape, is_reset
):
    system = await _start(start_system, servers=2)
    for service in system.plain_services:
        service.floods[_POISON_PATH] = CutAnswer(_BROKEN_ANSWERS[shape], is_reset)
    for resend in range(_RESENDS):
        await _send(system, resend % 2, _POISON_PATH)
    assert not system.leader.machine.state.quarantine.suspects
    for service in system.plain_services:
        service.floods.clear()
    await asyncio.sleep(0.5)
    assert await _send(system, 0, _POISON_PATH) == 200


class _BusyProbe:
    """Probes that wait for a slot longer than they may take."""

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Answer nothing until the connection is closed."""
        await asyncio.Event().wait()
        raise AssertionError("the wait has no end")


# Guards against a sound server without a free slot that is taken for a crashed one.
@pytest.mark.parametrize("shape", ["nothing", "half of the body", "some chunks"])
async def test_broken_answers_of_a_busy_server_make_no_suspect(start_system, shape):
    system = await _start(start_system, servers=2)
    for service in system.plain_services:
        service.floods[_POISON_PATH] = CutAnswer(_BROKEN_ANSWERS[shape], is_reset=True)
        service.floods["/pollenlb/probe"] = _BusyProbe()
    await _send(system, 0, _POISON_PATH)
    await asyncio.gather(*system.entries[0].context.background_tasks)
    assert not system.leader.machine.state.quarantine.suspects


# Guards against servers that lose their work for an answer that they broke off.
async def test_a_sound_server_that_breaks_off_an_answer_stays_usable(start_system):
    system = await _start(start_system, servers=1)
    (service,) = system.plain_services
    content = _BROKEN_ANSWERS["half of the body"]
    service.floods[_POISON_PATH] = CutAnswer(content, is_reset=True)
    assert await _send(system, 0, _POISON_PATH) == 502
    assert await _send(system, 0, "/shop/ordinary") == 200
