"""An entry's connection to the control instances."""

from __future__ import annotations

import asyncio
from typing import TypeVar

from result import Err, Ok

from ..clock import Deadline, deadline_in, remaining, sleep_until
from ..durable.commands import AnyCommand, AnyResult
from ..events import EventLog
from ..exceptions import CommandInDoubtError, ControlError
from ..ids import Address, CommandId
from .control_api import (
    PROPOSE,
    READ_BATCH_JOB,
    READ_CONFIGURATION,
    READ_ITEM,
    RENEW,
    RETIRE,
    STATUS,
    BatchJobRead,
    CallStatus,
    ConfigurationRead,
    ItemRead,
    ProposeRequest,
    ReadBatchJob,
    ReadConfiguration,
    ReadItem,
    RenewAnswer,
    RenewRequest,
    RetireAnswer,
    RetireRequest,
    StatusAnswer,
    StatusRequest,
)
from .rpc import Method, RpcChannel

Q = TypeVar("Q")
A = TypeVar("A", BatchJobRead, ItemRead, ConfigurationRead, RetireAnswer)

_ATTEMPT_TIMEOUT_S = 1.0
_READ_TIMEOUT_S = 0.6
_PAUSE_S = 0.05


class ControlConnection:
    """Finds the leader and sends it commands.

    Parameters
    ----------
    addresses : list of Address
        The control instances.
    events : EventLog
        Gives and takes the timestamps that travel with calls.
    """

    def __init__(self, addresses: list[Address], events: EventLog) -> None:
        self._events = events
        self._channels = {each: RpcChannel(each, events) for each in addresses}
        self._preferred = addresses[0]

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            await channel.close()

    async def propose(
        self, command: AnyCommand, command_id: CommandId | None, deadline: Deadline
    ) -> AnyResult:
        """Carry out a command and return its result.

        A command is sent again only if a repeat does no harm: it has a
        command id, or it was certainly not carried out.

        Parameters
        ----------
        command : Command
            What to do.
        command_id : CommandId or None
            Names the command over resends.
        deadline : Deadline
            When to give up.

        Raises
        ------
        CommandInDoubtError
            The command was sent; whether it takes effect is not known.
        ControlError
            The command was not carried out.
        """
        request = ProposeRequest(command_id, command)
        is_in_doubt = False
        while remaining(deadline):
            timeout_s = remaining(deadline)
            if command_id is not None and not is_in_doubt:
                timeout_s = min(timeout_s, max(_ATTEMPT_TIMEOUT_S, timeout_s / 2))
            channel = self._channel()
            match await channel.call(PROPOSE, request, timeout_s):
                case Ok(answer) if answer.status is CallStatus.DONE:
                    assert answer.result is not None
                    return answer.result
                case Ok(answer) if answer.status is CallStatus.NOT_LEADER:
                    self._prefer(answer.leader, channel.address)
                case Ok(_):
                    is_in_doubt = True
                case Err(failed):
                    is_in_doubt = is_in_doubt or not _is_unsent(failed.reason)
                    self._prefer(Address(""), channel.address)
            if is_in_doubt and command_id is None:
                break
            await sleep_until(deadline_in(min(_PAUSE_S, remaining(deadline))))
        if is_in_doubt:
            raise CommandInDoubtError("the command may or may not have taken effect")
        raise ControlError("no control instance could carry out the command in time")

    async def read_batch_job(
        self, request: ReadBatchJob, deadline: Deadline
    ) -> BatchJobRead:
        """Return results of a batch job.

        Raises
        ------
        ControlError
            When the leader was not reached in time.
        """
        return await self._ask_leader(READ_BATCH_JOB, request, request.wait_s, deadline)

    async def read_item(self, request: ReadItem, deadline: Deadline) -> ItemRead:
        """Return the body of an item.

        Raises
        ------
        ControlError
            When the leader was not reached in time.
        """
        return await self._ask_leader(READ_ITEM, request, 0.0, deadline)

    async def read_configuration(self, deadline: Deadline) -> ConfigurationRead:
        """Return the newest whole configuration.

        Raises
        ------
        ControlError
            When no leader with a quorum was reached in time.
        """
        request = ReadConfiguration()
        return await self._ask_leader(READ_CONFIGURATION, request, 0.0, deadline)

    async def retire(self, request: RetireRequest, deadline: Deadline) -> RetireAnswer:
        """Begin to take a control instance away, or tell how far that is.

        Raises
        ------
        ControlError
            When the leader was not reached in time.
        """
        return await self._ask_leader(RETIRE, request, 0.0, deadline)

    def learn(self, addresses: list[Address]) -> None:
        """Take note of where the control instances are by now."""
        for address in addresses:
            if address not in self._channels:
                self._channels[address] = RpcChannel(address, self._events)

    async def _ask_leader(
        self, method: Method[Q, A], request: Q, wait_s: float, deadline: Deadline
    ) -> A:
        while remaining(deadline):
            channel = self._channel()
            timeout_s = min(wait_s + _READ_TIMEOUT_S, remaining(deadline))
            match await channel.call(method, request, timeout_s):
                case Ok(answer) if answer.status is CallStatus.DONE:
                    return answer
                case Ok(answer):
                    self._prefer(answer.leader, channel.address)
                case Err(_):
                    self._prefer(Address(""), channel.address)
            await sleep_until(deadline_in(min(_PAUSE_S, remaining(deadline))))
        raise ControlError("the leader of control was not reached in time")

    async def renew(
        self, request: RenewRequest, timeout_s: float
    ) -> RenewAnswer | None:
        """Renew the entry's lease at the leader; None when it did not answer."""
        channel = self._channel()
        match await channel.call(RENEW, request, timeout_s):
            case Ok(answer) if answer.status is CallStatus.DONE:
                return answer
            case Ok(answer):
                self._prefer(answer.leader, channel.address)
            case Err(_):
                self._prefer(Address(""), channel.address)
        return None

    async def status(self, timeout_s: float) -> dict[Address, StatusAnswer | None]:
        """Ask every control instance how it is; None for those without answer."""
        addresses = list(self._channels)
        asks = [self._ask_status(address, timeout_s) for address in addresses]
        answers = await asyncio.gather(*asks)
        return dict(zip(addresses, answers))

    async def _ask_status(
        self, address: Address, timeout_s: float
    ) -> StatusAnswer | None:
        request = StatusRequest(is_confirmed=address == self._preferred)
        match await self._channels[address].call(STATUS, request, timeout_s):
            case Ok(answer):
                return answer
            case Err(_):
                return None
        return None

    def _channel(self) -> RpcChannel:
        return self._channels[self._preferred]

    def _prefer(self, leader: Address, failed: Address) -> None:
        if leader and leader != failed:
            if leader not in self._channels:
                self._channels[leader] = RpcChannel(leader, self._events)
            self._preferred = leader
        elif self._preferred == failed:
            addresses = list(self._channels)
            following = addresses.index(failed) + 1
            self._preferred = addresses[following % len(addresses)]


def _is_unsent(reason: str) -> bool:
    return "failed to connect" in reason.lower() or "Connection refused" in reason
