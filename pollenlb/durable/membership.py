"""Which replicas vote: the next change of members, decided from what is known."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from ..ids import InstanceName, ReplicaId
from .records import Member

FORGET_LEARNER_S = 60.0  # a learner that is silent for longer can join again


@dataclass(frozen=True)
class MemberHealth:
    """What the leader sees of a member.

    Attributes
    ----------
    since_last_contact_s : float
        Seconds since the member last answered.
    is_caught_up : bool
        Whether its log holds all that the leader's holds.
    named : Member
        The member with the instance and failure domain that it last told.
    """

    member: Member
    since_last_contact_s: float
    is_caught_up: bool
    named: Member


@dataclass(frozen=True)
class MembershipGoal:
    """What the members should come to.

    Attributes
    ----------
    voter_count : int
        Replicas that should vote.
    retiring : set of InstanceName
        Instances that are to be taken away.
    replace_after_s : float
        Seconds of silence after which another replica votes in place of one.
    """

    voter_count: int
    retiring: frozenset[InstanceName]
    replace_after_s: float


def next_members(
    health: Sequence[MemberHealth], own: ReplicaId, goal: MembershipGoal
) -> list[Member] | None:
    """Return the members after the next change, or None when none is due.

    A change adds or removes one voter at most, so that the majorities before
    and after it overlap. A replacement votes before the replica that it
    replaces stops to: a loss in between can be borne.

    Parameters
    ----------
    health : sequence of MemberHealth
        All members, the leader's own replica included.
    own : ReplicaId
        The leader's own replica.
    goal : MembershipGoal
        What the members should come to.
    """
    members = [each.member for each in health]
    renamed = [each.named for each in health]
    if renamed != members:
        return renamed
    voters = [each for each in health if each.member.is_voter]
    unfit = [each for each in voters if _is_unfit(each, goal)]
    learner = _best_learner(health, voters, goal)
    if learner is not None and len(voters) - len(unfit) < goal.voter_count:
        if len(voters) <= goal.voter_count:
            return _with_vote(members, learner.member, is_voter=True)
    if len(voters) > goal.voter_count:
        removed = _voter_to_remove(voters, unfit, own)
        return _with_vote(members, removed.member, is_voter=False)
    for each in health:
        is_retired = each.member.instance in goal.retiring
        is_gone = each.since_last_contact_s > FORGET_LEARNER_S
        if not each.member.is_voter and (is_retired or is_gone):
            return [member for member in members if member != each.member]
    return None


def _is_unfit(health: MemberHealth, goal: MembershipGoal) -> bool:
    is_retiring = health.member.instance in goal.retiring
    return is_retiring or health.since_last_contact_s > goal.replace_after_s


def _best_learner(
    health: Sequence[MemberHealth],
    voters: Sequence[MemberHealth],
    goal: MembershipGoal,
) -> MemberHealth | None:
    fit = [
        each
        for each in health
        if not each.member.is_voter and each.is_caught_up and not _is_unfit(each, goal)
    ]
    held = Counter(
        each.member.failure_domain for each in voters if not _is_unfit(each, goal)
    )
    return min(fit, key=lambda each: held[each.member.failure_domain], default=None)


def _voter_to_remove(
    voters: Sequence[MemberHealth], unfit: Sequence[MemberHealth], own: ReplicaId
) -> MemberHealth:
    silent = [each for each in unfit if each.member.replica != own]
    if silent:
        return max(silent, key=lambda each: each.since_last_contact_s)
    if unfit:
        return unfit[0]
    held = Counter(each.member.failure_domain for each in voters)
    others = [each for each in voters if each.member.replica != own]
    return max(others, key=lambda each: held[each.member.failure_domain])


def _with_vote(members: list[Member], changed: Member, is_voter: bool) -> list[Member]:
    after = msgspec.structs.replace(changed, is_voter=is_voter)
    return [after if each == changed else each for each in members]
