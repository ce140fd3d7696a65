"""Callers' requests on the platform: complete answers, streams and refusals."""

from __future__ import annotations

import asyncio

import pytest
from yarl import URL

from pollenlb.platform.dialect import PlatformDialect
from pollenlb.platform.names import parse_in_flight, parse_slowness
from pollenlb.request.outcome import Outcome, Refusal

from ..local_system import wait_until
from .platform_system import HOST, batch_job, configuration


def _streaming_configuration(**options) -> dict:
    changed = configuration(2)
    changed["routes"][1] |= {
        "kind": "streaming",
        "resumable": True,
        "max_attempts": 3,
        **options,
    }
    return changed


async def _stream_slowly(system) -> None:
    """Change the configuration so that streams may last for ten seconds."""
    changed = _streaming_configuration(timeout_ms=10_000)
    await system.call_control("POST", "/-/Config.Replace", changed)
    await wait_until(
        lambda: all(
            any(
                route.streaming and route.timeout_s == 10
                for route in entry.context.configuration.settings.routes.values()
            )
            for entry in system.entries
        )
    )


async def test_a_stream_is_resumed_within_one_answer(platform_system):
    system = await platform_system()
    await system.call_control("POST", "/-/Config.Replace", _streaming_configuration())
    for engine in system.engines:
        engine.abort_at_event = 5
    status, body, headers = await system.call_entry(
        "POST", 0, "/safe/1", 12, X_Request_Id="r", X_Deadline_Ms="5000"
    )
    assert sum(len(engine.received_runs) for engine in system.engines) == 3
    assert (status, headers["X-Request-Id"]) == (200, "r")
    numbers = [
        int(line.partition(": ")[2])
        for line in body.decode().split("\n")
        if line.startswith("id")
    ]
    assert numbers == list(range(12))


async def test_an_interrupted_stream_that_is_not_resumable_fails(platform_system):
    system = await platform_system()
    changed = _streaming_configuration()
    changed["routes"][1]["resumable"] = False
    await system.call_control("POST", "/-/Config.Replace", changed)
    for engine in system.engines:
        engine.abort_at_event = 5
    with pytest.raises(Exception, match="payload|disconnected|closed"):
        await system.call_entry("POST", 0, "/safe/1", 12, X_Request_Id="r")
    assert sum(len(engine.received_runs) for engine in system.engines) == 1


async def test_a_caller_that_disconnects_cancels_the_run_at_the_engine(platform_system):
    system = await platform_system()
    await system.call_control("POST", "/-/Config.Replace", _streaming_configuration())
    pending_call = asyncio.create_task(
        system.call_entry("POST", 0, "/safe/1", 4000, X_Request_Id="r")
    )
    await wait_until(lambda: any(engine.running for engine in system.engines))
    pending_call.cancel()
    await wait_until(lambda: not any(engine.running for engine in system.engines))


def _numbers(body: bytes) -> list[int]:
    return [
        int(line.partition(": ")[2])
        for line in body.decode().split("\n")
        if line.startswith("id")
    ]


async def test_a_late_copy_of_an_answer_does_not_reach_the_next_caller(platform_system):
    system = await platform_system(entries=1)
    await system.call_entry("POST", 0, "/safe/0", 2, X_Request_Id="r0")
    # The entry goes on with the engine to which it has a connection.
    repeating = next(engine for engine in system.engines if engine.received_runs)
    repeating.sends_late_copies = True
    number = 0
    while repeating.copies_sent < 3:
        number += 1
        length = 2 + number % 5
        status, body, headers = await system.call_entry(
            "POST", 0, f"/safe/{number}", length, X_Request_Id=f"r{number}"
        )
        assert (status, headers["X-Request-Id"]) == (200, f"r{number}")
        assert _numbers(body) == list(range(length))


async def test_a_slow_stream_that_makes_progress_is_not_cut(platform_system):
    system = await platform_system(entries=1)
    await _stream_slowly(system)
    progress_s = system.entries[0].context.settings.progress_timeout_s
    for engine in system.engines:
        engine.event_interval_s = 0.6 * progress_s
    status, body, _ = await system.call_entry(
        "POST", 0, "/safe/1", 4, X_Request_Id="r", X_Deadline_Ms="9000"
    )
    assert (status, _numbers(body)) == (200, list(range(4)))
    assert sum(len(engine.received_runs) for engine in system.engines) == 1


async def test_a_stream_that_only_sends_a_byte_now_and_then_is_resumed(platform_system):
    system = await platform_system(entries=1)
    await _stream_slowly(system)
    for engine in system.engines:
        engine.trickle_at_event = 3
    async with asyncio.timeout(9):
        status, body, _ = await system.call_entry(
            "POST", 0, "/safe/1", 6, X_Request_Id="r", X_Deadline_Ms="9000"
        )
    assert (status, _numbers(body)) == (200, list(range(6)))
    assert sum(len(engine.received_runs) for engine in system.engines) > 1


async def test_an_item_whose_stream_only_sends_a_byte_now_and_then_is_resumed(
    platform_system,
):
    system = await platform_system(entries=1)
    for engine in system.engines:
        engine.trickle_at_event = 3
    await system.submit(0, "job", batch_job({"item": 6}))
    async with asyncio.timeout(9):
        (result,) = await system.read_all_results(0, "job")
    assert result["text"] == "\n".join(f"{number}.1" for number in range(6))


async def test_a_request_without_an_id_is_refused(platform_system):
    system = await platform_system()
    assert (await system.call_entry("GET", 0, "/safe/1"))[0] == 400


async def test_readiness_is_served_at_ready_listen(platform_system):
    system = await platform_system()
    url = f"http://{system.entries[0].context.settings.ready_listen}/-/ready"
    async with system.session.get(url) as response:
        assert response.status == 200
    system.entries[0].context.is_draining = True
    async with system.session.get(url) as response:
        assert response.status == 503


# Guards against pages of the entry that answer in place of a backend server.
async def test_paths_of_own_pages_belong_to_callers(platform_system):
    system = await platform_system(engines=1)
    changed = configuration(2)
    changed["routes"][1]["path_prefix"] = "/"
    await system.call_control("POST", "/-/Config.Replace", changed)
    settings = system.entries[0].context.settings
    for path in ("/metrics", "/healthz", "/-/ready"):
        status, _, _ = await system.call_entry(
            "POST", 0, path, 2, X_Request_Id=path, X_Deadline_Ms="2000"
        )
        assert status == 200
        async with system.session.get(
            f"http://{settings.listen}{path}", headers={"Host": HOST}
        ) as response:
            assert response.status == 400  # a request without an id
        async with system.session.get(
            f"http://{settings.ready_listen}{path}"
        ) as response:
            assert response.status == 200
    assert system.engines[0].received_targets == ["/metrics", "/healthz", "/-/ready"]


@pytest.mark.parametrize(
    ("status", "outcome", "sent_status"),
    [
        (503, Outcome.NOT_RUN, 503),
        (503, Outcome.UNKNOWN, 502),
        (422, Outcome.UNKNOWN, 502),
        (422, Outcome.NOT_RUN, 503),
        (504, Outcome.UNKNOWN, 504),
        (404, Outcome.NOT_RUN, 404),
    ],
)
def test_only_a_request_that_has_not_run_gets_a_not_run_status(
    status, outcome, sent_status
):
    refusal = Refusal(status, outcome, "reason", 0.25)
    response = PlatformDialect().refusal_response(refusal, "r")
    assert response.status == sent_status
    assert ("Retry-After" in response.headers) == (outcome is Outcome.NOT_RUN)


def test_malformed_load_reports_are_ignored():
    assert parse_in_flight({"X-Load-Report": "3,1,8"}) == 4
    assert parse_slowness({"X-Load-Report": "3,1,8,250"}) == 2.5
    for text in ("", "3", "a,b", "3,1,8"):
        assert parse_slowness({"X-Load-Report": text}) is None
    assert parse_in_flight({"X-Load-Report": "x,1"}) is None


@pytest.mark.parametrize("block", [b"data: x", b"id: a\ndata: x", b"\xff\xfe"])
def test_malformed_events_raise_value_error(block):
    with pytest.raises(ValueError):
        PlatformDialect().read_numbered_event(block)


def test_an_event_may_hold_a_version_and_several_data_lines():
    piece = PlatformDialect().read_numbered_event(
        b"x-weight-versions: 4\nid: 7\ndata: one\ndata: two"
    )
    assert (piece.number, piece.data, piece.version) == (7, "one\ntwo", 4)


async def test_the_target_of_a_stream_reaches_its_server_as_it_is(platform_system):
    system = await platform_system(engines=1)
    await system.call_control("POST", "/-/Config.Replace", _streaming_configuration())
    target = "/safe/nu%c3%b1ez/%2e%2e/%7E?a=%28b%29"
    host = system.entries[0].context.identity.http
    url = URL.build(scheme="http", authority=host, path=target, encoded=True)
    headers = {"Host": HOST, "X-Request-Id": "stream", "X-Deadline-Ms": "2000"}
    async with system.session.post(url, json=3, headers=headers) as response:
        assert response.status == 200
        await response.read()
    assert system.engines[0].received_targets == [target]
