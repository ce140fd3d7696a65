"""A control instance with many batch jobs, as a process whose memory is measured.

Run as ``python -m tests.durable.large_state FOLDER fill|restart [SECONDS]``; prints the
peak memory in MB. With the seconds, each snapshot takes so much longer.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from collections.abc import Iterable
from pathlib import Path

from pollenlb.clock import now
from pollenlb.connection.rpc import RpcServer
from pollenlb.durable.batch_job_commands import (
    BatchItem,
    BatchJobSpec,
    CommitItems,
    ItemResult,
    ItemState,
    SubmitBatchJob,
)
from pollenlb.durable.commands import Proposal
from pollenlb.durable.records import Member, Snapshot
from pollenlb.durable.replica import Replica, first_entries
from pollenlb.durable.state_machine import ControlStateMachine, encode_proposal
from pollenlb.durable.storage import Storage, first_hard_state
from pollenlb.events import EventLog
from pollenlb.ids import Address
from pollenlb.memory import peak_memory_mb
from pollenlb.settings.control import ControlSettings

# The batch jobs of the 150 s for which results are retained, on a scale day of
# kitami-roll-grown.
_JOB_COUNT = 176
_ITEMS_PER_JOB = 96
_BODY_BYTES = 600
_RESULT_BYTES = 4_000
# The log that is left at the restart is long enough for a snapshot then.
_SNAPSHOT_BYTES = {"fill": 12 * 1024 * 1024, "restart": 10_000}


async def _fill(replica: Replica) -> None:
    for number in range(_JOB_COUNT):
        items = [
            BatchItem(
                f"item-{number}-{position}",
                f"/path/{position}",
                {"X-Model": "model-1", "X-Token-Count": "540,400"},
                os.urandom(_BODY_BYTES),
            )
            for position in range(_ITEMS_PER_JOB)
        ]
        spec = BatchJobSpec(f"job-{number}", "engines", "host", items)
        results = [
            ItemResult(
                item.item, ItemState.COMPLETED, os.urandom(_RESULT_BYTES), [number]
            )
            for item in items
        ]
        await _execute(replica, SubmitBatchJob(spec, "boot"))
        await _execute(replica, CommitItems(spec.batch_job, results))


async def _execute(replica: Replica, command) -> None:
    await replica.propose(encode_proposal(Proposal(None, 1, command)))


class _SlowStorage(Storage):
    """Storage that takes longer to write a snapshot, and nothing else."""

    delay_s = 0.0

    async def write_snapshot(self, head: Snapshot, pieces: Iterable[bytes]) -> None:
        """Write a snapshot and wait."""
        await super().write_snapshot(head, self._slowly(pieces))

    def _slowly(self, pieces: Iterable[bytes]) -> Iterable[bytes]:
        yield from pieces
        time.sleep(self.delay_s)


async def main(folder: Path, phase: str, snapshot_delay_s: float = 0.0) -> float:
    """Run the instance until it leads, fill it at its first start, and stop it."""
    is_first = phase == "fill"
    address = Address("127.0.0.1:0")
    settings = ControlSettings.check(
        {
            "name": "one",
            "failure_domain": "here",
            "listen": "127.0.0.1:7411",
            "data_folder": str(folder),
            "election_timeout_s": 0.5,
            "snapshot_bytes": _SNAPSHOT_BYTES[phase],
            "members": {"one": {"address": "127.0.0.1:7411", "failure_domain": "d"}},
        }
    ).unwrap()
    storage = _SlowStorage(folder)
    storage.delay_s = snapshot_delay_s
    storage.open()
    if is_first:
        members = [Member("one-first", "one", address, True)]
        state = first_hard_state("one-first", "cluster")
        await storage.format(state, first_entries(members))
    machine = ControlStateMachine()
    events = EventLog("one", None)
    replica = Replica(settings, storage, machine, events)
    replica.offer(RpcServer(address, events))
    replica.start()
    deadline = now() + 30
    while replica.leadership is None or not replica.leadership.is_ready:
        assert now() < deadline, "no leader within 30 s"
        await asyncio.sleep(0.02)
    if is_first:
        await _fill(replica)
    while storage.log_bytes > _SNAPSHOT_BYTES[phase]:
        assert now() < deadline, "no snapshot within 30 s"
        await asyncio.sleep(0.02)
    jobs = machine.state.batch_jobs.batch_jobs.values()
    assert sum(len(job.results) for job in jobs) == _JOB_COUNT * _ITEMS_PER_JOB
    await replica.stop()
    return peak_memory_mb()


if __name__ == "__main__":
    delay_s = float(sys.argv[3]) if len(sys.argv) > 3 else 0.0
    print(asyncio.run(main(Path(sys.argv[1]), sys.argv[2], delay_s)))
