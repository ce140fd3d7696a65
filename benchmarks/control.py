"""The replicated state without its log: a command takes a fixed time."""

from __future__ import annotations

import asyncio

from pollenlb.clock import now
from pollenlb.connection.control_api import BatchWork, WorkView
from pollenlb.durable.commands import Proposal
from pollenlb.durable.state_machine import ControlStateMachine, encode_proposal
from pollenlb.durable.views import ledger_view, quarantine_view

COMMAND_S = 0.008
VIEW_S = 0.004


class FakeControl:
    """Applies commands to the real tables and pushes views to the entries."""

    def __init__(self) -> None:
        self.machine = ControlStateMachine()
        self.entries: list = []
        self.runners: dict = {}
        self._index = 0

    async def propose(self, command, command_id, deadline):
        """Carry out a command after the time that a commit takes."""
        await asyncio.sleep(COMMAND_S)
        self._index += 1
        proposal = Proposal(command_id, int(now() * 1000), command)
        result = self.machine.apply(self._index, encode_proposal(proposal))
        asyncio.get_running_loop().call_later(VIEW_S, self._push)
        return result

    def _push(self) -> None:
        ledger = ledger_view(self.machine)
        quarantine = quarantine_view(self.machine)
        for entry in self.entries:
            entry.ledger = ledger
            entry.quarantine = quarantine
        for boot, runner in self.runners.items():
            runner.apply(self._work(boot, runner))

    def _work(self, boot, runner) -> WorkView:
        owned = self.machine.state.batch_jobs.open_jobs_owned_by(boot)
        seen = runner.context.work_version
        added = [
            BatchWork(each.spec, set(each.listed), 0.0)
            for each in owned
            if each.spec.batch_job not in runner.batch_jobs or each.changed_at > seen
        ]
        return WorkView(self._index, [each.spec.batch_job for each in owned], added)
