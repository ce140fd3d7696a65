"""Orders to backend servers, given by the leader with a fencing number."""

from __future__ import annotations

from ..durable.machine import Machine
from ..durable.replica import Replica
from ..process.events import EventLog
from ..settings.control import ControlSettings


class OrderIssuer:
    """Brings backend servers to the released weight versions.

    Parameters
    ----------
    settings : ControlSettings
        Lifetime of orders.
    replica : Replica
        Tells whether this instance leads.
    machine : Machine
        The released versions and the announced backend servers.
    events : EventLog
        Gets each order and its end.
    """

    def __init__(
        self,
        settings: ControlSettings,
        replica: Replica,
        machine: Machine,
        events: EventLog,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._machine = machine
        self._events = events

    async def run(self) -> None:
        """Give orders for as long as this instance leads."""

    async def close(self) -> None:
        """Close connections."""
