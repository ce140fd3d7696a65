"""Which workspace a caller belongs to, by the key that its request carries."""

from __future__ import annotations

from aiohttp import web

from ..ids import BatchJobId, RequestKey, WorkspaceName
from ..process.context import EntryContext
from .outcome import RefusedError, bad_request, unavailable

# A key that this entry does not know may be new; the lease comes back in less time.
_UNKNOWN_KEY_RETRY_AFTER_S = 0.5


def identify_workspace(
    request: web.Request, is_public: bool, context: EntryContext
) -> WorkspaceName | None:
    """Return the workspace of the key that a request carries.

    Parameters
    ----------
    request : web.Request
        The caller's request; its body is not read.
    is_public : bool
        Whether the request needs no key.
    context : EntryContext
        Parts of the entry process.

    Returns
    -------
    WorkspaceName or None
        None where callers need no key, and for a public request without a known key.

    Raises
    ------
    RefusedError
        With status 401, when the key is missing or unknown. With 503 instead, when
        the lease on the configuration has expired: a newer configuration, which this
        entry has missed, may have the key.
    """
    settings = context.configuration.settings
    if not settings.requires_keys:
        return None
    key = context.dialect.read_key(request)
    workspace = settings.workspace_for(key) if key is not None else None
    if workspace is not None or is_public:
        return workspace
    raise _unknown_key_error(key, context)


def scope_batch_job(
    name: BatchJobId, workspace: WorkspaceName | None, context: EntryContext
) -> BatchJobId:
    """Return the id under which a batch job of a workspace is stored.

    Workspaces have ids of their own, so that none can read, end or hold the batch job
    of another. Names of workspaces contain no slash.
    """
    if not context.configuration.settings.requires_keys:
        return name
    return BatchJobId(f"{workspace or ''}/{name}")


def scope_key(
    key: RequestKey | None, workspace: WorkspaceName | None, context: EntryContext
) -> RequestKey | None:
    """Return the idempotency key under which a request of a workspace is recorded.

    A key with a slash that a caller without a workspace chose must not be one of a
    workspace. Other keys of such callers stay as they are.
    """
    if key is None or not context.configuration.settings.requires_keys:
        return key
    if workspace is None and "/" not in key:
        return key
    return RequestKey(f"{workspace or ''}/{key}")


def _unknown_key_error(key: str | None, context: EntryContext) -> RefusedError:
    if key is None:
        reason, label = "the request has no key of a workspace", "missing"
    else:
        reason, label = "the request's key belongs to no workspace", "unknown"
    if key is not None and not context.configuration.is_leased:
        context.metrics.refused_keys.labels("in_doubt").inc()
        return unavailable(
            "this instance may not have the newest configuration and its keys",
            _UNKNOWN_KEY_RETRY_AFTER_S,
        )
    context.metrics.refused_keys.labels(label).inc()
    return bad_request(reason, "Authorization", 401)
