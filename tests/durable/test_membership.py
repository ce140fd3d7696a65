"""Membership changes: single decisions, and replacement on running replicas."""

from __future__ import annotations

import asyncio

import msgspec
from hypothesis import given, strategies as st

from pollenlb.durable.membership import MemberHealth, MembershipGoal, next_members
from pollenlb.durable.records import Member
from pollenlb.ids import Address, FailureDomain, InstanceName, ReplicaId

from ..local_system import wait_until
from .replica_set import ReplicaSet, Write, propose

_REPLACE_AFTER_S = 2.0
_MAX_STEPS = 30


def _health(number: int, is_voter: bool, since_last_contact_s: float = 0.0, **options):
    member = Member(
        ReplicaId(f"replica-{number}"),
        InstanceName(f"store-{number}"),
        Address(f"10.0.0.{number}:1"),
        is_voter,
        FailureDomain(options.get("domain", f"domain-{number % 3}")),
    )
    return MemberHealth(
        member, since_last_contact_s, options.get("is_caught_up", True), member
    )


def _goal(voters: int, retiring: set[str] = frozenset()) -> MembershipGoal:
    return MembershipGoal(voters, frozenset(retiring), _REPLACE_AFTER_S)


def _voters(members: list[Member]) -> set[str]:
    return {member.replica for member in members if member.is_voter}


def _apply_changes(health: list[MemberHealth], goal: MembershipGoal) -> list[Member]:
    """Apply one change after another until none is due; return the members."""
    own_id = ReplicaId("replica-0")
    for _ in range(_MAX_STEPS):
        members = [state.member for state in health]
        changed = next_members(health, own_id, goal)
        if changed is None:
            return members
        assert len(_voters(members) ^ _voters(changed)) <= 1
        by_replica = {state.member.replica: state for state in health}
        health = []
        for member in changed:
            known = by_replica[member.replica]
            health.append(
                MemberHealth(
                    member, known.since_last_contact_s, known.is_caught_up, member
                )
            )
    raise AssertionError(f"a change was still due after {_MAX_STEPS} changes")


def test_silent_voter_is_replaced_by_a_caught_up_learner():
    health = [
        _health(0, True),
        _health(1, True),
        _health(2, True, since_last_contact_s=3.0),
        _health(3, False),
    ]
    assert _voters(_apply_changes(health, _goal(3))) == {
        "replica-0",
        "replica-1",
        "replica-3",
    }


def test_replacement_becomes_a_voter_before_the_silent_voter_is_removed():
    health = [
        _health(0, True),
        _health(1, True),
        _health(2, True, since_last_contact_s=3.0),
        _health(3, False),
    ]
    changed = next_members(health, ReplicaId("replica-0"), _goal(3))
    assert len(_voters(changed)) == 4


def test_lagging_learner_does_not_become_a_voter():
    health = [
        _health(0, True),
        _health(1, True),
        _health(2, True, since_last_contact_s=3.0),
        _health(3, False, is_caught_up=False),
    ]
    assert next_members(health, ReplicaId("replica-0"), _goal(3)) is None


def test_retiring_instance_is_removed_once_a_replacement_votes():
    health = [_health(number, number < 3) for number in range(4)]
    members = _apply_changes(health, _goal(3, {"store-1"}))
    assert {member.instance for member in members} == {"store-0", "store-2", "store-3"}
    assert len(_voters(members)) == 3


def test_retiring_instance_stays_a_voter_without_a_replacement():
    health = [_health(number, True) for number in range(3)]
    members = _apply_changes(health, _goal(3, {"store-1"}))
    assert len(_voters(members)) == 3


def test_new_voter_comes_from_the_failure_domain_with_the_fewest_voters():
    health = [
        _health(0, True, domain="a"),
        _health(1, True, domain="b"),
        _health(2, False, domain="a"),
        _health(3, False, domain="c"),
    ]
    assert "replica-3" in _voters(_apply_changes(health, _goal(3)))


@given(
    states=st.lists(
        st.tuples(st.booleans(), st.floats(0, 100), st.booleans()), max_size=7
    ),
    voters=st.sampled_from([1, 3, 5]),
    retiring=st.sets(st.integers(1, 7), max_size=2),
)
def test_changes_end_and_keep_a_live_majority(states, voters, retiring):
    health = [_health(0, True)]
    for number, (is_voter, since_last_contact_s, is_caught_up) in enumerate(
        states, start=1
    ):
        health.append(
            _health(number, is_voter, since_last_contact_s, is_caught_up=is_caught_up)
        )
    live = {
        state.member.replica
        for state in health
        if state.since_last_contact_s <= _REPLACE_AFTER_S
    }
    before = _voters([state.member for state in health])
    goal = _goal(voters, {f"store-{number}" for number in retiring})
    after = _voters(_apply_changes(health, goal))
    assert "replica-0" in after or "store-0" in goal.retiring_instances
    if 2 * len(before & live) > len(before) and len(before) <= voters:
        assert 2 * len(after & live) > len(after)


async def test_permanently_failed_voter_is_replaced(tmp_path):
    async with ReplicaSet(
        tmp_path, seed=21, count=3, replace_after_s=0.6, tolerated_losses=1
    ) as replicas:
        leader = await replicas.write("x", 1)
        failed = next(node for node in replicas.nodes if node is not leader)
        spare = await replicas.add_spare()
        await wait_until(lambda: len(leader.replica.storage.members) == 4)
        await wait_until(lambda: spare.replica.storage.is_formatted)
        await failed.kill()
        spare_id = spare.replica.storage.hard_state.replica
        await wait_until(lambda: spare_id in _voters(leader.committed_members))
        await wait_until(lambda: len(_voters(leader.committed_members)) == 3)
        others = [node for node in replicas.nodes if node not in (failed, leader)]
        await leader.kill()
        new_leader = await replicas.leader(among=others)
        async with asyncio.timeout(20):
            await propose(new_leader, Write("y", 2))
        assert new_leader.registers.values == {"x": 1, "y": 2}


def test_instance_name_that_a_replica_reports_is_stored():
    health = [_health(0, True), _health(1, True)]
    renamed = msgspec.structs.replace(health[1].member, instance="store-new")
    health[1] = MemberHealth(health[1].member, 0.0, True, renamed)
    changed = next_members(health, ReplicaId("replica-0"), _goal(3))
    assert changed[1].instance == "store-new"
