"""Permanent removal of control instances."""

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
    """Moves replicas off control instances, and reports the progress.

    Parameters
    ----------
    context : ControlContext
        Parts of the control process.
    """

    def __init__(self, context: ControlContext) -> None:
        self._context = context

    async def retire(self, request: RetireRequest) -> RetireAnswer:
        """Start the retirement of an instance, or report how far it is.

        A retirement is not started, and ``TOO_FEW`` is reported, when fewer
        members than the wanted number of voters would remain.
        """
        try:
            await self._context.replica.confirm_leadership()
            retirement = self._retirement_of(request.instance)
            if retirement is Retirement.UNKNOWN or request.is_question:
                return _answer(retirement)
            if request.instance in self._context.machine.state.retiring:
                return _answer(retirement)
            if (
                self._remaining_count(request.instance)
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
            member.instance == instance
            for member in self._context.replica.storage.members
        )
        if is_retiring and not is_member and self._is_membership_restored():
            return Retirement.COMPLETED
        if is_member or is_retiring:
            return Retirement.RUNNING
        return Retirement.UNKNOWN

    def _is_membership_restored(self) -> bool:
        # Before that, the failure of another instance might not be tolerated
        # without the retired one.
        replica = self._context.replica
        health = replica.current_leadership().member_health()
        voters = [voter for voter in health if voter.member.is_voter]
        is_enough = len(voters) >= replica.membership_goal.voter_count
        is_useful = all(
            voter.stalled_s < replica.membership_goal.replace_after_s
            for voter in voters
        )
        return is_enough and is_useful and all(voter.is_caught_up for voter in voters)

    def _remaining_count(self, instance: InstanceName) -> int:
        """Return how many useful members would remain without an instance."""
        replica = self._context.replica
        retiring = {*self._context.machine.state.retiring, instance}
        return sum(
            health.member.instance not in retiring
            and health.stalled_s < replica.membership_goal.replace_after_s
            for health in replica.current_leadership().member_health()
        )


def _answer(retirement: Retirement) -> RetireAnswer:
    return RetireAnswer(CallStatus.DONE, Address(""), retirement)
