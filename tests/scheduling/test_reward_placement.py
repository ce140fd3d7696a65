"""Replays of the reward calls of a step: order, servers and slots for callers."""

from __future__ import annotations

import heapq

from pollenlb.scheduling.reward_placement import (
    ScorerCapacity,
    WaitingCall,
    place_reward_calls,
)

_SLOTS = 6
_CALL_S = 0.215
_LOOK_UP_S = 0.023


def _servers(count: int, used_slots: int = 0) -> list[ScorerCapacity]:
    return [
        ScorerCapacity(f"server-{number}", _SLOTS, used_slots)
        for number in range(count)
    ]


def test_calls_spread_over_servers_by_load_and_speed():
    servers = _servers(3)
    servers[0].slowness = 3.5
    servers[1].used_slots = 3
    placed = place_reward_calls([WaitingCall(key, 7.5, 1) for key in range(4)], servers)
    assert [server for _, server in placed] == ["server-2"] * 3 + ["server-1"]


def test_batch_job_with_the_earlier_due_time_comes_first():
    waiting = [WaitingCall("later", 9.0, 1), WaitingCall("earlier", 7.5, 8)]
    placed = place_reward_calls(waiting, _servers(1, used_slots=_SLOTS - 1))
    assert placed == [("earlier", "server-0")]


def test_group_that_lacks_the_fewest_results_comes_first():
    waiting = [WaitingCall(missing, 7.5, missing) for missing in (8, 2, 5)]
    placed = place_reward_calls(waiting, _servers(1, used_slots=_SLOTS - 2))
    assert [key for key, _ in placed] == [2, 5]


def test_call_avoids_a_server_while_another_is_free():
    waiting = [WaitingCall("call", 7.5, 1, frozenset({"server-0"}))]
    assert place_reward_calls(waiting, _servers(1)) == []
    assert place_reward_calls(waiting, _servers(2)) == [("call", "server-1")]


def test_a_limit_of_a_server_bounds_the_calls():
    servers = _servers(1)
    servers[0].allowed_starts = 2.5
    placed = place_reward_calls([WaitingCall(key, 7.5, 1) for key in range(6)], servers)
    assert len(placed) == 2


def test_a_burst_of_calls_completes_groups_early_and_leaves_slots_to_callers():
    """Seven groups of eight texts end at once; one slot in six is for look-ups."""
    servers = {server.server: server for server in _servers(2, used_slots=1)}
    missing = {group: 8 for group in range(7)}
    waiting = {(group, item): group for group in range(7) for item in range(8)}
    running: list[tuple[float, str, int]] = []
    completed_at: dict[int, float] = {}
    time_s = 0.0
    while waiting or running:
        calls = [
            WaitingCall(key, 7.5, missing[group]) for key, group in waiting.items()
        ]
        for key, server in place_reward_calls(calls, list(servers.values())):
            group = waiting.pop(key)
            heapq.heappush(running, (time_s + _CALL_S, server, group))
            assert servers[server].used_slots <= _SLOTS
        # A look-up that arrives now finds the slot that is reserved for it.
        in_use = [len([run for run in running if run[1] == name]) for name in servers]
        assert max(in_use) == _SLOTS - 1
        time_s, server, group = heapq.heappop(running)
        servers[server].used_slots -= 1
        missing[group] -= 1
        if not missing[group]:
            completed_at[group] = time_s
        if not waiting:
            break
    # The first group is complete after its own eight calls, not after all of them.
    assert min(completed_at.values()) <= _CALL_S + _LOOK_UP_S
