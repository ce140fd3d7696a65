"""Callers' requests through the adapter: whole answers, streams, refusals."""

from __future__ import annotations

import asyncio

import pytest

from pollenlb.platform.dialect import PlatformDialect
from pollenlb.platform.names import in_flight_of, slowness_of
from pollenlb.request.outcome import Outcome, Refusal

from ..local_system import until
from .platform_system import configuration


def _with_streams() -> dict:
    changed = configuration(2)
    changed["routes"][1] |= {"kind": "streaming", "resumable": True, "max_attempts": 3}
    return changed


async def test_a_stream_is_resumed_within_one_answer(platform_system):
    system = await platform_system()
    await system.control("POST", "/-/Config.Replace", _with_streams())
    for engine in system.engines:
        engine.breaks_after = 5
    status, body, headers = await system.front(
        "POST", 0, "/safe/1", 12, X_Request_Id="r", X_Deadline_Ms="5000"
    )
    assert sum(len(each.runs) for each in system.engines) == 3
    assert (status, headers["X-Request-Id"]) == (200, "r")
    numbers = [
        int(line.partition(": ")[2])
        for line in body.decode().split("\n")
        if line.startswith("id")
    ]
    assert numbers == list(range(12))


async def test_a_stream_that_may_not_be_resumed_is_cut(platform_system):
    system = await platform_system()
    changed = _with_streams()
    changed["routes"][1]["resumable"] = False
    await system.control("POST", "/-/Config.Replace", changed)
    for engine in system.engines:
        engine.breaks_after = 5
    with pytest.raises(Exception, match="payload|disconnected|closed"):
        await system.front("POST", 0, "/safe/1", 12, X_Request_Id="r")
    assert sum(len(each.runs) for each in system.engines) == 1


async def test_a_caller_that_leaves_ends_the_run(platform_system):
    system = await platform_system()
    await system.control("POST", "/-/Config.Replace", _with_streams())
    ask = asyncio.create_task(
        system.front("POST", 0, "/safe/1", 4000, X_Request_Id="r")
    )
    await until(lambda: any(each.running for each in system.engines))
    ask.cancel()
    await until(lambda: not any(each.running for each in system.engines))


async def test_a_request_without_an_id_is_refused(platform_system):
    system = await platform_system()
    assert (await system.front("GET", 0, "/safe/1"))[0] == 400


async def test_readiness_is_told_at_its_own_address(platform_system):
    system = await platform_system()
    url = f"http://{system.entries[0].context.settings.ready_listen}/-/ready"
    async with system.session.get(url) as response:
        assert response.status == 200
    system.entries[0].context.is_draining = True
    async with system.session.get(url) as response:
        assert response.status == 503


@pytest.mark.parametrize(
    ("status", "outcome", "told"),
    [
        (503, Outcome.NOT_RUN, 503),
        (503, Outcome.UNKNOWN, 502),
        (422, Outcome.UNKNOWN, 502),
        (422, Outcome.NOT_RUN, 503),
        (504, Outcome.UNKNOWN, 504),
        (404, Outcome.NOT_RUN, 404),
    ],
)
def test_only_what_has_not_run_is_said_to_be_not_run(status, outcome, told):
    refusal = Refusal(status, outcome, "reason", 0.25)
    response = PlatformDialect().refusal_response(refusal, "r")
    assert response.status == told
    assert ("Retry-After" in response.headers) == (outcome is Outcome.NOT_RUN)


def test_strange_load_reports_are_ignored():
    assert in_flight_of({"X-Load-Report": "3,1,8"}) == 4
    assert slowness_of({"X-Load-Report": "3,1,8,250"}) == 2.5
    for text in ("", "3", "a,b", "3,1,8"):
        assert slowness_of({"X-Load-Report": text}) is None
    assert in_flight_of({"X-Load-Report": "x,1"}) is None


@pytest.mark.parametrize("block", [b"data: x", b"id: a\ndata: x", b"\xff\xfe"])
def test_events_that_cannot_be_read_are_errors(block):
    with pytest.raises(ValueError):
        PlatformDialect().read_numbered_event(block)


def test_an_event_may_carry_a_version_and_lines():
    piece = PlatformDialect().read_numbered_event(
        b"x-weight-versions: 4\nid: 7\ndata: one\ndata: two"
    )
    assert (piece.number, piece.data, piece.version) == (7, "one\ntwo", 4)
