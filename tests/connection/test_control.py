"""The client of the control instances finds the leader and records its search."""

from __future__ import annotations

import json

import msgspec
import pytest

from fakes.ports import free_ports
from pollenlb.connection.control import ControlConnection
from pollenlb.connection.control_api import (
    RENEW,
    CallStatus,
    RenewAnswer,
    RenewRequest,
)
from pollenlb.connection.packed_views import unpack_views
from pollenlb.connection.rpc import RpcChannel, RpcServer
from pollenlb.durable.leases import EntryInfo
from pollenlb.events import EVENT_FILE, EventLog
from pollenlb.ids import Address

from ..local_system import LocalSystem

_ENTRY = EntryInfo("entry", "boot", Address("127.0.0.1:1"), "north")
_REQUEST = RenewRequest(_ENTRY, -1, -1, -1, -1, -1, [], 0.0)
_TIMEOUT_S = 5.0


class _ControlInstance:
    """Answers renewals with a settable answer and counts them."""

    def __init__(self, events: EventLog) -> None:
        (port,) = free_ports(1)
        self.address = Address(f"127.0.0.1:{port}")
        self.answer = RenewAnswer(CallStatus.NOT_LEADER)
        self.asked_count = 0
        self.server = RpcServer(self.address, events)
        self.server.register(RENEW, self._renew)

    def leads(self) -> None:
        """Answer as the leader from now on."""
        self.answer = RenewAnswer(CallStatus.DONE, self.address, 1.0)

    def reports(self, leader: Address) -> None:
        """Answer from now on that another instance leads."""
        self.answer = RenewAnswer(CallStatus.NOT_LEADER, leader)

    async def _renew(self, request: RenewRequest) -> RenewAnswer:
        self.asked_count += 1
        return self.answer


@pytest.fixture
async def instances(tmp_path):
    """Return four control instances, none of which leads."""
    events = EventLog("control", tmp_path / "control")
    started = [_ControlInstance(events) for _ in range(4)]
    for instance in started:
        await instance.server.start()
    yield started
    for instance in started:
        await instance.server.stop(0)
    events.close()


@pytest.fixture
async def connection(instances, tmp_path):
    """Return a connection that knows all four instances, in their order."""
    events = EventLog("entry", tmp_path)
    opened = ControlConnection([instance.address for instance in instances], events)
    yield opened
    await opened.close()
    events.close()


async def _renew_until_answered(connection: ControlConnection, attempts: int) -> bool:
    for _ in range(attempts):
        if await connection.renew_lease(_REQUEST, _TIMEOUT_S) is not None:
            return True
    return False


async def test_search_for_the_leader_is_recorded(instances, connection, tmp_path):
    first, second, third, _ = instances
    second.reports(third.address)
    third.leads()
    assert await _renew_until_answered(connection, 3)
    lines = [
        json.loads(line) for line in (tmp_path / EVENT_FILE).read_text().splitlines()
    ]
    searched = [line for line in lines if line["message_type"] == "leader.not_found"]
    assert [
        (line["asked"], line["reported"], line["next"], line["attempts"])
        for line in searched
    ] == [
        (first.address, "", second.address, 1),
        (second.address, third.address, third.address, 2),
    ]
    (found,) = [line for line in lines if line["message_type"] == "leader.found"]
    assert (found["leader"], found["attempts"]) == (third.address, 2)


async def test_stale_references_to_a_deposed_leader_do_not_hide_the_new_one(
    instances, connection
):
    deposed, cut_off, leader, _ = instances
    cut_off.reports(deposed.address)
    leader.leads()
    assert await _renew_until_answered(connection, len(instances))
    assert (deposed.asked_count, cut_off.asked_count) == (2, 1)


async def test_two_instances_that_name_each_other_do_not_hide_the_leader(
    instances, connection
):
    first, second, third, leader = instances
    first.reports(third.address)
    third.reports(first.address)
    second.reports(first.address)
    leader.leads()
    assert await _renew_until_answered(connection, 2 * len(instances))


async def test_an_entry_of_an_earlier_release_gets_its_views_as_before(tmp_path):
    system = LocalSystem(tmp_path, entries=1, engines=1)
    await system.start()
    try:
        channel = RpcChannel(system.leader.replica.leader_address, EventLog("e", None))
        earlier = (await channel.call(RENEW, _REQUEST, _TIMEOUT_S)).unwrap()
        assert earlier.directory is not None and earlier.packed == {}
        request = msgspec.structs.replace(_REQUEST, accepts_packed=True)
        present = (await channel.call(RENEW, request, _TIMEOUT_S)).unwrap()
        assert present.directory is None
        assert unpack_views(present).directory == earlier.directory
        await channel.close()
    finally:
        await system.stop()
