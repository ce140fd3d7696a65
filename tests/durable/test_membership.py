"""Which replicas vote: decided step by step, and shown on a running log."""

from __future__ import annotations

import asyncio

import msgspec
from hypothesis import given, strategies as st

from pollenlb.durable.membership import MemberHealth, MembershipGoal, next_members
from pollenlb.durable.records import Member
from pollenlb.ids import Address, FailureDomain, InstanceName, ReplicaId

from ..local_system import until
from .replica_set import ReplicaSet, Write, propose

_REPLACE_AFTER_S = 2.0
_MOST_STEPS = 30


def _health(number: int, is_voter: bool, silent_s: float = 0.0, **options):
    member = Member(
        ReplicaId(f"replica-{number}"),
        InstanceName(f"store-{number}"),
        Address(f"10.0.0.{number}:1"),
        is_voter,
        FailureDomain(options.get("domain", f"domain-{number % 3}")),
    )
    return MemberHealth(member, silent_s, options.get("is_caught_up", True), member)


def _goal(voters: int, retiring: set[str] = frozenset()) -> MembershipGoal:
    return MembershipGoal(voters, frozenset(retiring), _REPLACE_AFTER_S)


def _voters(members: list[Member]) -> set[str]:
    return {each.replica for each in members if each.is_voter}


def _settle(health: list[MemberHealth], goal: MembershipGoal) -> list[Member]:
    """Carry out one change after the other until none is due."""
    own = ReplicaId("replica-0")
    for _ in range(_MOST_STEPS):
        members = [each.member for each in health]
        following = next_members(health, own, goal)
        if following is None:
            return members
        assert len(_voters(members) ^ _voters(following)) <= 1
        by_replica = {each.member.replica: each for each in health}
        health = []
        for member in following:
            known = by_replica[member.replica]
            health.append(
                MemberHealth(
                    member, known.since_last_contact_s, known.is_caught_up, member
                )
            )
    raise AssertionError("the members never settle")


def test_a_silent_voter_is_replaced_by_a_learner_that_is_caught_up():
    health = [
        _health(0, True),
        _health(1, True),
        _health(2, True, silent_s=3.0),
        _health(3, False),
    ]
    assert _voters(_settle(health, _goal(3))) == {
        "replica-0",
        "replica-1",
        "replica-3",
    }


def test_the_replacement_votes_before_the_silent_voter_stops_to():
    health = [
        _health(0, True),
        _health(1, True),
        _health(2, True, silent_s=3.0),
        _health(3, False),
    ]
    following = next_members(health, ReplicaId("replica-0"), _goal(3))
    assert len(_voters(following)) == 4


def test_a_learner_that_is_behind_does_not_vote():
    health = [
        _health(0, True),
        _health(1, True),
        _health(2, True, silent_s=3.0),
        _health(3, False, is_caught_up=False),
    ]
    assert next_members(health, ReplicaId("replica-0"), _goal(3)) is None


def test_a_retiring_instance_leaves_once_another_votes():
    health = [_health(number, number < 3) for number in range(4)]
    members = _settle(health, _goal(3, {"store-1"}))
    assert {each.instance for each in members} == {"store-0", "store-2", "store-3"}
    assert len(_voters(members)) == 3


def test_a_retiring_instance_stays_without_a_replacement():
    health = [_health(number, True) for number in range(3)]
    members = _settle(health, _goal(3, {"store-1"}))
    assert len(_voters(members)) == 3


def test_a_new_voter_comes_from_the_failure_domain_with_the_fewest():
    health = [
        _health(0, True, domain="a"),
        _health(1, True, domain="b"),
        _health(2, False, domain="a"),
        _health(3, False, domain="c"),
    ]
    assert "replica-3" in _voters(_settle(health, _goal(3)))


@given(
    states=st.lists(
        st.tuples(st.booleans(), st.floats(0, 100), st.booleans()), max_size=7
    ),
    voters=st.sampled_from([1, 3, 5]),
    retiring=st.sets(st.integers(1, 7), max_size=2),
)
def test_changes_settle_and_never_lose_a_live_majority(states, voters, retiring):
    health = [_health(0, True)]
    for number, (is_voter, silent_s, is_caught_up) in enumerate(states, start=1):
        health.append(_health(number, is_voter, silent_s, is_caught_up=is_caught_up))
    live = {
        each.member.replica
        for each in health
        if each.since_last_contact_s <= _REPLACE_AFTER_S
    }
    before = _voters([each.member for each in health])
    goal = _goal(voters, {f"store-{each}" for each in retiring})
    after = _voters(_settle(health, goal))
    assert "replica-0" in after or "store-0" in goal.retiring
    if 2 * len(before & live) > len(before) and len(before) <= voters:
        assert 2 * len(after & live) > len(after)


async def test_a_voter_that_is_lost_for_good_is_replaced(tmp_path):
    async with ReplicaSet(
        tmp_path, seed=21, count=3, replace_after_s=0.6, tolerated_losses=1
    ) as replicas:
        leader = await replicas.write("x", 1)
        lost = next(each for each in replicas.nodes if each is not leader)
        spare = await replicas.add_spare()
        await until(lambda: len(leader.replica.storage.members) == 4)
        await until(lambda: spare.replica.storage.is_formatted)
        await lost.kill()
        own = spare.replica.storage.hard_state.replica
        await until(lambda: own in _voters(leader.committed_members))
        await until(lambda: len(_voters(leader.committed_members)) == 3)
        rest = [each for each in replicas.nodes if each not in (lost, leader)]
        await leader.kill()
        new = await replicas.leader(among=rest)
        async with asyncio.timeout(20):
            await propose(new, Write("y", 2))
        assert new.registers.values == {"x": 1, "y": 2}


def test_names_that_a_replica_told_are_entered():
    health = [_health(0, True), _health(1, True)]
    renamed = msgspec.structs.replace(health[1].member, instance="store-new")
    health[1] = MemberHealth(health[1].member, 0.0, True, renamed)
    following = next_members(health, ReplicaId("replica-0"), _goal(3))
    assert following[1].instance == "store-new"
