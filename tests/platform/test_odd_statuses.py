"""An answer whose status ends no request is no answer, whoever reads it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from aiohttp import web

from fakes.cut_answer import CutAnswer
from fakes.flood import REQUEST_ID
from pollenlb.connection.backend_api import (
    ORDER_PATH as NATIVE_ORDER_PATH,
    PROBE_PATH,
    ProcessCheck,
)
from pollenlb.connection.probe import probe_server
from pollenlb.connection.sessions import open_session
from pollenlb.ids import InstanceName, ModelName, Term, WeightVersion
from pollenlb.platform.orders import PlatformOrderChannel
from pollenlb.scheduling.swap_plan import SwapMode
from pollenlb.version.order_channel import NativeOrderChannel, OrderOutcome, SwapOrder

from ..local_system import wait_until
from .platform_system import HOST, batch_job, configuration

_EVENT_COUNT = 3
_STREAM = b"id: 0\ndata: 0.1\n\n"
_UPGRADE = b"Connection: Upgrade\r\nUpgrade: websocket\r\n"
_TIMEOUT_S = 20.0
_TIMEOUT_OF_CHECKS_S = 1.0

_ODD_STATUSES = {
    "000": b"000 None",
    "020": b"020 Early",
    "099": b"099 Early",
    "101": b"101 Switching Protocols",
    "101-upgrade": b"101 Switching Protocols\r\n" + _UPGRADE[:-2],
    "600": b"600 Late",
    "999": b"999 Late",
}
_FINAL_STATUSES = [
    b"200 OK",
    b"200",
    b"200 It's 404 \xe4 ;-)",
    b"204 No Content",
    b"206 Partial Content",
    b"299 None",
    b"304 Not Modified",
    b"404 Not Found",
    b"418 I'm a teapot",
    b"500 Internal Server Error",
    b"599 None",
]
_odd = pytest.mark.parametrize(
    "status", _ODD_STATUSES.values(), ids=_ODD_STATUSES.keys()
)
_kinds = pytest.mark.parametrize("kind", ["safe", "unsafe", "streaming", "resumable"])


class _KeptAnswer:
    """Sends a whole answer and leaves it to the peer to close the connection."""

    def __init__(
        self, content: bytes, on_request: Callable[[], None] = lambda: None
    ) -> None:
        self._content = content
        self._on_request = on_request
        self.count = 0
        self.closed_count = 0

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Answer a request; the peer's close cancels this."""
        self._on_request()
        await request.read()
        request_id = request.headers.get("X-Request-Id", "").encode()
        assert request.transport is not None
        request.transport.write(self._content.replace(REQUEST_ID, request_id))
        self.count += 1
        try:
            await asyncio.Event().wait()
        finally:
            self.closed_count += 1
        raise AssertionError


def _answer(status: bytes, body: bytes = _STREAM, headers: bytes = b"") -> bytes:
    return (
        b"HTTP/1.1 " + status + b"\r\nX-Request-Id: " + REQUEST_ID + b"\r\n"
        b"X-Server-Stamp: forged\r\nX-Weight-Versions: 1\r\nX-Instance-Id: i-0\r\n"
        + headers
        + b"Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n" % len(body)
        + body
    )


async def _configure(system, kind: str) -> None:
    """Give the paths below ``/safe/`` a kind of route."""
    changed = configuration(2)
    is_streaming = kind in ("streaming", "resumable")
    changed["routes"][1] |= {
        "kind": "streaming" if is_streaming else kind,
        "resumable": kind == "resumable",
        "timeout_ms": 8000,
    }
    status, _ = await system.call_control("POST", "/-/Config.Replace", changed)
    assert status == 200


async def _exchange(system, path: str, version: str = "HTTP/1.1") -> bytes:
    """Return all bytes that a caller gets."""
    host, _, port = system.entries[0].context.identity.http.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        (
            f"POST {path} {version}\r\nHost: {HOST}\r\nX-Request-Id: r{path}\r\n"
            f"Connection: close\r\nContent-Length: 1\r\n\r\n{_EVENT_COUNT}"
        ).encode()
    )
    async with asyncio.timeout(_TIMEOUT_S):
        answer = await reader.read()
    writer.close()
    return answer


def _install_once(system, path: str, content: bytes) -> _KeptAnswer:
    """Let the first engine that is asked answer so, and no engine after it."""

    def remove() -> None:
        for engine in system.engines:
            del engine.floods[path]

    answer = _KeptAnswer(content, remove)
    for engine in system.engines:
        engine.floods[path] = answer
    return answer


@_odd
@_kinds
@pytest.mark.parametrize("body", [_STREAM, b""], ids=["body", "empty"])
async def test_an_answer_with_an_odd_status_does_not_reach_the_caller(
    platform_system, kind, status, body
):
    """Guards against an answer such as ``HTTP/1.1 0`` with a server's stamp."""
    system = await platform_system(entries=1)
    await _configure(system, kind)
    answer = _KeptAnswer(_answer(status, body))
    for engine in system.engines:
        engine.floods["/safe/odd"] = answer
    received = await _exchange(system, "/safe/odd")
    assert received.startswith(b"HTTP/1.1 502 "), received
    assert b"forged" not in received and b"0.1" not in received
    if kind in ("unsafe", "streaming"):
        assert answer.count == 1
    else:
        assert answer.count >= 2
    # A connection after such an answer may hold anything.
    await wait_until(lambda: answer.closed_count == answer.count)


async def test_an_odd_status_does_not_reach_a_caller_of_http_1_0(platform_system):
    system = await platform_system(entries=1)
    for engine in system.engines:
        engine.floods["/safe/odd"] = _KeptAnswer(_answer(b"000 None"))
    received = await _exchange(system, "/safe/odd", "HTTP/1.0")
    assert received.split()[1] == b"502", received
    assert b"forged" not in received


@_odd
@pytest.mark.parametrize("kind", ["safe", "resumable"])
async def test_a_request_that_may_run_again_does_after_an_odd_status(
    platform_system, kind, status
):
    system = await platform_system(entries=1)
    await _configure(system, kind)
    answer = _install_once(system, "/safe/odd", _answer(status))
    received = await _exchange(system, "/safe/odd")
    assert received.startswith(b"HTTP/1.1 200 "), received
    assert received.count(b"id: ") == _EVENT_COUNT
    assert answer.count == 1
    runs = [run for engine in system.engines for run in engine.received_runs]
    assert runs == [("r/safe/odd", -1)]


async def test_an_odd_status_does_not_tell_that_a_request_has_not_run(platform_system):
    """Guards against a second run that a broken head allowed."""
    system = await platform_system(entries=1)
    await _configure(system, "unsafe")
    content = _answer(b"000 None", headers=b"X-Not-Executed: 1\r\n")
    answer = _install_once(system, "/safe/odd", content)
    received = await _exchange(system, "/safe/odd")
    assert received.startswith(b"HTTP/1.1 502 "), received
    assert answer.count == 1
    assert not any(engine.received_runs for engine in system.engines)


@_kinds
async def test_final_statuses_reach_the_caller_unchanged(platform_system, kind):
    """Guards against a check that takes a server's own answer for none."""
    system = await platform_system(entries=1)
    await _configure(system, kind)
    for status in _FINAL_STATUSES:
        has_body = status[:3] not in (b"204", b"304")
        answer = CutAnswer(_answer(status, _STREAM if has_body else b""), False)
        for engine in system.engines:
            engine.floods["/safe/final"] = answer
        received = await _exchange(system, "/safe/final")
        assert received.split()[1] == status[:3], (status, received)
        assert b"X-Server-Stamp: forged" in received
        assert (_STREAM in received.replace(b"\r\n", b"")) == has_body
        assert answer.count == 1


@_odd
async def test_an_item_is_run_again_after_an_odd_status(platform_system, status):
    system = await platform_system(engines=2)
    answer = _KeptAnswer(_answer(status))
    system.engines[0].floods["/rollouts/item-"] = answer
    job = batch_job({f"item-{number}": _EVENT_COUNT for number in range(6)})
    assert await system.submit(0, "job", job) == 202
    async with asyncio.timeout(_TIMEOUT_S):
        results = await system.read_all_results(1, "job")
    assert [result["text"] for result in results] == ["0.1\n1.1\n2.1"] * 6
    assert answer.count
    await wait_until(lambda: answer.closed_count == answer.count)


@_odd
async def test_checks_and_orders_take_an_odd_status_for_no_answer(
    platform_system, status
):
    """Guards against a process that is confirmed, or an order that is accepted."""
    system = await platform_system(entries=1, engines=1)
    (engine,) = system.engines
    context = system.entries[0].context
    server = context.directory.servers["i-0"].announcement
    body = b'{"models":[],"busy":false,"seq":0,"born":1000}'
    for path in ("/-/report", "/healthz", "/-/order", NATIVE_ORDER_PATH):
        engine.floods[path] = _KeptAnswer(_answer(status, body))
    engine.floods[PROBE_PATH] = _KeptAnswer(
        _answer(status, b'{"boot":"b","state":"serving","in_flight":0}')
    )
    check = await context.dialect.check_process(
        context.session, server, _TIMEOUT_OF_CHECKS_S
    )
    assert check is ProcessCheck.SILENT
    probe = context.dialect.probe(
        context.session, server, "/healthz", _TIMEOUT_OF_CHECKS_S
    )
    assert await probe is None
    session = open_session(is_pooled=True)
    order = SwapOrder(
        server,
        ModelName("model-a"),
        WeightVersion(2),
        SwapMode.WAIT,
        InstanceName("store-0"),
        Term(1),
        1,
        None,
        1.0,
    )
    assert (await probe_server(session, server.address, _TIMEOUT_OF_CHECKS_S)) is None
    assert await PlatformOrderChannel().fetch_report(session, server) is None
    for channel in (PlatformOrderChannel(), NativeOrderChannel()):
        assert await channel.send_order(session, order) is OrderOutcome.UNKNOWN
    await session.close()
