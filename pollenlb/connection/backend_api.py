"""Messages between entries and backend servers, in JSON over HTTP."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec

from ..durable.configuration_commands import ServerState
from ..external_data import COUNT_BOUNDS, Count, json_decoder
from ..ids import BootId, WeightVersion

PROBE_PATH = "/pollenlb/probe"
ORDER_PATH = "/pollenlb/order"
REQUEST_ID_HEADER = "Pollenlb-Request-Id"
BOOT_HEADER = "Pollenlb-Boot"
OUTCOME_HEADER = "Pollenlb-Outcome"
TIMEOUT_MS_HEADER = "Pollenlb-Timeout-Ms"
# Workspace of the caller.
WORKSPACE_HEADER = "Pollenlb-Workspace"
IN_FLIGHT_HEADER = "Pollenlb-In-Flight"
# Between entries only: attempts that a relayed request has left, of which earlier ones
# may have run, and that an entry itself cannot take a relayed request.
ATTEMPTS_LEFT_HEADER = "Pollenlb-Attempts-Left"
RELAY_REFUSED_HEADER = "Pollenlb-Relay-Refused"
# Revision of the configuration under which the relaying entry handles requests.
REVISION_HEADER = "Pollenlb-Revision"


class ProbeAnswer(msgspec.Struct, frozen=True):
    """Answer of a backend server to a probe.

    Attributes
    ----------
    boot : BootId
        Boot id of the process that answers.
    state : ServerState
        Whether the backend server is serving or leaving.
    in_flight : int
        Number of requests that it runs or queues.
    version : WeightVersion or None
        Weight version that it serves; None while it has no complete one, and
        for plain services.
    """

    boot: BootId
    state: ServerState
    in_flight: Count
    version: Annotated[WeightVersion, COUNT_BOUNDS] | None = None


decode_probe = json_decoder(ProbeAnswer)


class ProcessCheck(Enum):
    """Whether the process that was announced still runs at a backend server.

    Attributes
    ----------
    SAME
        It says so.
    OTHER
        Another process runs there.
    LEAVING
        It says that it takes no new work.
    SILENT
        No answer came in time.
    UNKNOWN
        The backend server does not tell.
    """

    SAME = "same"
    OTHER = "other"
    LEAVING = "leaving"
    SILENT = "silent"
    UNKNOWN = "unknown"
