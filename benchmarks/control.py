"""A stand-in for the control instances: their state machine without replication.

Every command commits after a fixed delay; elections and failures are not simulated.
"""

from __future__ import annotations

import asyncio

from pollenlb.clock import now
from pollenlb.connection.control_api import BatchWork, WorkView
from pollenlb.durable.commands import Proposal
from pollenlb.durable.state_machine import ControlStateMachine, encode_proposal
from pollenlb.durable.views import build_ledger_view, build_quarantine_view

COMMIT_DELAY_S = 0.008
VIEW_DELAY_S = 0.004


class FakeControl:
    """Applies commands to a real state machine and pushes views to the entries.

    Attributes
    ----------
    entries : list of EntryContext
        Entries that receive each new view of the ledger and the quarantine.
    batch_runners : dict
        Batch runners by boot, which receive the batch jobs assigned to them.
    """

    def __init__(self) -> None:
        self.state_machine = ControlStateMachine()
        self.entries: list = []
        self.batch_runners: dict = {}
        self._last_index = 0

    async def propose(self, command, command_id, deadline):
        """Apply a command after ``COMMIT_DELAY_S`` and return its result."""
        await asyncio.sleep(COMMIT_DELAY_S)
        self._last_index += 1
        proposal = Proposal(command_id, int(now() * 1000), command)
        result = self.state_machine.apply(self._last_index, encode_proposal(proposal))
        asyncio.get_running_loop().call_later(VIEW_DELAY_S, self._push_views)
        return result

    def _push_views(self) -> None:
        ledger = build_ledger_view(self.state_machine)
        quarantine = build_quarantine_view(self.state_machine)
        for entry in self.entries:
            entry.ledger = ledger
            entry.quarantine = quarantine
        for boot, runner in self.batch_runners.items():
            runner.apply(self._work_view(boot, runner))

    def _work_view(self, boot, runner) -> WorkView:
        owned = self.state_machine.state.batch_jobs.open_jobs_owned_by(boot)
        known_version = runner.context.batch_jobs_version
        added = [
            BatchWork(batch_job.spec, set(batch_job.listed), 0.0)
            for batch_job in owned
            if batch_job.spec.batch_job not in runner.batch_jobs
            or batch_job.changed_at > known_version
        ]
        return WorkView(
            self._last_index, [batch_job.spec.batch_job for batch_job in owned], added
        )
