"""Taking control instances away for good."""

from __future__ import annotations

from ..connection.control_api import (
    CallStatus,
    RetireAnswer,
    Retirement,
    RetireRequest,
)
from ..durable.configuration_commands import RetireInstance
from ..exceptions import LogError, NotLeaderError
from ..ids import Address, InstanceName
from .control_context import ControlContext


class RetirementService:
    """Empties control instances and tells how far that is.

    Parameters
    ----------
    context : ControlContext
        Parts of the control process.
    """

    def __init__(self, context: ControlContext) -> None:
        self._context = context

    async def retire(self, request: RetireRequest) -> RetireAnswer:
        """Begin to take an instance away, or tell how far it is."""
        try:
            await self._context.replica.confirm_leadership()
            retirement = self._retirement_of(request.instance)
            if retirement is Retirement.UNKNOWN or request.is_question:
                return _answer(retirement)
            if request.instance in self._context.machine.state.retiring:
                return _answer(retirement)
            if (
                self._would_remain(request.instance)
                < self._context.replica.membership_goal.voter_count
            ):
                return _answer(Retirement.TOO_FEW)
            await self._context.execute(RetireInstance(request.instance))
        except NotLeaderError as error:
            return RetireAnswer(CallStatus.NOT_LEADER, Address(error.leader))
        except LogError:
            return RetireAnswer(CallStatus.IN_DOUBT)
        return _answer(Retirement.RUNNING)

    def _retirement_of(self, instance: InstanceName) -> Retirement:
        is_retiring = instance in self._context.machine.state.retiring
        is_member = any(
            each.instance == instance for each in self._context.replica.storage.members
        )
        if is_retiring and not is_member and self._is_rest_whole():
            return Retirement.COMPLETED
        if is_member or is_retiring:
            return Retirement.RUNNING
        return Retirement.UNKNOWN

    def _is_rest_whole(self) -> bool:
        # Only then may the next loss be borne without the retired instance.
        replica = self._context.replica
        health = replica.current_leadership().member_health()
        voters = [each for each in health if each.member.is_voter]
        is_enough = len(voters) >= replica.membership_goal.voter_count
        is_answering = all(
            each.since_last_contact_s < replica.membership_goal.replace_after_s
            for each in voters
        )
        return is_enough and is_answering and all(each.is_caught_up for each in voters)

    def _would_remain(self, instance: InstanceName) -> int:
        replica = self._context.replica
        retiring = {*self._context.machine.state.retiring, instance}
        return sum(
            each.member.instance not in retiring
            and each.since_last_contact_s < replica.membership_goal.replace_after_s
            for each in replica.current_leadership().member_health()
        )


def _answer(retirement: Retirement) -> RetireAnswer:
    return RetireAnswer(CallStatus.DONE, Address(""), retirement)
