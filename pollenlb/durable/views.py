"""Views of the replicated state that are sent to entry processes."""

from __future__ import annotations

from ..connection.control_api import (
    ConfigurationView,
    DirectoryView,
    JobView,
    LedgerView,
    LoadsView,
    PlannedLoad,
    QuarantineView,
)
from .batch_jobs import BatchJobTable
from .job import Job
from .state_machine import ControlStateMachine


def build_configuration_view(
    machine: ControlStateMachine, keeps_workspaces: bool = False
) -> ConfigurationView:
    """Return the configuration with its revision.

    Parameters
    ----------
    machine : ControlStateMachine
        Source of the configuration.
    keeps_workspaces : bool
        Whether to leave out the workspaces, whose keys are most of a large
        configuration.
    """
    table = machine.state.configuration
    if not keeps_workspaces:
        return ConfigurationView(table.revision, table.document)
    document = {
        name: value for name, value in table.document.items() if name != "workspaces"
    }
    return ConfigurationView(table.revision, document, keeps_workspaces=True)


def build_directory_view(machine: ControlStateMachine) -> DirectoryView:
    """Return the announced backend servers and the released weight versions."""
    directory = machine.state.directory
    return DirectoryView(
        machine.table_version("directory"),
        list(directory.servers.values()),
        dict(directory.releases),
    )


def build_ledger_view(machine: ControlStateMachine) -> LedgerView:
    """Return a summary of each rollout job."""
    jobs = machine.state.ledger.jobs
    batch_jobs = machine.state.batch_jobs
    return LedgerView(
        machine.table_version("ledger"),
        {name: _job_view(job, batch_jobs) for name, job in jobs.items()},
    )


def build_quarantine_view(machine: ControlStateMachine) -> QuarantineView:
    """Return the suspects and whether each of them is condemned."""
    suspects = machine.state.quarantine.suspects
    return QuarantineView(
        machine.table_version("quarantine"),
        {
            fingerprint: suspect.is_condemned
            for fingerprint, suspect in suspects.items()
        },
    )


def build_loads_view(machine: ControlStateMachine) -> LoadsView:
    """Return the weight versions that engines are about to load or are loading."""
    planned = machine.state.directory.planned_loads()
    return LoadsView(
        machine.table_version("loads"),
        {
            server: PlannedLoad(
                record.boot, record.model, record.version, record.fencing
            )
            for server, record in planned.items()
        },
        {
            server: model
            for assigned in machine.state.directory.assigned.values()
            for server, model in assigned.items()
        },
    )


def _job_view(job: Job, batch_jobs: BatchJobTable) -> JobView:
    step_jobs = [batch_jobs.batch_jobs[step.batch_job] for step in job.steps.values()]
    return JobView(
        settings=job.settings,
        trainer_version=job.trainer_version,
        open_samples=sum(
            len(batch_job.spec.items) - len(batch_job.listed) for batch_job in step_jobs
        ),
        oldest_step=min(job.steps, default=job.next_step),
        oldest_step_at_ms=min((step.at_ms for step in job.steps.values()), default=0),
        steps=len(job.steps),
        accepted=job.accepted,
        delivered=job.delivered,
        wasted=job.wasted,
    )
