"""Properties of server choice, admission, long slots, retry budget and hedge delay."""

from __future__ import annotations

import json
import random
from contextlib import ExitStack
from pathlib import Path

import pytest
from hypothesis import given, strategies as st

from pollenlb import clock
from pollenlb.connection.backend import BackendServer
from pollenlb.connection.request_limit import LimitShares
from pollenlb.durable.configuration_commands import Announcement, ServerState
from pollenlb.events import EventLog
from pollenlb.process.latencies import RecentLatencies
from pollenlb.scheduling.admission import admissible_servers
from pollenlb.scheduling.budget import RetryBudget
from pollenlb.scheduling.choice import choose_server, is_slow, typical_latency_s
from pollenlb.scheduling.long_slots import allocate_long_slots
from pollenlb.settings.entry import EntrySettings

_TRACES = Path(__file__).parent / "traces"


def _settings(entry: str) -> EntrySettings:
    return EntrySettings.check(
        {
            "name": entry,
            "failure_domain": "here",
            "listen": "127.0.0.1:1",
            "control": ["127.0.0.1:3"],
            "data_folder": "unused",
        }
    ).unwrap()


_SETTINGS = _settings("entry")


@pytest.fixture
def time_s():
    """Replace the clock; yield a one-item list with its time in seconds."""
    value = [0.0]
    clock.set_time_source(lambda: value[0])
    yield value
    clock.set_time_source(None)


def _announcement(name: str, slots: int = 4) -> Announcement:
    return Announcement(name, "shop", "127.0.0.1:9", "here", f"boot-{name}", slots)


async def _no_answer(session, announcement, timeout_s) -> None:
    return None


def _server(name: str, slots: int = 4, entry: str = "entry") -> BackendServer:
    return BackendServer(
        _announcement(name, slots),
        _settings(entry),
        None,
        EventLog("test", None),
        _no_answer,
        LimitShares(),
        lambda announcement: None,
    )


@given(
    latencies=st.lists(st.floats(0.001, 1.0), min_size=1, max_size=8),
    seed=st.integers(0, 1000),
)
def test_slow_server_is_chosen_only_when_all_are_slow(latencies, seed):
    servers = []
    for number, latency_s in enumerate(latencies):
        server = _server(f"s{number}")
        server.load.record_latency(latency_s)
        servers.append(server)
    chosen = choose_server(servers, random.Random(seed))
    typical_s = typical_latency_s(servers)
    steady = [server for server in servers if not is_slow(server, typical_s)]
    assert chosen in (steady or servers)
    assert steady


@given(
    counts=st.lists(st.integers(0, 30), min_size=1, max_size=6),
    reports=st.lists(st.integers(0, 30), min_size=6, max_size=6),
    entries=st.integers(1, 400),
)
def test_admission_limits_one_entry_to_its_share(counts, reports, entries):
    servers = [_server(f"s{number}") for number in range(len(counts))]
    with ExitStack() as stack:
        for server, count, report in zip(servers, counts, reports):
            server.load.record_reported_in_flight(report)
            for _ in range(count):
                stack.enter_context(server.load.track_request(False))
        for server in admissible_servers(servers, entries, clock.deadline_in(10)):
            share = max(3, -(-2 * server.load.slots // entries))
            assert server.load.in_flight < 4 * share
            if server.load.in_flight_per_slot >= 1:
                assert server.load.in_flight < share


@given(
    slots=st.lists(st.integers(1, 64), min_size=1, max_size=12),
    entries=st.integers(1, 40),
    share=st.floats(0, 1),
)
def test_long_slots_of_all_entries_add_up_to_the_share(slots, entries, share):
    servers = [
        _announcement(f"s{number:02}", count) for number, count in enumerate(slots)
    ]
    boots = [f"boot-{number}" for number in range(entries)]
    allocations = [
        allocate_long_slots(servers, list(reversed(boots)), boot, share)
        for boot in boots
    ]
    for server in servers:
        total = sum(allocation.get(server.server, 0) for allocation in allocations)
        assert total == max(1, int(server.slots * share))
    sums = [sum(allocation.values()) for allocation in allocations]
    assert max(sums) - min(sums) <= 1


@given(st.lists(st.booleans(), max_size=300), st.floats(0, 1))
def test_retries_never_exceed_the_budget(events, share):
    budget = RetryBudget()
    requests = spent = 0
    for is_request in events:
        if is_request:
            budget.add_request(share)
            requests += 1
        else:
            spent += budget.try_spend()
        assert spent <= 10 + share * requests + 1e-6


@given(st.lists(st.floats(0, 100), min_size=20, max_size=256))
def test_hedge_delay_lies_within_the_recent_latencies(values):
    recent = RecentLatencies(0.95)
    for value in values:
        recent.add(value)
    assert recent.quantile_s is not None
    assert min(values) <= recent.quantile_s <= max(values)


@given(leaving=st.booleans(), silent_s=st.floats(0, 10))
def test_leaving_or_silent_server_is_not_usable(leaving, silent_s):
    value = [100.0]
    clock.set_time_source(lambda: value[0])
    try:
        server = _server("s")
        server.record_answer(0.01)
        if leaving:
            serving = _announcement("s")
            server.update(
                Announcement(**{**_fields(serving), "state": ServerState.LEAVING})
            )
        value[0] += silent_s
        is_recent = silent_s < _SETTINGS.usable_s
        assert server.is_usable == (is_recent and not leaving)
    finally:
        clock.set_time_source(None)


def _fields(announcement: Announcement) -> dict:
    return {
        name: getattr(announcement, name) for name in Announcement.__struct_fields__
    }


@pytest.mark.parametrize("path", sorted(_TRACES.glob("*.json")), ids=lambda p: p.stem)
def test_recorded_trace_gives_the_expected_choices(path, time_s):
    """Replays latencies, lost hedges and requests in flight against the choice.

    Guards against servers in a slow period being chosen, and against slow
    servers never being tried again.
    """
    trace = json.loads(path.read_text())
    choices = [_replay(trace, f"entry-{number}", time_s) for number in range(60)]
    expected = [event for event in trace["events"] if "chosen_among" in event]
    assert len(expected) == len(choices[0])
    for event, chosen in zip(expected, zip(*choices)):
        assert set(chosen) == set(event["chosen_among"]), event


def _replay(trace: dict, entry: str, time_s: list[float]) -> list[str]:
    """Return the servers that an entry chooses in the course of a trace."""
    servers = {name: _server(name, entry=entry) for name in trace["servers"]}
    running: dict = {}
    choices = []
    for event in trace["events"]:
        time_s[0] = event["at"]
        if "answer" in event:
            servers[event["answer"]].load.record_latency(event["latency"])
        elif "lost_race" in event:
            servers[event["lost_race"]].load.record_cancelled_attempt(event["latency"])
        elif "start" in event:
            name = event["start"]
            running[name] = servers[name].load.track_request(False)
            running[name].__enter__()
        elif "finish" in event:
            running.pop(event["finish"]).__exit__(None, None, None)
        else:
            choices.append(choose_server(list(servers.values()), random.Random(1)).name)
    return choices


class _Connected(BackendServer):
    """Backend server with a number of idle connections set by the test."""

    idle_connections = 0


def _connected_server(name: str, slots: int = 8, idle: int = 0) -> _Connected:
    server = _Connected(
        _announcement(name, slots),
        _SETTINGS,
        None,
        EventLog("test", None),
        _no_answer,
        LimitShares(),
        lambda announcement: None,
    )
    server.idle_connections = idle
    return server


def _choose(servers) -> str:
    """Return the server that is chosen for most requests."""
    rng = random.Random(1)
    names = [choose_server(servers, rng).name for _ in range(100)]
    return max(set(names), key=names.count)


# Guards against a new connection for each request of an entry with few requests.
def test_server_with_an_idle_connection_is_preferred(time_s):
    servers = [_connected_server(f"s{number}") for number in range(3)]
    for server in servers:
        server.idle_connections = 1
        assert _choose(servers) == server.name
        server.idle_connections = 0


def test_an_entry_chooses_the_same_server_without_a_connection(time_s):
    servers = [_connected_server(f"s{number}") for number in range(20)]
    assert len({_choose(random.sample(servers, 20)) for _ in range(20)}) == 1


# Guards against entries that all prefer the same servers.
@pytest.mark.parametrize("count", [2, 3, 12, 22])
def test_entries_spread_over_the_servers(count, time_s):
    chosen = []
    for number in range(20 * count):
        entry = f"entry-{number}"
        chosen.append(_choose([_server(f"s{each}", 8, entry) for each in range(count)]))
    shares = [chosen.count(f"s{each}") for each in range(count)]
    assert sum(shares) == 20 * count
    assert min(shares) > 6 and max(shares) < 40


# Guards against callers that wait at a preferred server while another one is free.
@pytest.mark.parametrize("reported", [6, 8, 30])
def test_server_that_is_nearly_full_loses_its_preference(reported, time_s):
    server, other = _connected_server("s0", idle=2), _connected_server("s1")
    assert _choose([server, other]) == "s0"
    server.load.record_reported_in_flight(reported)
    assert _choose([server, other]) == "s1"
    time_s[0] += 5  # the report is no longer current
    assert _choose([server, other]) == "s0"


def test_slow_server_loses_its_preference_and_gets_it_back(time_s):
    servers = [_connected_server(f"s{number}") for number in range(3)]
    servers[0].idle_connections = 1
    for server in servers:
        server.load.record_latency(0.02)
    servers[0].load.record_cancelled_attempt(0.3)
    assert _choose(servers) != "s0"
    time_s[0] += 20
    assert _choose(servers) == "s0"


def test_own_requests_in_flight_outweigh_an_idle_connection(time_s):
    server, other = _connected_server("s0", idle=1), _connected_server("s1")
    with ExitStack() as stack:
        stack.enter_context(server.load.track_request(False))
        assert _choose([server, other]) == "s0"
        stack.enter_context(server.load.track_request(False))
        assert {_choose([server, other]) for _ in range(20)} == {"s1"}


# Guards against a queue at the preferred servers while others have free slots.
def test_preferred_servers_are_widened_while_they_are_full(time_s):
    servers = [_connected_server(f"s{number}", slots=2) for number in range(6)]
    with ExitStack() as stack:
        for _ in range(12):
            chosen = choose_server(servers, random.Random(1))
            stack.enter_context(chosen.load.track_request(False))
        assert [server.load.in_flight for server in servers] == [2] * 6
