"""Headers and paths of the platform's protocol."""

from __future__ import annotations

from collections.abc import Mapping

from ..connection.backend_api import ProbeAnswer
from ..durable.configuration_commands import Announcement, ServerState
from ..ids import BootId

REQUEST_ID = "X-Request-Id"
DEADLINE_MS = "X-Deadline-Ms"  # milliseconds left, not a moment
EXPECT_SERVER = "X-Expect-Instance"  # the platform's instance is a backend server
NOT_EXECUTED = "X-Not-Executed"
LOAD_REPORT = "X-Load-Report"  # running, waiting, slots and, at times, slowness
SERVER_ID = "X-Instance-Id"
WEIGHT_VERSION = "X-Weight-Versions"  # one number in spite of its name
LAST_EVENT_ID = "Last-Event-Id"
LENGTH_HINT = "X-Length-Hint"
WAIT_MS = "X-Wait-Ms"

READY_PATH = "/-/ready"
REPORT_PATH = "/-/report"
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

MISDIRECTED_STATUS = 421


def in_flight_of(headers: Mapping[str, str]) -> int | None:
    """Return the requests that a load report counts, or None without one."""
    parts = headers.get(LOAD_REPORT, "").split(",")
    try:
        running, waiting = int(parts[0]), int(parts[1])
    except (IndexError, ValueError):
        return None
    return running + waiting


def slowness_of(headers: Mapping[str, str]) -> float | None:
    """Return how many times longer than usual work takes, or None if not told."""
    parts = headers.get(LOAD_REPORT, "").split(",")
    try:
        return int(parts[3]) / 100  # 100 means as usual
    except (IndexError, ValueError):
        return None


def probe_answer(
    server: Announcement, status: int, headers: Mapping[str, str]
) -> ProbeAnswer | None:
    """Return what a health check tells; None when it tells not who answered."""
    answered = headers.get(SERVER_ID)
    if answered is None:
        return None
    boot = server.boot if answered == server.server else BootId(answered)
    state = ServerState.SERVING if status == 200 else ServerState.LEAVING
    return ProbeAnswer(boot, state, in_flight_of(headers) or 0)
