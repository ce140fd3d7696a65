"""Views of the replicated state that entries keep."""

from __future__ import annotations

from ..connection.control_api import (
    ConfigurationView,
    DirectoryView,
    JobView,
    LedgerView,
    QuarantineView,
)
from .batch_jobs import BatchJobTable
from .job import Job
from .state_machine import ControlStateMachine


def configuration_view(machine: ControlStateMachine) -> ConfigurationView:
    """Return the configuration with its revision."""
    table = machine.state.configuration
    return ConfigurationView(table.revision, table.document)


def directory_view(machine: ControlStateMachine) -> DirectoryView:
    """Return the announced backend servers."""
    directory = machine.state.directory
    return DirectoryView(
        machine.table_version("directory"),
        list(directory.servers.values()),
        dict(directory.releases),
    )


def ledger_view(machine: ControlStateMachine) -> LedgerView:
    """Return a summary of each job."""
    jobs = machine.state.ledger.jobs
    batch_jobs = machine.state.batch_jobs
    return LedgerView(
        machine.table_version("ledger"),
        {name: _job_view(job, batch_jobs) for name, job in jobs.items()},
    )


def quarantine_view(machine: ControlStateMachine) -> QuarantineView:
    """Return the suspects and which of them are refused."""
    suspects = machine.state.quarantine.suspects
    return QuarantineView(
        machine.table_version("quarantine"),
        {name: suspect.is_condemned for name, suspect in suspects.items()},
    )


def _job_view(job: Job, batch_jobs: BatchJobTable) -> JobView:
    steps = [batch_jobs.batch_jobs[each.batch_job] for each in job.steps.values()]
    return JobView(
        settings=job.settings,
        trainer_version=job.trainer_version,
        open_samples=sum(len(each.spec.items) - len(each.listed) for each in steps),
        oldest_step=min(job.steps, default=job.next_step),
        oldest_step_at_ms=min((step.at_ms for step in job.steps.values()), default=0),
        steps=len(job.steps),
        accepted=job.accepted,
        delivered=job.delivered,
        wasted=job.wasted,
    )
