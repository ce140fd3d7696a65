"""Elections: a pre-vote, then a vote."""

from __future__ import annotations

import asyncio

import msgspec
from result import Err, Ok

from ..clock import deadline_in, now, remaining
from ..ids import Term
from .records import VOTE, Member, VoteRequest
from .replica_parts import ReplicaParts


async def hold_election(replica: ReplicaParts) -> None:
    """Ask for pre-votes, then for votes, and lead when a majority grants them.

    Parameters
    ----------
    replica : ReplicaParts
        The candidate.
    """
    if replica.storage.unanswered_s:
        return  # a leader whose disk does not answer would commit nothing
    async with replica.lock:
        asked = Term(replica.term + 1)
        request = _vote_request(replica, asked, is_pre_vote=True)
    if not await _is_elected(replica, request):
        return
    async with replica.lock:
        if replica.term + 1 != asked or replica.is_leader_heard():
            return
        state = replica.storage.hard_state
        voted = msgspec.structs.replace(state, term=asked, voted_for=state.replica)
        await replica.storage.save_hard_state(voted)
        request = _vote_request(replica, asked, is_pre_vote=False)
    replica.postpone_election()
    asked_at = now()
    if not await _is_elected(replica, request):
        return
    async with replica.lock:
        if replica.term == asked and replica.leadership is None:
            replica.lead(asked, asked_at)


def _vote_request(replica: ReplicaParts, term: Term, is_pre_vote: bool) -> VoteRequest:
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


async def _is_elected(replica: ReplicaParts, request: VoteRequest) -> bool:
    voters = [member for member in replica.storage.members if member.is_voter]
    needed = len(voters) // 2 + 1
    granted = sum(member.replica == request.sender for member in voters)
    asks = [
        asyncio.create_task(_ask(replica, request, member))
        for member in voters
        if member.replica != request.sender
    ]
    deadline = deadline_in(replica.settings.election_timeout_s)
    try:
        while asks and granted < needed and remaining(deadline):
            done, pending = await asyncio.wait(
                asks,
                timeout=remaining(deadline),
                return_when=asyncio.FIRST_COMPLETED,
            )
            granted += sum(ask.result() for ask in done)
            asks = list(pending)
    finally:
        for ask in asks:
            ask.cancel()
    return granted >= needed


async def _ask(replica: ReplicaParts, request: VoteRequest, member: Member) -> bool:
    addressed = msgspec.structs.replace(request, receiver=member.replica)
    timeout_s = replica.settings.election_timeout_s
    match await replica.channel(member.address).call(VOTE, addressed, timeout_s):
        case Ok(answer):
            await replica.observe_term(answer.term)
            return answer.is_granted
        case Err(_):
            return False
    return False
