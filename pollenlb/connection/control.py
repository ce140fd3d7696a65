"""Client of the control instances, for entry processes."""

from __future__ import annotations

import asyncio
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from ..clock import Deadline, deadline_in, remaining_time_s, sleep_until
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
from .leader_search import LeaderSearch
from .packed_views import unpack_views
from .rpc import CallFailure, Method, RpcChannel

Q = TypeVar("Q")
B = TypeVar("B")
A = TypeVar("A", BatchJobRead, ItemRead, ConfigurationRead, RetireAnswer)

_MIN_ATTEMPT_TIMEOUT_S = 1.0
_READ_TIMEOUT_S = 0.6
_RETRY_PAUSE_S = 0.05
# Of a long search for the leader, the first attempts are recorded as events, and
# then one in so many.
_MAX_CONSECUTIVE_EVENTS = 8
_ATTEMPTS_PER_EVENT = 20


class ControlConnection:
    """Finds the leader among the control instances and sends it requests.

    ``LeaderSearch`` decides which control instance gets the next attempt after a
    failed call or the answer of a follower.

    Parameters
    ----------
    addresses : list of Address
        Control instances to start with; at least one.
    events : EventLog
        Supplies the timestamps sent with calls and observes received ones.
    """

    def __init__(self, addresses: list[Address], events: EventLog) -> None:
        self._events = events
        self._channels = {address: RpcChannel(address, events) for address in addresses}
        self._search = LeaderSearch(addresses)
        self._members = list(addresses)

    @property
    def members(self) -> list[Address]:
        """Control instances that are members of the log."""
        return self._members

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            await channel.close()

    async def propose(
        self, command: AnyCommand, command_id: CommandId | None, deadline: Deadline
    ) -> AnyResult:
        """Execute a command through the replicated log and return its result.

        A command is sent again only if that cannot execute it twice: it has a
        command id, or no earlier attempt can have executed it.

        Parameters
        ----------
        command : Command
            Command to propose to the leader.
        command_id : CommandId or None
            Idempotency key of the command, the same for all attempts.
        deadline : Deadline
            Time after which no further attempt is made.

        Raises
        ------
        CommandInDoubtError
            When the command was sent, but whether it takes effect is unknown.
        ControlError
            When the command was not executed before the deadline.
        """
        request = ProposeRequest(command_id, command)
        is_in_doubt = False
        while remaining_time_s(deadline):
            timeout_s = remaining_time_s(deadline)
            if command_id is not None and not is_in_doubt:
                timeout_s = min(timeout_s, max(_MIN_ATTEMPT_TIMEOUT_S, timeout_s / 2))
            address = self._search.preferred
            match await self._channel(address).call(PROPOSE, request, timeout_s):
                case Ok(answer) if answer.status is CallStatus.DONE:
                    self._record_leader(address)
                    assert answer.result is not None
                    return answer.result
                case Ok(answer) if answer.unreadable:
                    raise ControlError(answer.unreadable)
                case Ok(answer) if answer.status is CallStatus.NOT_LEADER:
                    self._record_failure(address, answer.leader)
                case Ok(_):
                    is_in_doubt = True
                case Err(failure):
                    is_in_doubt = is_in_doubt or not _is_unsent(failure.reason)
                    self._record_failure(address, reason=failure.reason)
            if is_in_doubt and command_id is None:
                break
            await sleep_until(
                deadline_in(min(_RETRY_PAUSE_S, remaining_time_s(deadline)))
            )
        if is_in_doubt:
            raise CommandInDoubtError(
                f"{type(command).__name__} command was sent to a control instance but "
                "not confirmed; it may or may not have taken effect"
            )
        raise ControlError(
            f"no control instance executed the {type(command).__name__} command "
            "before its deadline"
        )

    async def read_batch_job(
        self, request: ReadBatchJob, deadline: Deadline
    ) -> BatchJobRead:
        """Return the results of a batch job from a position on.

        Raises
        ------
        ControlError
            When no leader answered before the deadline.
        """
        return await self._call_leader(
            READ_BATCH_JOB, request, request.wait_s, deadline
        )

    async def read_item(self, request: ReadItem, deadline: Deadline) -> ItemRead:
        """Return the body of an item of a batch job.

        Raises
        ------
        ControlError
            When no leader answered before the deadline.
        """
        return await self._call_leader(READ_ITEM, request, 0.0, deadline)

    async def read_configuration(self, deadline: Deadline) -> ConfigurationRead:
        """Return the latest complete configuration.

        Raises
        ------
        ControlError
            When no leader with a quorum answered before the deadline.
        """
        request = ReadConfiguration()
        return await self._call_leader(READ_CONFIGURATION, request, 0.0, deadline)

    async def retire(self, request: RetireRequest, deadline: Deadline) -> RetireAnswer:
        """Start to retire a control instance, or only return its progress.

        Raises
        ------
        ControlError
            When no leader answered before the deadline.
        """
        return await self._call_leader(RETIRE, request, 0.0, deadline)

    def set_members(self, addresses: list[Address]) -> None:
        """Replace the members of the log; earlier ones are still asked for a leader."""
        if addresses:
            self._members = list(addresses)
        for address in addresses:
            if address not in self._channels:
                self._channels[address] = RpcChannel(address, self._events)
                self._search.add(address)

    async def _call_leader(
        self, method: Method[Q, A], request: Q, wait_s: float, deadline: Deadline
    ) -> A:
        while remaining_time_s(deadline):
            address = self._search.preferred
            timeout_s = min(wait_s + _READ_TIMEOUT_S, remaining_time_s(deadline))
            match await self._channel(address).call(method, request, timeout_s):
                case Ok(answer) if answer.status is CallStatus.DONE:
                    self._record_leader(address)
                    return answer
                case Ok(answer):
                    self._record_failure(address, answer.leader)
                case Err(failure):
                    self._record_failure(address, reason=failure.reason)
            await sleep_until(
                deadline_in(min(_RETRY_PAUSE_S, remaining_time_s(deadline)))
            )
        raise ControlError(
            f"no leader of the control instances answered {method.name} before the "
            "deadline"
        )

    async def renew_lease(
        self, request: RenewRequest, timeout_s: float
    ) -> RenewAnswer | None:
        """Renew the entry's lease at the leader and return its answer.

        Makes one attempt, of at most ``timeout_s`` seconds, and returns None
        when it does not reach the leader.
        """
        address = self._search.preferred
        request = msgspec.structs.replace(request, accepts_packed=True)
        match await self._channel(address).call(RENEW, request, timeout_s):
            case Ok(answer) if answer.status is CallStatus.DONE:
                self._record_leader(address)
                return unpack_views(answer)
            case Ok(answer):
                self._record_failure(address, answer.leader)
            case Err(failure):
                self._record_failure(address, reason=failure.reason)
        return None

    async def call_member(
        self, address: Address, method: Method[Q, B], request: Q, timeout_s: float
    ) -> Result[B, CallFailure]:
        """Call one control instance, whether it leads or not."""
        return await self._channel(address).call(method, request, timeout_s)

    async def query_status(
        self, timeout_s: float
    ) -> dict[Address, StatusAnswer | None]:
        """Return the status of every control instance by address.

        It is None for an instance that does not answer within ``timeout_s``
        seconds.
        """
        addresses = list(self._channels)
        calls = [self._fetch_status(address, timeout_s) for address in addresses]
        answers = await asyncio.gather(*calls)
        return dict(zip(addresses, answers))

    async def _fetch_status(
        self, address: Address, timeout_s: float
    ) -> StatusAnswer | None:
        request = StatusRequest(is_confirmed=address == self._search.preferred)
        match await self._channels[address].call(STATUS, request, timeout_s):
            case Ok(answer):
                return answer
            case Err(_):
                return None
        return None

    def _channel(self, address: Address) -> RpcChannel:
        if address not in self._channels:
            self._channels[address] = RpcChannel(address, self._events)
        return self._channels[address]

    def _record_failure(
        self, asked: Address, reported: Address = Address(""), reason: str = ""
    ) -> None:
        """Go on with the search for the leader, and record how it goes on.

        Parameters
        ----------
        asked : Address
            Control instance that did not answer as the leader.
        reported : Address
            Leader that it reported; empty when it reported none.
        reason : str
            Why it did not answer; empty when it did.
        """
        self._search.record_failure(asked, reported)
        attempts = self._search.attempt_count
        if attempts > _MAX_CONSECUTIVE_EVENTS and attempts % _ATTEMPTS_PER_EVENT:
            return
        self._events.record(
            "leader.not_found",
            asked=asked,
            reported=reported,
            reason=reason,
            next=self._search.preferred,
            attempts=attempts,
        )

    def _record_leader(self, leader: Address) -> None:
        attempts = self._search.attempt_count
        if attempts:
            self._events.record("leader.found", leader=leader, attempts=attempts)
        self._search.record_leader(leader)


def _is_unsent(reason: str) -> bool:
    """Return whether gRPC's error text says that no connection was established."""
    return "failed to connect" in reason.lower() or "Connection refused" in reason
