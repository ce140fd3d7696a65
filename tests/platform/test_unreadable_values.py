"""Values that are too large or too deep concern only the one who sent them."""

from __future__ import annotations

import asyncio
import json

import pytest
from yarl import URL

from fakes.cut_answer import CutAnswer
from fakes.flood import REQUEST_ID

from ..local_system import wait_until
from .platform_system import MODEL, batch_job, configuration

_NESTED = b"[" * 10_000 + b"]" * 10_000
_LARGE = 10**30
_DIGITS = "9" * 400  # more than a float can hold


def _report(**changes) -> bytes:
    models = [{"name": MODEL, "version": 1, "adapters": []}]
    return json.dumps({"models": models, "busy": False, "seq": 0, **changes}).encode()


_REPORTS = {
    "nested": _report()[:-1] + b',"more":' + _NESTED + b"}",
    "large-version": _report(models=[{"name": MODEL, "version": _LARGE}]),
    "negative-version": _report(models=[{"name": MODEL, "version": -1}]),
    "large-count": _report(seq=_LARGE),
    "digits": _report().replace(b'"seq": 0', b'"seq": ' + b"9" * 5000),
}


@pytest.mark.parametrize("report", _REPORTS.values(), ids=_REPORTS.keys())
@pytest.mark.parametrize("is_ordered", [False, True], ids=["before", "after"])
async def test_an_unreadable_report_ends_no_control_instance(
    platform_system, report, is_ordered
):
    """Guards against one engine that ends the leader, and each one after it."""
    system = await platform_system(engines=3)
    odd = system.engines[0]
    if is_ordered:
        odd.swap_s = 4.0  # seconds in which its reports are asked for
    else:
        odd.report = report
    release = {"model": MODEL, "version": 2}
    assert (await system.call_control("POST", "/-/version-put", release))[0] == 200
    if is_ordered:
        await wait_until(lambda: bool(odd.orders))
        odd.report = report
    read_count = odd.report_count
    await wait_until(lambda: odd.report_count > read_count + 2)
    await wait_until(lambda: all(each.version == 2 for each in system.engines[1:]))
    assert system.controls[0].replica.leadership is not None
    odd.report = None
    await wait_until(lambda: odd.version == 2)


@pytest.mark.parametrize(
    "path",
    ["/-/Instances.Heartbeat/i-other", "/-/Config.Replace", "/-/version-put"],
)
async def test_a_body_nested_too_deeply_is_refused(platform_system, path):
    """Guards against an error that asks the caller to send it again."""
    system = await platform_system()
    body = b'{"more":' + _NESTED + b"}"
    status, problem = await system.call_control("POST", path, body)
    assert (status, bool(problem)) == (400, True)


@pytest.mark.parametrize("name", ["%0a", "%00", "%20", "%c3%a9", "i" * 300])
async def test_a_server_whose_name_is_no_header_value_is_refused(platform_system, name):
    """Guards against a server that no request can name, and that fails them all."""
    system = await platform_system()
    listener = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    check_in = {
        "service": "engines",
        "address": f"127.0.0.1:{port}",
        "zone": "north",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "models": [{"name": MODEL, "version": 1}],
        "seq": 1,
        "born": 1_000,
    }
    url = f"{system.control_urls[0]}/-/Instances.Heartbeat/{name}"
    async with system.session.post(URL(url, encoded=True), json=check_in) as response:
        assert response.status == 400
    answers = await asyncio.gather(
        *(
            system.call_entry("POST", 0, "/safe/1", 1, X_Request_Id=f"r-{number}")
            for number in range(8)
        )
    )
    assert {status for status, _, _ in answers} == {200}
    listener.close()


@pytest.mark.parametrize(
    "changes",
    [
        {"headers": {"X-Model": "a\nb"}},
        {"headers": {"X-Model\r": "a"}},
        {"id": "item\n"},
        {"scorer": {"id": "a\n", "host": "h", "path": "/"}},
    ],
)
async def test_an_item_that_cannot_be_sent_is_refused(platform_system, changes):
    """Guards against an item that is run again and again, and never arrives."""
    system = await platform_system()
    job = batch_job({"item": 1})
    job["requests"][0] |= changes
    assert await system.submit(0, "job", job) == 400


async def test_a_configuration_with_a_number_too_large_is_refused(platform_system):
    system = await platform_system()
    for body in (
        configuration(_LARGE),
        configuration(2, max_attempts=_LARGE),
        configuration(2, priority=-_LARGE),
        {**configuration(2), "tenants": [{"name": "a", "priority": _LARGE}]},
    ):
        status, _ = await system.call_control("POST", "/-/Config.Replace", body)
        assert status == 400
    release = {"model": MODEL, "version": _LARGE}
    assert (await system.call_control("POST", "/-/version-put", release))[0] == 400


async def test_a_batch_job_that_cannot_be_stored_is_refused(platform_system):
    system = await platform_system()
    fields = ({"more": 0}, {"min_version": _LARGE}, {"group_count": _LARGE})
    for changes in fields[1:]:
        job = batch_job({"item": 1}, **changes)
        assert await system.submit(0, "job", job) == 400
    nested = json.dumps(batch_job({"item": 1}, **fields[0])).encode()
    nested = nested.replace(b'"more": 0', b'"more": ' + _NESTED)
    assert await system.submit(0, "job", nested) == 400
    job = batch_job({"item": 1})
    job["requests"][0]["headers"]["X-Length-Hint"] = "9" * 5000
    assert await system.submit(0, "job", job) == 202
    assert len(await system.read_all_results(0, "job")) == 1


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


@pytest.mark.parametrize("text", ["inf", "nan", "1e400", "-1", "9" * 5000, "later"])
async def test_a_refusal_with_an_unreadable_time_is_still_a_refusal(
    platform_system, text
):
    """Guards against a request that has not run and whose caller is not told so."""
    system = await platform_system()
    answer = CutAnswer(
        b"HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " + REQUEST_ID + b"\r\n"
        b"X-Not-Executed: 1\r\nContent-Length: 0\r\n"
        b"Retry-After: " + text.encode() + b"\r\n\r\n",
        is_reset=False,
    )
    for engine in system.engines:
        engine.floods["/safe/"] = answer
    status, _, headers = await system.call_entry(
        "POST", 0, "/safe/1", 1, X_Request_Id="r", X_Deadline_Ms="4000"
    )
    assert answer.count
    assert status == 503
    assert 0 < float(headers["Retry-After"]) < 60


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
