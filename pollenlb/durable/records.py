"""Records of the replicated log and the messages between its replicas."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..connection.rpc import Method
from ..ids import (
    Address,
    ClusterId,
    FailureDomain,
    InstanceName,
    LogIndex,
    ReplicaId,
    Term,
)

_SERVICE = "pollenlb.Replication"


class EntryKind(Enum):
    """What a log entry holds."""

    NO_OP = "no-op"
    COMMAND = "command"
    MEMBERS = "members"


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One replica of the log.

    Attributes
    ----------
    replica : ReplicaId
        Identity, new for each data folder.
    instance : InstanceName
        Control instance that holds the data folder.
    address : Address
        Where the replica listens.
    is_voter : bool
        False for a learner, which receives entries but does not vote.
    failure_domain : FailureDomain
        Empty until the replica has told it.
    """

    replica: ReplicaId
    instance: InstanceName
    address: Address
    is_voter: bool
    failure_domain: FailureDomain = FailureDomain("")


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log."""

    term: Term
    index: LogIndex
    kind: EntryKind
    payload: bytes


class HardState(msgspec.Struct, frozen=True):
    """What a replica must not forget: who it is and how it voted."""

    replica: ReplicaId
    cluster: ClusterId
    term: Term
    voted_for: ReplicaId | None = None


class Snapshot(msgspec.Struct, frozen=True):
    """State up to an index, in place of the entries before it."""

    term: Term
    index: LogIndex
    members: list[Member]
    state: bytes


class VoteRequest(msgspec.Struct, frozen=True):
    """Asks for a vote; a pre-vote asks only whether it would be given."""

    cluster: ClusterId
    sender: ReplicaId
    receiver: ReplicaId
    term: Term
    last_term: Term
    last_index: LogIndex
    is_pre_vote: bool


class VoteAnswer(msgspec.Struct, frozen=True):
    """Answer to a request for a vote."""

    term: Term
    is_granted: bool


class AppendRequest(msgspec.Struct, frozen=True):
    """Entries that follow on a previous one; without any, a heartbeat."""

    cluster: ClusterId
    sender: ReplicaId
    receiver: ReplicaId
    term: Term
    previous_term: Term
    previous_index: LogIndex
    commit_index: LogIndex
    leader_address: Address
    entries: list[LogEntry]


class AppendAnswer(msgspec.Struct, frozen=True):
    """Tells what the receiver's log holds, synced.

    Attributes
    ----------
    is_known : bool
        False when the receiver is not the replica that was addressed.
    is_matching : bool
        Whether the previous entry was found.
    last_index : LogIndex
        Last index known to match, or a hint where to try next.
    instance, failure_domain : str
        Where the receiver runs; empty when it is not the one addressed.
    """

    term: Term
    is_known: bool
    is_matching: bool
    last_index: LogIndex
    instance: InstanceName = InstanceName("")
    failure_domain: FailureDomain = FailureDomain("")


class SnapshotRequest(msgspec.Struct, frozen=True):
    """A whole snapshot for a replica whose next entries are gone."""

    cluster: ClusterId
    sender: ReplicaId
    receiver: ReplicaId
    term: Term
    leader_address: Address
    snapshot: Snapshot


class JoinRequest(msgspec.Struct, frozen=True):
    """A replica with an empty data folder asks to be a learner."""

    replica: ReplicaId
    instance: InstanceName
    address: Address
    failure_domain: FailureDomain = FailureDomain("")


class JoinAnswer(msgspec.Struct, frozen=True):
    """Answer to a replica that wants to join.

    Attributes
    ----------
    cluster : ClusterId or None
        The cluster that was joined, or None when refused.
    leader : Address
        Where to ask instead, or an empty string.
    reason : str
        Why it was refused.
    """

    cluster: ClusterId | None
    leader: Address
    reason: str = ""


VOTE = Method(_SERVICE, "Vote", VoteRequest, VoteAnswer)
APPEND = Method(_SERVICE, "Append", AppendRequest, AppendAnswer)
SNAPSHOT = Method(_SERVICE, "Snapshot", SnapshotRequest, AppendAnswer)
JOIN = Method(_SERVICE, "Join", JoinRequest, JoinAnswer)

_encode = msgspec.msgpack.Encoder().encode
_decode_members = msgspec.msgpack.Decoder(list[Member]).decode


def encode_members(members: list[Member]) -> bytes:
    """Return the payload of a members entry."""
    return _encode(members)


def decode_members(payload: bytes) -> list[Member]:
    """Return the members that a members entry holds."""
    return _decode_members(payload)
