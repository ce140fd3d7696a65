"""Workspaces and priorities of the items that wait for engines."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from ..durable.batch_job_commands import BatchJobSpec
from ..ids import BatchJobId, WorkspaceName
from ..scheduling.fair_queue import Flow
from ..settings.cluster import DEFAULT_PRIORITY, ClusterSettings


def item_shares(
    specs: Mapping[BatchJobId, BatchJobSpec],
    running: Mapping[BatchJobId, int],
    settings: ClusterSettings,
) -> dict[BatchJobId, tuple[Flow, int]]:
    """Return the flow of each batch job and how many items of that flow run.

    Empty where callers need no keys of workspaces.

    Parameters
    ----------
    specs : mapping
        Specification by batch job.
    running : mapping
        Number of running items by batch job.
    settings : ClusterSettings
        Priorities and weights of the workspaces.
    """
    if not settings.requires_keys:
        return {}
    flows = {job: _flow(spec.workspace, settings) for job, spec in specs.items()}
    running_in_flow: Counter[Flow] = Counter()
    for job, count in running.items():
        running_in_flow[flows[job]] += count
    return {job: (flow, running_in_flow[flow]) for job, flow in flows.items()}


def _flow(workspace: WorkspaceName | None, settings: ClusterSettings) -> Flow:
    """Return the flow of a workspace; one that the configuration lost has defaults."""
    priority = DEFAULT_PRIORITY
    if workspace is None or workspace not in settings.workspaces:
        return Flow(priority, workspace or WorkspaceName(""))
    known = settings.workspaces[workspace]
    if known.priority is not None:
        priority = known.priority
    return Flow(priority, workspace, known.weight)
