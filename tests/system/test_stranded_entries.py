"""Entries whose links to all backend servers are cut, while others reach them."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from fakes.cut_answer import CutAnswer
from fakes.flood import REQUEST_ID
from fakes.full_port import FullPort
from fakes.plain_service import FakePlainService
from fakes.ports import free_ports

from ..links import Cut, Links
from ..local_system import wait_until

_CONNECT_TIMEOUT_S = 0.2
_ENTRY_OPTIONS = {
    "probe_interval_s": 0,
    "connect_timeout_s": _CONNECT_TIMEOUT_S,
    "progress_timeout_s": 0.5,
}
_SERVERS = 3
_SHORT_BODY = (
    b"HTTP/1.1 200 OK\r\nPollenlb-Request-Id: " + REQUEST_ID + b"\r\n"
    b"Content-Length: 200000\r\n\r\nstart"
)
_each_cut = pytest.mark.parametrize("how", Cut)


async def _start_with_hanging_server(start_system):
    """Start an entry that knows one server, to which connecting hangs."""
    system = await start_system(entries=1, entry_options=_ENTRY_OPTIONS)
    (port,) = free_ports(1)
    server = FakePlainService("plain-0", "shop", "north", port, [system.url(0)], 8)
    hanging = FullPort()
    server.announced_port = hanging.port
    await server.start()
    system.plain_services.append(server)
    known = system.entries[0].context.directory.servers
    await wait_until(lambda: "plain-0" in known)
    return system, hanging


@pytest.mark.parametrize("body_bytes", [0, 3_000_000])
@pytest.mark.parametrize("timeout_s", [5, _CONNECT_TIMEOUT_S / 2])
@pytest.mark.parametrize("path", ["/shop/1", "/billing/1"])
async def test_request_that_reached_no_server_is_not_answered_as_if_it_may_have_run(
    start_system, path, timeout_s, body_bytes
):
    system, hanging = await _start_with_hanging_server(start_system)
    headers = {"Pollenlb-Timeout": str(timeout_s)}
    url = system.url(0, path)
    body = b"x" * body_bytes
    async with system.session.post(url, headers=headers, data=body) as response:
        assert response.status == 503
        assert response.headers["Pollenlb-Outcome"] == "not-run"
        assert "Retry-After" in response.headers
    hanging.close()


async def _start(start_system, entries: int = 2, cut_entries: int = 1, **entry_options):
    """Start entries and servers; the links of some entries can be cut."""
    system = await start_system(
        entries=entries,
        entry_options={**_ENTRY_OPTIONS, **entry_options},
        is_relaying=True,
    )
    links = [Links(system, entry) for entry in system.entries[:cut_entries]]
    for number in range(_SERVERS):
        (port,) = free_ports(1)
        name = f"plain-{number}"
        server = FakePlainService(name, "shop", "north", port, [system.url(0)], 8)
        for each in links:
            await each.add(port)
        await server.start()
        system.plain_services.append(server)
    await system.wait_until_usable([server.name for server in system.plain_services])
    for _ in range(2 * _SERVERS):  # leaves idle connections
        assert (await system.get(0, "/shop/before"))[0] == 200
    return system, links


def _record_events(system, monkeypatch) -> set[str]:
    """Return the kinds of events that the first entry records from now on."""
    events = system.entries[0].context.events
    record = events.record
    kinds: set[str] = set()

    def record_kind(kind: str, **fields) -> None:
        kinds.add(kind)
        record(kind, **fields)

    monkeypatch.setattr(events, "record", record_kind)
    return kinds


def _runs(system, path: str) -> int:
    return sum(server.executions.get(path, 0) for server in system.plain_services)


def _relayed(system, number: int, result: str = "answered") -> float:
    metrics = system.entries[number].context.metrics
    return metrics.relayed.labels(result)._value.get()


async def _post(system, number: int, path: str, **headers: str) -> tuple:
    headers = {"Pollenlb-Timeout": "5", **headers}
    return await system.send_request("POST", number, path, headers)


@_each_cut
async def test_callers_of_an_entry_without_servers_are_not_served_worse(
    start_system, how
):
    system, (links,) = await _start(start_system)
    await links.cut(how)
    for number in range(8):
        path = f"/{'shop' if number % 2 else 'billing'}/{number}"
        status, outcome, answer = await _post(system, 0, path)
        assert (status, outcome) == (200, "ran")
        assert answer["server"].startswith("plain-")
        if path.startswith("/billing"):
            assert _runs(system, path) == 1
    assert _relayed(system, 0)


@_each_cut
async def test_large_body_is_relayed_whole_while_no_server_is_reached(
    start_system, how
):
    system, (links,) = await _start(start_system)
    await links.cut(how)
    await _post(system, 0, "/billing/first")
    body = b"x" * 3_000_000
    status, outcome, answer = await system.send_request(
        "POST", 0, "/billing/large", {}, data=body
    )
    assert (status, outcome, answer["length"]) == (200, "ran", len(body))
    assert _runs(system, "/billing/large") == 1


@_each_cut
async def test_stranded_entries_do_not_pass_a_request_round_in_a_circle(
    start_system, how
):
    system, links = await _start(start_system, cut_entries=2)
    for each in links:
        await each.cut(how)
    for number in range(4):
        path = f"/billing/{number}"
        status, outcome, _ = await _post(system, number % 2, path)
        # A live connection may have been left by a request before.
        if how is not Cut.NEW_REFUSED or status != 200:
            assert (status, outcome) == (503, "not-run")
            assert _runs(system, path) == 0
    for number in (0, 1):
        assert _relayed(system, number, "refused") <= 4


@_each_cut
async def test_entry_serves_by_itself_soon_after_the_cut(start_system, how):
    system, (links,) = await _start(start_system)
    reachability = system.entries[0].context.reachability
    await links.cut(how)
    for number in range(3):
        await _post(system, 0, f"/billing/{number}")
    assert _relayed(system, 0)
    await links.restore()
    await wait_until(lambda: not reachability.is_stranded, timeout_s=3.0)
    before = _relayed(system, 0)
    for number in range(6):
        assert (await _post(system, 0, f"/billing/after-{number}"))[0] == 200
    assert _relayed(system, 0) == before


async def test_single_failed_server_does_not_make_an_entry_relay(start_system):
    system, _ = await _start(start_system)
    await system.plain_services[0].kill()
    for number in range(12):
        assert (await _post(system, 0, f"/shop/{number}"))[0] == 200
    assert not _relayed(system, 0)


async def test_lost_peer_is_replaced_by_another(start_system):
    system, (links,) = await _start(start_system, entries=4)
    await system.entries[1]._relay_http.stop_listening()
    await links.cut(Cut.REFUSED)
    for number in range(8):
        path = f"/billing/{number}"
        assert (await _post(system, 0, path))[:2] == (200, "ran")
        assert _runs(system, path) == 1


@pytest.mark.parametrize("is_reset", [False, True])
async def test_relayed_answer_that_breaks_off_does_not_look_complete(
    start_system, is_reset
):
    system, (links,) = await _start(start_system)
    for server in system.plain_services:
        server.floods["/billing/short"] = CutAnswer(_SHORT_BODY, is_reset)
    await links.cut(Cut.REFUSED)
    await _post(system, 0, "/billing/first")
    with pytest.raises(aiohttp.ClientError):
        async with system.session.post(system.url(0, "/billing/short")) as response:
            assert response.status == 200
            await response.read()
    assert _relayed(system, 0, "cut")


async def test_callers_cannot_speak_for_an_entry(start_system):
    """Guards against inner headers that change how a caller's request is run."""
    system, (links,) = await _start(start_system)
    inner = {
        "Pollenlb-Attempts-Left": "0",
        "Pollenlb-Relay-Refused": "yes",
        "Pollenlb-Revision": "0",
    }
    assert (await _post(system, 0, "/shop/1", **inner))[:2] == (200, "ran")
    await links.cut(Cut.REFUSED)
    for number in range(4):
        path = f"/billing/{number}"
        assert (await _post(system, 0, path, **inner))[:2] == (200, "ran")


@_each_cut
async def test_entry_whose_probes_fail_is_served_by_a_peer(start_system, how):
    """Guards against a 503 for lack of usable servers that others can use."""
    system, (links,) = await _start(start_system, probe_interval_s=0.2, usable_s=0.6)
    await links.cut(how)
    servers = system.entries[0].context.directory.servers.values()
    if how in (Cut.HUNG, Cut.REFUSED):
        await wait_until(lambda: not any(server.is_usable for server in servers))
    for number in range(4):
        path = f"/billing/{number}"
        assert (await _post(system, 0, path))[:2] == (200, "ran")
        assert _runs(system, path) == 1
    if how in (Cut.HUNG, Cut.REFUSED):
        assert _relayed(system, 0)


async def test_lost_links_are_no_crashes_of_servers(start_system, monkeypatch):
    """Guards against requests that are condemned because the network was cut."""
    system, (links,) = await _start(start_system)
    recorded = _record_events(system, monkeypatch)
    for server in system.plain_services:
        server.may_answer.clear()
    calls = [
        asyncio.create_task(_post(system, 0, f"/shop/running-{number}"))
        for number in range(6)
    ]
    await wait_until(lambda: sum(each.in_flight for each in system.plain_services) > 5)
    await links.cut(Cut.REFUSED)
    await asyncio.sleep(1.5)
    for server in system.plain_services:
        server.may_answer.set()
    await asyncio.gather(*calls)
    assert "server.crashed" not in recorded
    assert "server.not_reached" in recorded


async def test_crash_is_reported_by_an_entry_that_reaches_other_servers(
    start_system, monkeypatch
):
    system, _ = await _start(start_system)
    recorded = _record_events(system, monkeypatch)
    for server in system.plain_services:
        server.may_answer.clear()
    call = asyncio.create_task(_post(system, 0, "/shop/running"))
    await wait_until(lambda: any(each.in_flight for each in system.plain_services))
    (crashed,) = [each for each in system.plain_services if each.in_flight]
    await crashed.kill()
    for server in system.plain_services:
        server.may_answer.set()
    assert (await call)[0] == 200
    assert "server.crashed" in recorded


async def test_relayed_request_has_no_more_attempts_than_are_left(start_system):
    """Guards against twice the attempts, and "not run" after a run elsewhere."""
    system, _ = await _start(start_system)
    identity = system.entries[1].context.identity
    revision = str(system.entries[1].context.configuration.revision)
    headers = {"Pollenlb-Attempts-Left": "1", "Pollenlb-Revision": revision}
    for server in system.plain_services:
        server.aborts_connections = True
    for address, path in ((identity.relay, "/shop/in"), (identity.http, "/shop/out")):
        async with system.session.post(
            f"http://{address}{path}", headers=headers
        ) as response:
            assert response.headers["Pollenlb-Outcome"] == "unknown"
    assert _runs(system, "/shop/in") == 1
    assert _runs(system, "/shop/out") > 1
    for server in system.plain_services:
        await server.kill()
    async with system.session.post(
        f"http://{identity.relay}/shop/none", headers=headers
    ) as response:
        assert response.status != 200
        assert response.headers["Pollenlb-Outcome"] == "unknown"


@pytest.mark.parametrize("difference", [-1, 1, None])
async def test_peer_refuses_a_request_of_another_configuration(
    start_system, difference
):
    """Guards against a caller that meets two revisions in turn at one entry."""
    system, _ = await _start(start_system)
    context = system.entries[1].context
    headers = {}
    if difference is not None:
        revision = context.configuration.revision + difference
        headers["Pollenlb-Revision"] = str(revision)
    url = f"http://{context.identity.relay}/shop/1"
    async with system.session.post(url, headers=headers) as response:
        assert response.status == 503
        assert response.headers["Pollenlb-Relay-Refused"] == "yes"
        assert response.headers["Pollenlb-Outcome"] == "not-run"
    assert _runs(system, "/shop/1") == 0


async def test_peer_that_stops_answers_the_requests_relayed_to_it(start_system):
    system, (links,) = await _start(start_system)
    await links.cut(Cut.REFUSED)
    await _post(system, 0, "/billing/first")
    for server in system.plain_services:
        server.may_answer.clear()
    call = asyncio.create_task(_post(system, 0, "/billing/last"))
    await wait_until(lambda: any(each.in_flight for each in system.plain_services))
    stop = asyncio.create_task(system.entries.pop(1).stop())
    await asyncio.sleep(0.5)
    for server in system.plain_services:
        server.may_answer.set()
    assert (await call)[:2] == (200, "ran")
    await stop
    assert _runs(system, "/billing/last") == 1


async def test_request_on_a_silent_connection_does_not_wait_for_its_deadline(
    start_system,
):
    """Guards against a 504 although the entry has long known that it is stranded."""
    system, (links,) = await _start(start_system)
    await links.cut(Cut.HUNG)
    calls = [_post(system, 0, f"/{path}/1") for path in ("shop", "billing")]
    assert [answer[:2] for answer in await asyncio.gather(*calls)] == [
        (200, "ran"),
        (200, "ran"),
    ]
