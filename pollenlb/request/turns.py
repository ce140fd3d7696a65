"""How a caller's request takes part in the queue of its service."""

from __future__ import annotations

from ..ids import WorkspaceName
from ..process.caller_queue import QueuedRequest, wait_deadline
from ..process.context import EntryContext
from ..scheduling.fair_queue import Flow
from .caller_request import CallerRequest, RequestClass


def queue_request(caller: CallerRequest, context: EntryContext) -> QueuedRequest | None:
    """Return a caller's request as its queue sees it.

    None where callers need no keys of workspaces, and for long requests, which wait
    for the slots that are kept for them.
    """
    settings = context.configuration.settings
    if not settings.requires_keys or caller.request_class is RequestClass.LONG:
        return None
    weight = 1.0
    if caller.workspace in settings.workspaces:
        weight = settings.workspaces[caller.workspace].weight
    workspace = caller.workspace or WorkspaceName("")
    return QueuedRequest(
        flow=Flow(caller.priority, workspace, weight),
        waits_until=wait_deadline(
            caller.received_at, caller.route.target_latency_s, caller.deadline
        ),
        fingerprint=caller.fingerprint,
    )
