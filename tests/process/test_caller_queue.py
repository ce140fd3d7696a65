"""Turns of callers' requests at one entry."""

from __future__ import annotations

import asyncio
import random

import pytest

from pollenlb.clock import Deadline, deadline_in, now
from pollenlb.process.caller_queue import (
    CallerQueue,
    QueuedRequest,
    TurnRefusedError,
    wait_deadline,
)
from pollenlb.scheduling.fair_queue import Flow


class _Room:
    """Room at the servers that a test gives out."""

    def __init__(self) -> None:
        self.count = 0
        self.admitting = 0

    def take(self) -> int:
        count, self.count = self.count, 0
        return count


def _queue() -> tuple[CallerQueue, _Room]:
    room = _Room()
    return CallerQueue(random.Random(1), room.take, lambda: room.admitting), room


def _request(
    workspace: str, wait_s: float = 5.0, priority: int = 5, fingerprint: str = ""
) -> QueuedRequest:
    flow = Flow(priority, workspace)
    return QueuedRequest(flow, deadline_in(wait_s), fingerprint or workspace)


async def _serve(queue: CallerQueue, request: QueuedRequest, order: list) -> None:
    await queue.wait_for_turn(request)
    order.append(request)


async def _wait_all(queue: CallerQueue, room: _Room, requests: list) -> list:
    """Let requests wait without room, then give them turns; return their order."""
    order: list[QueuedRequest] = []
    tasks = [asyncio.create_task(_serve(queue, each, order)) for each in requests]
    await asyncio.sleep(0.03)
    assert not order
    while not all(task.done() for task in tasks):
        room.count += 1
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)
    return order


async def test_request_with_room_does_not_wait():
    """Guards against a delay of requests that could be sent at once."""
    queue, room = _queue()
    room.count = 2
    request = _request("a")
    await asyncio.wait_for(queue.wait_for_turn(request), 0.005)
    assert request.has_turn and not len(queue)


async def test_waiting_requests_are_served_by_priority_then_share():
    """Guards against a flood, or less urgent work, that is served before others."""
    queue, room = _queue()
    flood = [_request("many") for _ in range(10)]
    few, urgent = _request("few"), _request("urgent", priority=1)
    order = await _wait_all(queue, room, [*flood, few, urgent])
    assert order[0] is urgent
    assert few in order[1:3]


async def test_request_is_refused_when_its_wait_ends():
    """Guards against requests that are held until their deadline and then refused."""
    queue, _ = _queue()
    started_at = now()
    with pytest.raises(TurnRefusedError) as refusal:
        await queue.wait_for_turn(_request("a", wait_s=0.1))
    assert 0.05 < now() - started_at < 0.4
    assert refusal.value.retry_after_s > 0
    assert not len(queue)


async def test_request_that_cannot_be_served_in_time_is_refused_at_once():
    """Guards against waits that the measured rate shows to be in vain."""
    queue, room = _queue()
    first = [_request("a") for _ in range(6)]
    tasks = [asyncio.create_task(queue.wait_for_turn(each)) for each in first]
    for _ in first:
        await asyncio.sleep(0.05)
        room.count += 1
    await asyncio.gather(*tasks)
    # At one request in 50 ms, 4 s are needed for 80 more.
    late = [_request("a", wait_s=0.6) for _ in range(80)]
    tasks = [asyncio.create_task(queue.wait_for_turn(each)) for each in late]
    started_at = now()
    await asyncio.sleep(0.05)
    assert sum(task.done() for task in tasks) >= 40
    assert now() - started_at < 0.5
    results = await asyncio.gather(*tasks, return_exceptions=True)
    assert all(isinstance(result, TurnRefusedError) for result in results)


async def test_caller_that_comes_back_is_served_before_new_requests_of_its_share():
    """Guards against callers that wait as told and are overtaken."""
    queue, room = _queue()
    back = _request("a", wait_s=0.02, fingerprint="back")
    with pytest.raises(TurnRefusedError):
        await queue.wait_for_turn(back)
    new = [_request("a", fingerprint=f"new-{number}") for number in range(3)]
    again = _request("a", fingerprint="back")
    order = await _wait_all(queue, room, [*new, again])
    assert order[0] is again


async def test_request_is_offered_to_a_server_rather_than_refused():
    """Guards against refusals of requests that a server would queue."""
    queue, room = _queue()
    room.admitting = 1
    request = _request("a", wait_s=0.05)
    await asyncio.wait_for(queue.wait_for_turn(request), 1.0)
    assert request.has_turn


async def test_caller_that_disconnects_leaves_the_queue():
    """Guards against turns for callers that are gone."""
    queue, _ = _queue()
    task = asyncio.create_task(queue.wait_for_turn(_request("a")))
    await asyncio.sleep(0.02)
    assert len(queue) == 1
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert not len(queue)


async def test_request_that_a_full_server_refused_waits_for_another_turn():
    """Guards against requests that are sent again without regard to others."""
    queue, room = _queue()
    room.count += 1
    request = _request("a")
    await queue.wait_for_turn(request)
    queue.record_full_server(request)
    assert not request.has_turn
    await asyncio.sleep(0.02)
    room.count += 1
    await asyncio.wait_for(queue.wait_for_turn(request), 0.1)
    assert request.has_turn


def test_wait_is_a_quarter_of_the_target_and_ends_before_the_deadline():
    """Guards against a refusal too late for the caller to use the time left."""
    assert wait_deadline(10.0, 0.4, Deadline(40.0)) == pytest.approx(10.1)
    assert wait_deadline(10.0, 0.4, Deadline(10.05)) == 10.05
    assert wait_deadline(10.0, 0.0, Deadline(40.0)) == 11.0
    assert wait_deadline(10.0, 0.0, Deadline(12.0)) == 10.5
