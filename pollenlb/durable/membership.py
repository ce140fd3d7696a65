"""Membership of the replicated log: decides the next change of members."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from ..ids import InstanceName, ReplicaId
from .records import Member

# A learner without contact for longer is removed; it can join again later.
REMOVE_LEARNER_AFTER_S = 60.0


@dataclass(frozen=True)
class MemberHealth:
    """Health of one member, as the leader observes it.

    Attributes
    ----------
    member : Member
        The member as the replicated log lists it.
    since_last_contact_s : float
        Seconds since the last contact with the member.
    is_caught_up : bool
        Whether the member's log holds all entries that the leader has committed.
    reported_member : Member
        The member with the instance and failure domain that it last reported.
    since_progress_s : float
        Seconds since the member stored something new or lacked nothing.
    """

    member: Member
    since_last_contact_s: float
    is_caught_up: bool
    reported_member: Member
    since_progress_s: float = 0.0

    @property
    def stalled_s(self) -> float:
        """Seconds for which the member has been of no use to a majority."""
        return max(self.since_last_contact_s, self.since_progress_s)


@dataclass(frozen=True)
class MembershipGoal:
    """Membership that the changes work towards.

    Attributes
    ----------
    voter_count : int
        Number of replicas that should vote.
    retiring_instances : frozenset of InstanceName
        Instances that are being retired; their replicas are removed.
    replace_after_s : float
        Seconds without contact or progress after which a voter is replaced by a
        learner.
    """

    voter_count: int
    retiring_instances: frozenset[InstanceName]
    replace_after_s: float


def next_members(
    health: Sequence[MemberHealth], own_id: ReplicaId, goal: MembershipGoal
) -> list[Member] | None:
    """Return the members after the next change, or None when none is due.

    A change adds or removes at most one voter, so that the majorities before
    and after it overlap. A replacement becomes a voter before the voter that it
    replaces is removed, so that the loss of a replica in between is tolerated.

    Parameters
    ----------
    health : sequence of MemberHealth
        Health of all members, including the leader's own replica.
    own_id : ReplicaId
        Identity of the leader's own replica.
    goal : MembershipGoal
        Membership that the changes work towards.

    Returns
    -------
    list of Member or None
        All members after the change.
    """
    members = [state.member for state in health]
    reported_members = [state.reported_member for state in health]
    if reported_members != members:
        return reported_members
    voters = [state for state in health if state.member.is_voter]
    ineligible = [voter for voter in voters if _is_ineligible(voter, goal)]
    learner = _best_learner(health, voters, goal)
    if learner is not None and len(voters) - len(ineligible) < goal.voter_count:
        if len(voters) <= goal.voter_count:
            return _with_vote(members, learner.member, is_voter=True)
    if len(voters) > goal.voter_count:
        removed = _voter_to_remove(voters, ineligible, own_id)
        return _with_vote(members, removed.member, is_voter=False)
    for state in health:
        is_retiring = state.member.instance in goal.retiring_instances
        is_disconnected = state.since_last_contact_s > REMOVE_LEARNER_AFTER_S
        if not state.member.is_voter and (is_retiring or is_disconnected):
            return [member for member in members if member != state.member]
    return None


def _is_ineligible(health: MemberHealth, goal: MembershipGoal) -> bool:
    is_retiring = health.member.instance in goal.retiring_instances
    return is_retiring or health.stalled_s > goal.replace_after_s


def _best_learner(
    health: Sequence[MemberHealth],
    voters: Sequence[MemberHealth],
    goal: MembershipGoal,
) -> MemberHealth | None:
    eligible = [
        state
        for state in health
        if not state.member.is_voter
        and state.is_caught_up
        and not _is_ineligible(state, goal)
    ]
    voters_by_domain = Counter(
        voter.member.failure_domain
        for voter in voters
        if not _is_ineligible(voter, goal)
    )
    return min(
        eligible,
        key=lambda state: voters_by_domain[state.member.failure_domain],
        default=None,
    )


def _voter_to_remove(
    voters: Sequence[MemberHealth],
    ineligible: Sequence[MemberHealth],
    own_id: ReplicaId,
) -> MemberHealth:
    others_ineligible = [
        voter for voter in ineligible if voter.member.replica != own_id
    ]
    if others_ineligible:
        return max(others_ineligible, key=lambda voter: voter.stalled_s)
    if ineligible:
        return ineligible[0]
    voters_by_domain = Counter(voter.member.failure_domain for voter in voters)
    others = [voter for voter in voters if voter.member.replica != own_id]
    return max(others, key=lambda voter: voters_by_domain[voter.member.failure_domain])


def _with_vote(members: list[Member], changed: Member, is_voter: bool) -> list[Member]:
    replacement = msgspec.structs.replace(changed, is_voter=is_voter)
    return [replacement if member == changed else member for member in members]
