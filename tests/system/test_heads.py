"""Heads of requests and answers pass the entry as they were sent."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp import web

from ..local_system import LocalSystem


class _Recorder:
    """Answers with given headers, and keeps the head of each request."""

    def __init__(self, headers: dict[str, str]) -> None:
        self.headers = headers
        self.heads: list[list[tuple[str, str]]] = []

    async def answer(self, request: web.Request) -> web.Response:
        """Record the head and answer."""
        self.heads.append(
            [(name.decode(), value.decode()) for name, value in request.raw_headers]
        )
        request_id = request.headers["Pollenlb-Request-Id"]
        return web.Response(
            text="ok", headers={"Pollenlb-Request-Id": request_id, **self.headers}
        )


async def _exchange(system: LocalSystem, head: str) -> bytes:
    host, _, port = system.entries[0].context.identity.http.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"{head}\r\nConnection: close\r\n\r\n".encode())
    answer = await reader.read()
    writer.close()
    return answer


async def test_host_and_repeated_headers_reach_the_server_as_they_were_sent(
    start_system,
):
    """Guards against a head that the entry or the HTTP library rewrites."""
    system = await start_system(entries=1, plain_services=1)
    recorder = _Recorder({})
    system.plain_services[0].floods["/shop"] = recorder
    head = "GET /shop/a HTTP/1.1\r\nHost: shop.example:81\r\nX-A: 1\r\nX-A: 2"
    assert b" 200 " in (await _exchange(system, head)).partition(b"\r\n")[0]
    received = recorder.heads[0]
    assert [value for name, value in received if name == "Host"] == ["shop.example:81"]
    assert [value for name, value in received if name == "X-A"] == ["1", "2"]
    names = {name for name, _ in received}
    assert not names & {"Accept", "Accept-Encoding", "User-Agent"}


@pytest.mark.parametrize("size, status", [(12_000, 200), (16_384, 200), (40_000, 502)])
async def test_large_header_of_an_answer_reaches_the_caller(start_system, size, status):
    """Guards against a 502 for an answer that ran and whose head is allowed."""
    system = await start_system(entries=1, plain_services=1)
    system.plain_services[0].floods["/shop"] = _Recorder({"X-Large": "x" * size})
    answer = await _exchange(system, "GET /shop/a HTTP/1.1\r\nHost: a")
    assert int(answer.split()[1]) == status
    if status == 200:
        assert b"x" * size in answer
