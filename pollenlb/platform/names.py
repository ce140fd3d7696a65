"""Headers and paths of the platform's protocol, and parsers of its headers.

The platform's instance is a backend server, but a control instance in the paths
of ``Retire``; its lot is a batch job, its order a change of weights.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import aiohttp

from ..connection.backend_api import ProbeAnswer
from ..connection.sessions import close_connection
from ..durable.configuration_commands import Announcement, ServerState
from ..external_data import parse_count
from ..ids import BootId

REQUEST_ID_HEADER = "X-Request-Id"
DEADLINE_MS_HEADER = "X-Deadline-Ms"  # milliseconds that remain, not a point in time
EXPECTED_SERVER_HEADER = "X-Expect-Instance"  # backend server that is to answer
NOT_EXECUTED_HEADER = "X-Not-Executed"  # present when the request did not run
# Comma-separated: running requests, waiting requests, slots and optionally slowness
# in percent.
LOAD_REPORT_HEADER = "X-Load-Report"
SERVER_ID_HEADER = "X-Instance-Id"  # backend server that answered
SERVER_PROOF_HEADER = "X-Server-Stamp"  # proof that a server gave the answer
WEIGHT_VERSION_HEADER = "X-Weight-Versions"  # a single number, despite the plural
SERVER_LEAVING_HEADER = "Server-Leaving"  # 1 in all answers of a server that leaves
SERVER_LIMIT_HEADER = "Server-Limit"  # requests a second from all entries together
LAST_EVENT_ID_HEADER = "Last-Event-Id"
AUTHORIZATION_HEADER = "Authorization"  # Token KEY
KEY_SCHEME = "Token"
WORKSPACE_HEADER = "X-Tenant"  # workspace of the caller, for backend servers
RESUMES_HEADER = "Resumes"  # request that brought the first event of the stream
LENGTH_HINT_HEADER = "X-Length-Hint"  # expected output tokens
WAIT_MS_HEADER = "X-Wait-Ms"  # milliseconds to wait for new results

READY_PATH = "/-/ready"
REPORT_PATH = "/-/report"
HOLDER_HEADER = "X-Lease-Holder"
FENCING_HEADER = "X-Fencing-Token"
USAGE_PATH = "/usage"
SCALE_PATH = "/scale"
ORDER_PATH = "/-/order"
BATCH_JOB_PATH = "/-/lots/{batch_job}"
ITEM_PATH = "/-/items/{batch_job}"
HEARTBEAT_PATH = "/-/Instances.Heartbeat/{server}"
DEREGISTER_PATH = "/-/Instances.Deregister/{server}"
REPLACE_CONFIGURATION_PATH = "/-/Config.Replace"
READ_CONFIGURATION_PATH = "/-/Config.Read"
RETIRE_PATH = "/-/Retire.Begin/{instance}"
RETIREMENT_PATH = "/-/Retire.Read/{instance}"
VERSION_PATH = "/-/version-put"

MISDIRECTED_STATUS = 421  # the expected server is not the one that answers


def _read_load_report(headers: Mapping[str, str]) -> list[int | None]:
    report = headers.get(LOAD_REPORT_HEADER, "")
    return [parse_count(figure) for figure in report.split(",")]


def parse_in_flight(headers: Mapping[str, str]) -> int | None:
    """Return the number of running and waiting requests at a backend server.

    Parameters
    ----------
    headers : Mapping
        Headers of an answer of the backend server.

    Returns
    -------
    int or None
        None when the load report is missing or malformed.
    """
    figures = _read_load_report(headers)
    if len(figures) < 2 or figures[0] is None or figures[1] is None:
        return None
    return figures[0] + figures[1]


def parse_slowness(headers: Mapping[str, str]) -> float | None:
    """Return how many times longer than usual work takes at a backend server.

    Parameters
    ----------
    headers : Mapping
        Headers of an answer of the backend server.

    Returns
    -------
    float or None
        1.0 at the usual speed; None when the load report is missing, malformed
        or without slowness.
    """
    figures = _read_load_report(headers)
    if len(figures) < 4 or figures[3] is None:
        return None
    return figures[3] / 100  # 100 is the usual duration


def parse_request_limit(headers: Mapping[str, str]) -> float | None:
    """Return the requests a second that a backend server takes from all entries.

    Parameters
    ----------
    headers : Mapping
        Headers of an answer of the backend server.

    Returns
    -------
    float or None
        None when the server names no limit, or one that is negative or not finite.
    """
    try:
        limit_per_s = float(headers.get(SERVER_LIMIT_HEADER, ""))
    except ValueError:
        return None
    return limit_per_s if 0 <= limit_per_s < math.inf else None


def close_answer_of_request(response: aiohttp.ClientResponse) -> bool:
    """Return whether an answer to a call without a request id names a request.

    Such an answer came late, in front of that to the call; its connection is closed.
    """
    if not response.headers.get(REQUEST_ID_HEADER):
        return False
    close_connection(response)
    return True


def parse_probe_answer(
    server: Announcement, status: int, headers: Mapping[str, str]
) -> ProbeAnswer | None:
    """Return the answer to a health check.

    Parameters
    ----------
    server : Announcement
        Backend server that was asked.
    status : int
        HTTP status of the answer; any but 200 means that the server leaves.
    headers : Mapping
        Headers of the answer.

    Returns
    -------
    ProbeAnswer or None
        None when the answer does not name the server that gave it. If another
        server gave it, the boot id is that server's id, so that it differs from
        the boot id of the server that was asked.
    """
    answering_server = headers.get(SERVER_ID_HEADER)
    if answering_server is None:
        return None
    boot = (
        server.boot if answering_server == server.server else BootId(answering_server)
    )
    state = ServerState.SERVING if status == 200 else ServerState.LEAVING
    return ProbeAnswer(boot, state, parse_in_flight(headers) or 0)
