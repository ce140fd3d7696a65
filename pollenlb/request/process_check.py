"""Makes sure that a backend server has the software version that it announced."""

from __future__ import annotations

from ..clock import now
from ..connection.backend import BackendServer
from ..connection.backend_api import ProcessCheck
from ..process.context import EntryContext
from .attempt import AttemptFailure
from .outcome import Outcome

_TIMEOUT_S = 0.5
# An answer on an idle connection takes a few milliseconds, unless the connection is
# dead.
_IDLE_TIMEOUT_S = 0.2


async def check_process(
    server: BackendServer, must_be_certain: bool, context: EntryContext
) -> AttemptFailure | None:
    """Return a failure if a backend server may not run the announced process.

    A server that starts again under its name may have other software. Until its
    announcement has reached this entry, output of its former version must not be
    continued there, and output that it begins must not be taken for that version's.

    Parameters
    ----------
    server : BackendServer
        Server that is about to run a request whose output can be continued.
    must_be_certain : bool
        Whether it is to continue output, or to begin a stream whose origin others
        rely on. Then it is asked unless it was a moment ago; otherwise only after a
        request to it has failed.
    context : EntryContext
        Parts of the entry process.
    """
    if server.is_process_confirmed:
        return None
    if not must_be_certain and not server.is_process_in_doubt:
        return None
    asked_at = now()
    boot = server.boot
    check = await _ask(server, context)
    if check is ProcessCheck.SILENT:
        server.record_no_contact(asked_at)
    else:
        server.record_contact()
    if check in (ProcessCheck.SAME, ProcessCheck.UNKNOWN):
        server.record_confirmation(asked_at)
        return None
    context.events.record("server.not_confirmed", server=server.name, check=check.value)
    if check is ProcessCheck.LEAVING:
        server.record_leaving(boot)
        reason = f"{server.name} is leaving"
        return AttemptFailure(Outcome.NOT_RUN, reason)
    if check is ProcessCheck.OTHER:
        reason = f"{server.name} runs another process than it announced"
        return AttemptFailure(Outcome.NOT_RUN, reason, is_other_server=True)
    reason = f"{server.name} did not confirm its process within {_TIMEOUT_S:g} s"
    return AttemptFailure(Outcome.NOT_RUN, reason, is_connection_lost=True)


async def ask_for_contact(
    server: BackendServer, context: EntryContext, timeout_s: float
) -> ProcessCheck:
    """Return what a server answers over a new connection; any answer is contact.

    Parameters
    ----------
    server : BackendServer
        The server to ask.
    context : EntryContext
        Parts of the entry process.
    timeout_s : float
        Timeout in seconds.
    """
    asked_at = now()
    server.request_limit.spend()
    check = await context.dialect.check_process(
        context.after_timeout_session, server.announcement, timeout_s
    )
    if check is ProcessCheck.SILENT:
        server.record_no_contact(asked_at)
    else:
        server.record_contact()
    return check


async def _ask(server: BackendServer, context: EntryContext) -> ProcessCheck:
    """Ask a server for its process, on an idle connection if there is one.

    A connection ends with its process, so that an answer on an older one tells the
    same. The connection may be dead instead, which a new one decides.
    """
    announcement, dialect = server.announcement, context.dialect
    if not server.idle_connections:
        return await dialect.check_process(context.session, announcement, _TIMEOUT_S)
    check = await dialect.check_process(context.session, announcement, _IDLE_TIMEOUT_S)
    if check is not ProcessCheck.SILENT:
        return check
    return await dialect.check_process(
        context.after_timeout_session, announcement, _TIMEOUT_S - _IDLE_TIMEOUT_S
    )
