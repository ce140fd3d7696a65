"""Raft elections: a pre-vote, then a vote."""

from __future__ import annotations

import asyncio

import msgspec
from result import Err, Ok

from ..clock import deadline_in, now, remaining_time_s
from ..ids import Term
from .records import VOTE, Member, VoteRequest
from .replica_interface import ReplicaInterface


async def hold_election(replica: ReplicaInterface) -> None:
    """Request pre-votes, then votes, and become leader if a majority grants both.

    Without a majority, or when another leader is in contact after the pre-votes,
    it returns without an error; the caller tries again after the next election
    timeout.

    Parameters
    ----------
    replica : ReplicaInterface
        The candidate.
    """
    if replica.storage.oldest_write_age_s:
        # A leader with a write pending on its disk could not commit anything.
        return
    async with replica.lock:
        new_term = Term(replica.term + 1)
        request = _vote_request(replica, new_term, is_pre_vote=True)
    if not await _wins_majority(replica, request):
        return
    async with replica.lock:
        if replica.term + 1 != new_term or replica.has_leader_contact():
            return
        state = replica.storage.hard_state
        own_vote = msgspec.structs.replace(
            state, term=new_term, voted_for=state.replica
        )
        await replica.storage.save_hard_state(own_vote)
        request = _vote_request(replica, new_term, is_pre_vote=False)
    replica.postpone_election()
    election_started_at = now()
    if not await _wins_majority(replica, request):
        return
    async with replica.lock:
        if replica.term == new_term and replica.leadership is None:
            replica.become_leader(new_term, election_started_at)


def _vote_request(
    replica: ReplicaInterface, term: Term, is_pre_vote: bool
) -> VoteRequest:
    state = replica.storage.hard_state
    return VoteRequest(
        cluster=state.cluster,
        sender=state.replica,
        receiver=state.replica,
        term=term,
        last_term=replica.storage.last_term,
        last_index=replica.storage.last_index,
        is_pre_vote=is_pre_vote,
    )


async def _wins_majority(replica: ReplicaInterface, request: VoteRequest) -> bool:
    voters = [member for member in replica.storage.members if member.is_voter]
    majority = len(voters) // 2 + 1
    granted_count = sum(member.replica == request.sender for member in voters)
    pending_votes = [
        asyncio.create_task(_request_vote(replica, request, member))
        for member in voters
        if member.replica != request.sender
    ]
    deadline = deadline_in(replica.settings.election_timeout_s)
    try:
        while pending_votes and granted_count < majority and remaining_time_s(deadline):
            done, pending = await asyncio.wait(
                pending_votes,
                timeout=remaining_time_s(deadline),
                return_when=asyncio.FIRST_COMPLETED,
            )
            granted_count += sum(vote.result() for vote in done)
            pending_votes = list(pending)
    finally:
        for vote in pending_votes:
            vote.cancel()
    return granted_count >= majority


async def _request_vote(
    replica: ReplicaInterface, request: VoteRequest, member: Member
) -> bool:
    member_request = msgspec.structs.replace(request, receiver=member.replica)
    timeout_s = replica.settings.election_timeout_s
    match await replica.channel(member.address).call(VOTE, member_request, timeout_s):
        case Ok(answer):
            await replica.observe_term(answer.term)
            return answer.is_granted
        case Err(_):
            return False
    return False
