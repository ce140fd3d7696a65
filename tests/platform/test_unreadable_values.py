"""Values that are too large or too deep concern only the one who sent them."""

from __future__ import annotations

import asyncio

import pytest

from fakes.cut_answer import CutAnswer
from fakes.flood import REQUEST_ID

from .platform_system import batch_job

_LARGE = 10**30
_DIGITS = "9" * 400  # more than a float can hold


@pytest.mark.parametrize(
    "figures",
    [f"{_DIGITS},0,8,100", f"1,0,8,{_DIGITS}", "1,0,8,-100", "-5,0,8,100", "²,0,8,²"],
)
async def test_unreadable_figures_of_one_server_stop_nothing(platform_system, figures):
    """Guards against a load report that fails whatever weighs all servers."""
    system = await platform_system()
    system.engines[0].load_report = figures
    for number in range(3):  # the figures count for the requests after them
        answers = await asyncio.gather(
            *(
                system.call_entry("GET", 0, "/safe/1", 1, X_Request_Id=f"{number}-{n}")
                for n in range(8)
            )
        )
        assert {status for status, _, _ in answers} == {200}
    lengths = {f"item-{number}": 20 for number in range(24)}
    assert await system.submit(0, "job", batch_job(lengths)) == 202
    results = await system.read_all_results(1, "job")
    assert {result["state"] for result in results} == {"completed"}


@pytest.mark.parametrize(
    "event",
    [
        b"x-weight-versions: %d\nid: 0\ndata: 0.1" % _LARGE,
        b"x-weight-versions: -1\nid: 0\ndata: 0.1",
        b"id: %d\ndata: 0.1" % _LARGE,
        b"id: -1\ndata: 0.1",
    ],
)
async def test_an_event_with_an_unreadable_number_is_no_output(platform_system, event):
    """Guards against a result that cannot be stored, and stops all of its job."""
    system = await platform_system()
    content = event + b"\n\n"
    answer = CutAnswer(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"X-Request-Id: " + REQUEST_ID + b"\r\nX-Weight-Versions: 1\r\n"
        b"Content-Length: %d\r\n\r\n" % len(content) + content,
        is_reset=False,
    )
    system.engines[0].floods["/rollouts/"] = answer
    lengths = {f"item-{number}": 3 for number in range(6)}
    assert await system.submit(0, "job", batch_job(lengths)) == 202
    results = await system.read_all_results(1, "job")
    assert answer.count
    assert [result["text"] for result in results] == ["0.1\n1.1\n2.1"] * 6
    assert all(result["versions"] == [1] for result in results)


async def test_an_unreadable_deadline_of_a_caller_is_ignored(platform_system):
    system = await platform_system()
    for number, text in enumerate(("9" * 5000, "²", "-1")):
        status, _, _ = await system.call_entry(
            "GET", 0, "/safe/1", 1, X_Request_Id=f"r-{number}", X_Deadline_Ms=text
        )
        assert status == 200
