"""Callers that respect no limit end no process and cost it bounded memory.

Each test starts a control instance and an entry as processes and lets a small
number of connections send one shape of traffic to one port. The senders are
bounded in bytes and end by themselves.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import pytest

from fakes.ports import free_ports

pytestmark = pytest.mark.alone

ROOT = Path(__file__).resolve().parents[2]

_CONNECTION_COUNT = 40
# Sent by each sender, which opens a new connection when its last one was closed.
_SENT_BYTES = 8_000_000
# The target of docs/design/competing-load.md: 24 MB at 40 connections.
_MAX_GROWTH_KB = 24_000
# Descriptors beside those of the connections, for instance of calls between the
# processes.
_MAX_OTHER_DESCRIPTORS = 20
_PIECE_BYTES = 65_536
# No assertion depends on these: a sender whose connection is neither read nor closed
# ends after the first, and the second ends a test that would hang.
_SEND_TIMEOUT_S = 5.0
_TEST_TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.05

_HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\n"
_CHUNKED_HEAD = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Bytes sent once, and bytes sent again and again after them.
_SHAPES = {
    "header-value": (_HEAD + b"X-A: ", b"a" * _PIECE_BYTES),
    "request-target": (b"GET /", b"a" * _PIECE_BYTES),
    "short-headers": (_HEAD, b"X-A: b\r\n" * 8192),
    "trailers": (_CHUNKED_HEAD + b"1\r\na\r\n0\r\n", b"X-A: b\r\n" * 8192),
    "trailer-value": (_CHUNKED_HEAD + b"1\r\na\r\n0\r\nX-A: ", b"a" * _PIECE_BYTES),
    "chunk-extension": (_CHUNKED_HEAD + b"1;a=", b"a" * _PIECE_BYTES),
    "empty-lines-CRLF": (b"", b"\r\n" * (_PIECE_BYTES // 2)),
    "empty-lines-LF": (b"", b"\n" * _PIECE_BYTES),
    "pipelined-requests": (b"", b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n" * 2048),
}
_PORTS = ["callers", "ready", "operator", "between processes"]

# Lowered, so that the tests are short.
_CONTROL_OPTIONS = {
    "head_timeout_s": 2,
    "max_connections": _CONNECTION_COUNT + 5,
    "unread_answer_timeout_s": 2,
}
_ENTRY_OPTIONS = {"max_header_bytes": 16_384, **_CONTROL_OPTIONS}


@dataclass
class _Port:
    """One port of a process.

    Attributes
    ----------
    number : int
        Port of the loopback address.
    process : Popen
        Process that listens there.
    request, status : bytes
        An ordinary request, and the start of its answer.
    """

    number: int
    process: subprocess.Popen
    request: bytes
    status: bytes

    def memory_kb(self, name: str) -> int:
        """Return one line of the process's status in KB, such as ``VmRSS``."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(each for each in text.splitlines() if each.startswith(name + ":"))
        return int(line.split()[1])

    def descriptor_count(self) -> int:
        """Return the number of open descriptors of the process."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def ask(self) -> bytes:
        """Return the answer to an ordinary request."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.number)
        try:
            writer.write(self.request)
            return await reader.read()
        finally:
            writer.close()


def _start(folder: Path, role: str, settings: dict[str, object]) -> subprocess.Popen:
    path = folder / f"{role}.toml"
    lines = [f"{key} = {_toml(value)}" for key, value in settings.items()]
    path.write_text("\n".join(lines))
    environment = {
        **os.environ,
        "PYTHONPATH": str(ROOT),
        "POLLENLB_CONFIG": str(path),
    }
    with (folder / f"{role}.out").open("ab") as output:
        return subprocess.Popen(
            [sys.executable, "-m", "pollenlb.platform", role],
            cwd=ROOT,
            env=environment,
            stdout=output,
            stderr=output,
        )


def _toml(value: object) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    return repr(value)


def _request(method: str, path: str) -> bytes:
    lines = f"{method} {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
    return f"{lines}Content-Length: 0\r\n\r\n".encode()


@pytest.fixture
async def ports(tmp_path) -> AsyncIterator[dict[str, _Port]]:
    """Start a control instance and an entry; yield their ports by name."""
    callers, ready, operator, internal = free_ports(4)
    control_address = f"127.0.0.1:{internal}"
    control = _start(
        tmp_path,
        "control",
        {
            "name": "store-0",
            "failure_domain": "north",
            "listen": control_address,
            "http_listen": f"127.0.0.1:{operator}",
            "data_folder": str(tmp_path / "store-0"),
            "seeds": [control_address],
            "bootstrap": True,
            "tolerated_losses": 0,
            "event_output": "stdout",
            **_CONTROL_OPTIONS,
        },
    )
    entry = _start(
        tmp_path,
        "entry",
        {
            "name": "entry-0",
            "failure_domain": "north",
            "listen": f"127.0.0.1:{callers}",
            "ready_listen": f"127.0.0.1:{ready}",
            "control": [control_address],
            "balancer_delay_s": 0,
            "shutdown_grace_s": 1,
            **_ENTRY_OPTIONS,
        },
    )
    release = _request("POST", "/-/Instances.Deregister/nothing")
    found = {
        "callers": _Port(callers, entry, _request("GET", "/nothing"), b" 404 "),
        "ready": _Port(ready, entry, _request("GET", "/-/ready"), b" 200 "),
        "operator": _Port(operator, control, release, b" 200 "),
        # The operator's request is answered only if calls between processes are.
        "between processes": _Port(internal, control, release, b" 200 "),
    }
    try:
        async with asyncio.timeout(_TEST_TIMEOUT_S):
            for name in ("operator", "ready"):
                while not await _is_answered(found[name]):
                    await asyncio.sleep(_POLL_INTERVAL_S)
        yield found
    finally:
        for process in (entry, control):
            process.terminate()
        for process in (entry, control):
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


async def _is_answered(port: _Port) -> bool:
    try:
        return port.status in (await port.ask()).partition(b"\r\n")[0]
    except OSError:
        return False


async def _send(
    port: _Port, start: bytes, repeated: bytes, most_bytes: int = _SENT_BYTES
) -> asyncio.StreamWriter:
    """Send a number of bytes; return the last connection used.

    Ends earlier when a connection is neither read nor closed.
    """
    sent_bytes = 0
    while True:
        # The limit keeps the answers that nobody reads out of this process.
        _, writer = await asyncio.open_connection("127.0.0.1", port.number, limit=1024)
        try:
            async with asyncio.timeout(_SEND_TIMEOUT_S):
                writer.write(start)
                while sent_bytes < most_bytes:
                    sent_bytes += len(repeated)
                    writer.write(repeated)
                    await writer.drain()
            return writer
        except TimeoutError:
            return writer
        except OSError:
            # The process may close the connection at any time.
            sent_bytes += _PIECE_BYTES
            writer.transport.abort()


async def _check_shape(port: _Port, asked: _Port, shape: str) -> None:
    start, repeated = _SHAPES[shape]
    memory_kb, descriptors = port.memory_kb("VmRSS"), port.descriptor_count()
    writers = await asyncio.gather(
        *(_send(port, start, repeated) for _ in range(_CONNECTION_COUNT))
    )
    try:
        assert port.process.poll() is None
        growth_kb = port.memory_kb("VmHWM") - memory_kb
        print(f"{shape}: +{growth_kb} KB, +{port.descriptor_count() - descriptors} fds")
        assert growth_kb < _MAX_GROWTH_KB
        assert (
            port.descriptor_count()
            < descriptors + _CONNECTION_COUNT + _MAX_OTHER_DESCRIPTORS
        )
        # Asked while the connections of the senders are still open here.
        async with asyncio.timeout(_TEST_TIMEOUT_S):
            assert asked.status in (await asked.ask()).partition(b"\r\n")[0]
    finally:
        for writer in writers:
            writer.transport.abort()


@pytest.mark.parametrize("name", _PORTS[:3])
@pytest.mark.parametrize("shape", _SHAPES)
async def test_unbounded_traffic_costs_bounded_memory(ports, name, shape):
    """Guards against a process that ends, or grows with what a stranger sends."""
    await _check_shape(ports[name], ports[name], shape)


# HTTP/1 traffic is refused by gRPC; HTTP/2 shapes are not tested.
@pytest.mark.parametrize("shape", ["header-value", "empty-lines-CRLF"])
async def test_unbounded_traffic_between_processes_costs_bounded_memory(ports, shape):
    """Guards against a control instance that a stranger ends at its gRPC port."""
    await _check_shape(ports["between processes"], ports["operator"], shape)


_INCOMPLETE_HEADS = [b"", b"G", _HEAD, b"\r\n" * 20]


@pytest.mark.parametrize("name", _PORTS[:3])
async def test_connections_without_a_complete_head_are_closed(ports, name):
    """Guards against connections that strangers hold without a request."""

    async def send_and_wait(sent: bytes) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", ports[name].number)
        writer.write(sent)
        try:
            while await reader.read(4096):
                pass
        finally:
            writer.close()

    async with asyncio.timeout(_SEND_TIMEOUT_S * 2):
        await asyncio.gather(*map(send_and_wait, _INCOMPLETE_HEADS))


@pytest.mark.parametrize("name", _PORTS[:3])
async def test_connections_have_a_greatest_number(ports, name):
    """Guards against a process that a stranger leaves without descriptors."""
    port = ports[name]
    descriptors = port.descriptor_count()
    writers = []
    try:
        for _ in range(5 * _CONNECTION_COUNT):
            _, writer = await asyncio.open_connection("127.0.0.1", port.number)
            writers.append(writer)
        async with asyncio.timeout(_TEST_TIMEOUT_S):
            assert port.status in (await port.ask()).partition(b"\r\n")[0]
        assert (
            port.descriptor_count()
            < descriptors + _CONNECTION_COUNT + _MAX_OTHER_DESCRIPTORS
        )
    finally:
        for writer in writers:
            writer.transport.abort()


@pytest.mark.parametrize("name", _PORTS[:3])
async def test_connection_whose_answers_nobody_reads_is_closed(ports, name):
    """Guards against answers that are held for a stranger without end."""
    port = ports[name]
    descriptors = port.descriptor_count()
    start, repeated = _SHAPES["pipelined-requests"]
    writers = await asyncio.gather(
        *(_send(port, start, repeated, 2 * _SENT_BYTES) for _ in range(4))
    )
    try:
        async with asyncio.timeout(_SEND_TIMEOUT_S * 2):
            while port.descriptor_count() > descriptors + 2:
                await asyncio.sleep(_POLL_INTERVAL_S)
    finally:
        for writer in writers:
            writer.transport.abort()


async def _exchange(port: _Port, pieces: list[bytes], pause_s: float = 0.0) -> bytes:
    """Send a request in pieces and return the status line of its answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port.number)
    try:
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(pause_s)
        async with asyncio.timeout(_TEST_TIMEOUT_S):
            return await reader.readline()
    finally:
        writer.transport.abort()


_END = b"Connection: close\r\n\r\n"


@pytest.mark.parametrize(
    "pieces, status",
    [
        ([_HEAD + b"X-A: " + b"a" * 16_384 + b"\r\n" + _END], b" 404 "),
        ([_HEAD + b"X-A: " + b"a" * 16_385 + b"\r\n" + _END], b" 400 "),
        ([b"GET /" + b"a" * 16_383 + b" HTTP/1.1\r\nHost: a\r\n" + _END], b" 404 "),
        ([b"GET /" + b"a" * 16_384 + b" HTTP/1.1\r\nHost: a\r\n" + _END], b" 400 "),
        # Ten headers of the greatest size, in two pieces.
        (
            [
                _HEAD,
                b"".join(b"X-%d: " % n + b"a" * 16_380 + b"\r\n" for n in range(10))
                + _END,
            ],
            b" 404 ",
        ),
        ([b"\r\n\r\n" + _HEAD + _END], b" 404 "),
        # 20,000 chunks of one byte each, an extension and a trailer.
        (
            [
                _HEAD + b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n",
                b"1\r\na\r\n" * 20_000,
                b"1;a=b\r\na\r\n0\r\nX-A: b\r\n\r\n",
            ],
            b" 404 ",
        ),
        ([b"BAD\r\n\r\n"], b" 400 "),
    ],
    ids=[
        "header-at-the-limit",
        "header-above-the-limit",
        "target-at-the-limit",
        "target-above-the-limit",
        "large-head",
        "two-empty-lines",
        "small-chunks",
        "garbage",
    ],
)
async def test_requests_at_the_limits_are_answered_as_before(ports, pieces, status):
    """Guards against a limit that concerns callers within the limits."""
    assert status in await _exchange(ports["callers"], pieces)


async def test_slow_head_is_served(ports):
    """Guards against a time for the head below the one that callers may take."""
    pieces = [b"GET /a HT", b"TP/1.1\r\nHo", b"st: a\r\n", _END]
    assert b" 404 " in await _exchange(ports["callers"], pieces, pause_s=0.3)


async def test_idle_connection_that_has_had_an_answer_stays_open(ports):
    """Guards against a time for the first head that ends connections in reuse."""
    port = ports["callers"]
    reader, writer = await asyncio.open_connection("127.0.0.1", port.number)
    request = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
    try:
        async with asyncio.timeout(_TEST_TIMEOUT_S):
            for _ in range(2):
                writer.write(request)
                head = await reader.readuntil(b"\r\n\r\n")
                assert b" 404 " in head.partition(b"\r\n")[0]
                length = head.lower().partition(b"content-length:")[2].split()[0]
                await reader.readexactly(int(length))
                await asyncio.sleep(_SEND_TIMEOUT_S)
    finally:
        writer.close()
