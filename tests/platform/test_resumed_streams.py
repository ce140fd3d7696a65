"""A stream that broke off is continued by its own events, or not at all."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from fakes.cut_answer import CrashingAnswer, CutAnswer
from fakes.flood import REQUEST_ID

from ..local_system import wait_until
from .platform_system import batch_job, configuration

_EVENT_COUNT = 12
_BREAK = 5  # number of the event in whose place the first run breaks off
_PROOF = b"X-Request-Id: " + REQUEST_ID + b"\r\nX-Weight-Versions: 1\r\n"
_STREAM = b"Content-Type: text/event-stream\r\n"


def _answer(status: bytes, headers: bytes = b"", body: bytes = b"") -> bytes:
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    return b"HTTP/1.1 " + status + b"\r\n" + _PROOF + headers + length + body


def _events(*numbers: int) -> bytes:
    return b"".join(b"id: %d\ndata: %d.1\n\n" % (each, each) for each in numbers)


_ODD_ANSWERS = {
    "failed": _answer(b"500 Internal Server Error", body=b"the error's text"),
    "unavailable": _answer(b"503 Service Unavailable", body=b"the error's text"),
    "not-found": _answer(b"404 Not Found", body=b"the error's text"),
    "elsewhere": _answer(b"302 Found", b"Location: http://127.0.0.1:9/\r\n"),
    "no-content": _answer(b"204 No Content"),
    "empty": _answer(b"200 OK"),
    "empty-text": _answer(b"200 OK", b"Content-Type: text/plain\r\n"),
    "page": _answer(b"200 OK", b"Content-Type: text/html\r\n", b"<p>Wait</p>\n\n"),
    "events-of-no-stream": _answer(
        b"200 OK", b"Content-Type: text/plain\r\n", _events(*range(_BREAK, 12))
    ),
    "from-the-start": _answer(b"200 OK", _STREAM, _events(*range(12))),
    "event-missing": _answer(b"200 OK", _STREAM, _events(*range(_BREAK + 1, 12))),
    "event-twice": _answer(b"200 OK", _STREAM, _events(*range(_BREAK - 1, 12))),
    "head-in-a-stream": _answer(b"200 OK", _STREAM, _answer(b"500 Failed")),
    "cut-head": b"HTTP/1.1 200 OK\r\n" + _PROOF,
    "cut-status": b"HTTP/1.1 20",
    "status-000": _answer(b"000 None", _STREAM, _events(*range(_BREAK, 12))),
    "status-101": _answer(b"101 Switching", _STREAM, _events(*range(_BREAK, 12))),
    "status-999": _answer(b"999 None", _STREAM, _events(*range(_BREAK, 12))),
    "stream-without-events": _answer(b"200 OK", _STREAM),
    "garbage": b"\x00\x01 no answer\r\n\r\n",
}
_odd = pytest.mark.parametrize(
    "content", _ODD_ANSWERS.values(), ids=_ODD_ANSWERS.keys()
)


async def _start_breaking_system(platform_system, content: bytes):
    """Start engines one of which breaks off, and one answers a resumption oddly."""
    system = await platform_system(engines=3)
    changed = configuration(2)
    changed["routes"][1] |= {
        "kind": "streaming",
        "resumable": True,
        "max_attempts": 8,
        "timeout_ms": 10_000,
    }
    await system.call_control("POST", "/-/Config.Replace", changed)
    answer = CutAnswer(content, is_reset=False)
    odd_answers = [answer]
    for engine in system.engines:
        engine.abort_at_event = _BREAK
        engine.resumed_answers = odd_answers
    return system, answer


async def _break_once(system) -> None:
    """Return when an engine has broken off; the others do not any more."""
    engines = system.engines
    await wait_until(lambda: any(each.abort_at_event is None for each in engines))
    for engine in engines:
        engine.abort_at_event = None


@_odd
async def test_a_stream_holds_only_its_own_events(platform_system, content):
    """Guards against an error's text in a stream, and an end before its last event."""
    system, answer = await _start_breaking_system(platform_system, content)
    call = system.call_entry(
        "POST", 0, "/safe/1", _EVENT_COUNT, X_Request_Id="r", X_Deadline_Ms="9000"
    )
    (status, body, _), _ = await asyncio.gather(call, _break_once(system))
    assert answer.count == 1
    assert (status, body) == (200, _events(*range(_EVENT_COUNT)))


@_odd
async def test_an_item_holds_only_its_own_events(platform_system, content):
    """Guards against a result that is completed with a part of its text."""
    system, answer = await _start_breaking_system(platform_system, content)
    assert await system.submit(0, "job", batch_job({"item": _EVENT_COUNT})) == 202
    await _break_once(system)
    (result,) = await system.read_all_results(1, "job")
    assert answer.count == 1
    assert result["state"] == "completed"
    assert result["text"].split("\n") == [f"{n}.1" for n in range(_EVENT_COUNT)]


@pytest.mark.parametrize("name", ["empty", "event-missing", "event-twice"])
async def test_a_stream_that_its_caller_takes_up_goes_on_where_it_broke_off(
    platform_system, name
):
    system, answer = await _start_breaking_system(platform_system, _ODD_ANSWERS[name])
    for engine in system.engines:
        engine.abort_at_event = None
    # The entry knows the origin of the stream from here on.
    status, _, _ = await system.call_entry(
        "POST", 0, "/safe/1", 1, X_Request_Id="first", X_Deadline_Ms="9000"
    )
    assert status == 200
    status, body, _ = await system.call_entry(
        "POST",
        0,
        "/safe/1",
        _EVENT_COUNT,
        X_Request_Id="second",
        Resumes="first",
        Last_Event_Id=str(_BREAK - 1),
        X_Deadline_Ms="9000",
    )
    assert answer.count == 1
    assert (status, body) == (200, _events(*range(_BREAK, _EVENT_COUNT)))


async def test_an_item_is_complete_if_only_the_end_of_its_stream_was_lost(
    platform_system,
):
    """Guards against an item that runs for ever, as nothing is left to add to it."""
    system = await platform_system(engines=3)
    for engine in system.engines:
        engine.abort_at_event = _BREAK
    assert await system.submit(0, "job", batch_job({"item": _BREAK})) == 202
    (result,) = await system.read_all_results(1, "job")
    runs = [run for engine in system.engines for run in engine.received_runs]
    assert ("item", _BREAK - 1) in runs
    assert result["state"] == "completed"
    assert result["text"].split("\n") == [f"{n}.1" for n in range(_BREAK)]


@pytest.mark.parametrize("name", ["empty", "stream-without-events", "page"])
async def test_an_answer_without_events_is_no_output_of_an_item(platform_system, name):
    """Guards against a result that is completed without a text."""
    system = await platform_system()
    answer = CutAnswer(_ODD_ANSWERS[name], is_reset=False)
    system.engines[0].floods["/rollouts/"] = answer
    lengths = {f"item-{number}": 3 for number in range(6)}
    assert await system.submit(0, "job", batch_job(lengths)) == 202
    results = await system.read_all_results(1, "job")
    assert answer.count
    assert [result["text"] for result in results] == ["0.1\n1.1\n2.1"] * 6


# Guards against a burst of streams that all begin at one server, as none of them counts
# there while it is asked for its process.
async def test_a_burst_of_streams_is_spread_over_the_servers(platform_system):
    system = await platform_system(engines=3, entries=1)
    changed = configuration(2)
    changed["routes"][1] |= {"kind": "streaming", "resumable": True}
    await system.call_control("POST", "/-/Config.Replace", changed)
    (entry,) = system.entries
    await wait_until(lambda: entry.context.configuration.revision >= 2)
    streams = [
        system.call_entry(
            "POST",
            0,
            f"/safe/{number}",
            40,
            X_Request_Id=f"r-{number}",
            X_Deadline_Ms="5000",
        )
        for number in range(16)
    ]
    answers = await asyncio.gather(*streams)
    assert [status for status, _, _ in answers] == [200] * 16
    runs = [len(engine.received_runs) for engine in system.engines]
    assert max(runs) <= 8, f"runs {runs} at engines of 8 slots"


# Guards against a stream that crashes servers in its events and is sent on and on.
@pytest.mark.parametrize(
    "is_resumable, events", [(True, b""), (False, b""), (False, _events(0, 1))]
)
async def test_a_stream_crashes_at_most_two_servers_in_their_events(
    platform_system, is_resumable, events
):
    system = await platform_system(engines=4)
    changed = configuration(2)
    changed["routes"][1] |= {"kind": "streaming", "resumable": is_resumable}
    changed["routes"][1] |= {"max_attempts": 3}
    await system.call_control("POST", "/-/Config.Replace", changed)
    await wait_until(
        lambda: all(
            entry.context.configuration.revision >= 2 for entry in system.entries
        )
    )
    length = b"Content-Length: 9000\r\n\r\n"
    content = b"HTTP/1.1 200 OK\r\n" + _PROOF + _STREAM + length + events + b"id: "
    answers = []
    for engine in system.engines:
        answers.append(CrashingAnswer(content, engine.stop))
        engine.floods["/safe/"] = answers[-1]
    for resend in range(6):
        try:
            await system.call_entry(
                "POST",
                resend % 2,
                "/safe/poison",
                b"poison",
                X_Request_Id=f"r-{resend}",
                X_Deadline_Ms="2000",
            )
        except aiohttp.ClientError:
            pass  # the answer broke off
        await asyncio.sleep(0.2)
    assert sum(answer.count for answer in answers) == 2
