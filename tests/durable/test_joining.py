"""A replica with an empty disk joins the log whatever other instances report."""

from __future__ import annotations

from collections.abc import Iterable

from pollenlb.connection.rpc import RpcServer
from pollenlb.durable.records import JOIN, JoinAnswer, JoinRequest
from pollenlb.durable.replica import Replica
from pollenlb.durable.storage import Storage
from pollenlb.events import EventLog
from pollenlb.ids import Address, ClusterId

from ..local_system import control_settings, wait_until


class _Instance:
    """Control instance that answers requests to join with a fixed answer."""

    def __init__(self, address: Address, answer: JoinAnswer) -> None:
        self.asked_count = 0
        self._answer = answer
        self.server = RpcServer(address, EventLog("instance", None))
        self.server.register(JOIN, self._join)

    async def _join(self, request: JoinRequest) -> JoinAnswer:
        self.asked_count += 1
        return self._answer


async def test_seeds_that_name_each_other_do_not_keep_a_replica_from_joining(tmp_path):
    settings, *seeds = control_settings(tmp_path, 5)
    first, second, leader, _ = [Address(seed.listen) for seed in seeds]
    instances = [
        _Instance(first, JoinAnswer(None, second)),
        _Instance(second, JoinAnswer(None, first)),
        _Instance(leader, JoinAnswer(ClusterId("cluster"), leader)),
    ]
    for instance in instances:
        await instance.server.start()
    storage = Storage(settings.data_folder)
    storage.open()
    replica = Replica(settings, storage, _NoState(), EventLog("joining", None))
    replica.start()
    try:
        await wait_until(lambda: storage.is_formatted, 5.0)
    finally:
        await replica.stop()
        for instance in instances:
            await instance.server.stop(0)
    assert [instance.asked_count for instance in instances[:2]] < [3, 3]


class _NoState:
    """State machine without state."""

    def apply(self, index: int, payload: bytes) -> None:
        """Do nothing."""

    def snapshot(self) -> list[bytes]:
        """Return an empty snapshot."""
        return []

    def restore(self, pieces: Iterable[bytes]) -> None:
        """Do nothing."""
