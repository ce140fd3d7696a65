"""Records of the replicated log and the messages between replicas."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..connection.rpc import Method
from ..ids import (
    Address,
    ClusterId,
    FailureDomain,
    FormatVersion,
    InstanceName,
    LogIndex,
    ReplicaId,
    Term,
)
from ..release import UNREPORTED, Release

_SERVICE = "pollenlb.Replication"


class EntryKind(Enum):
    """Kind of payload of a log entry.

    Attributes
    ----------
    NO_OP
        Empty; a new leader commits one to learn which entries are committed.
    COMMAND
        A command for the state machine.
    MEMBERS
        A new list of members.
    """

    NO_OP = "no-op"
    COMMAND = "command"
    MEMBERS = "members"


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One replica of the replicated log.

    Attributes
    ----------
    replica : ReplicaId
        Identity of the data folder: a new folder gets a new one.
    instance : InstanceName
        Control instance on which the replica runs.
    address : Address
        Address of the gRPC server of the replica.
    is_voter : bool
        False for a learner, which receives log entries but does not vote.
    failure_domain : FailureDomain
        Empty until the replica has reported it.
    """

    replica: ReplicaId
    instance: InstanceName
    address: Address
    is_voter: bool
    failure_domain: FailureDomain = FailureDomain("")


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log, with the term in which it was appended."""

    term: Term
    index: LogIndex
    kind: EntryKind
    payload: bytes


class HardState(msgspec.Struct, frozen=True):
    """State that a replica must persist: its identity, its term and its vote.

    Attributes
    ----------
    voted_for : ReplicaId or None
        Candidate that it voted for in the term, if any.
    format : FormatVersion
        Newest format that the data folder may hold.
    """

    replica: ReplicaId
    cluster: ClusterId
    term: Term
    voted_for: ReplicaId | None = None
    format: FormatVersion = FormatVersion(0)


class Snapshot(msgspec.Struct, frozen=True):
    """State up to a log index, which replaces the log entries up to it.

    Attributes
    ----------
    term, index : int
        Term and index of the last log entry that the snapshot includes.
    members : list of Member
        Members at that index.
    state : bytes
        The state machine in serialized form; empty where it is stored or sent apart.
    """

    term: Term
    index: LogIndex
    members: list[Member]
    state: bytes


class VoteRequest(msgspec.Struct, frozen=True):
    """Request for a vote; a pre-vote only asks whether it would be granted.

    Attributes
    ----------
    term : Term
        Term in which the sender stands as a candidate.
    last_term, last_index : int
        Term and index of the last log entry of the sender.
    """

    cluster: ClusterId
    sender: ReplicaId
    receiver: ReplicaId
    term: Term
    last_term: Term
    last_index: LogIndex
    is_pre_vote: bool


class VoteAnswer(msgspec.Struct, frozen=True):
    """Answer to a request for a vote, with the term of the receiver."""

    term: Term
    is_granted: bool


class AppendRequest(msgspec.Struct, frozen=True):
    """Log entries that come after a previous one; without any, a heartbeat.

    Attributes
    ----------
    previous_term, previous_index : int
        Term and index of the log entry just before the first one sent.
    commit_index : LogIndex
        Index up to which the leader has committed.
    format : FormatVersion
        Newest format that the log may hold from now on.
    """

    cluster: ClusterId
    sender: ReplicaId
    receiver: ReplicaId
    term: Term
    previous_term: Term
    previous_index: LogIndex
    commit_index: LogIndex
    leader_address: Address
    entries: list[LogEntry]
    format: FormatVersion = FormatVersion(0)


class AppendAnswer(msgspec.Struct, frozen=True):
    """Answer to log entries or a snapshot: what the receiver has synced.

    Attributes
    ----------
    is_known : bool
        False when the receiver is not the replica that was addressed.
    is_matching : bool
        Whether the receiver has the previous log entry, with the same term.
    last_index : LogIndex
        Last index that matches the leader's log; without a match, the index
        after which the leader should try next.
    instance, failure_domain : str
        Where the receiver runs; empty when it is not the one that was addressed.
    received_bytes : int or None
        Bytes received of a snapshot that is not complete yet; None otherwise.
    release : Release
        Release that the receiver runs.
    """

    term: Term
    is_known: bool
    is_matching: bool
    last_index: LogIndex
    instance: InstanceName = InstanceName("")
    failure_domain: FailureDomain = FailureDomain("")
    received_bytes: int | None = None
    release: Release = UNREPORTED


class SnapshotPart(msgspec.Struct, frozen=True):
    """A part of a snapshot.

    Attributes
    ----------
    snapshot : Snapshot
        The snapshot with this part of its state only.
    offset : int
        Bytes of the state before this part.
    total_bytes, checksum : int
        Length and CRC-32 of the complete state.
    """

    snapshot: Snapshot
    offset: int
    total_bytes: int
    checksum: int


class SnapshotRequest(msgspec.Struct, frozen=True):
    """A complete snapshot, as replicas of earlier releases send it."""

    cluster: ClusterId
    sender: ReplicaId
    receiver: ReplicaId
    term: Term
    leader_address: Address
    snapshot: Snapshot


class SnapshotPartRequest(msgspec.Struct, frozen=True):
    """Part of a snapshot, as replicas of earlier releases send it."""

    cluster: ClusterId
    sender: ReplicaId
    receiver: ReplicaId
    term: Term
    leader_address: Address
    part: SnapshotPart


class SnapshotBlockRequest(msgspec.Struct, frozen=True):
    """Block of a snapshot file for a replica whose next log entries were dropped.

    Attributes
    ----------
    head : Snapshot
        The snapshot without its state.
    offset : int
        Bytes of the file before the block.
    total_bytes : int
        Size of the file.
    data : bytes
        The block.
    format : FormatVersion
        Newest format that the log and its snapshots may hold.
    """

    cluster: ClusterId
    sender: ReplicaId
    receiver: ReplicaId
    term: Term
    leader_address: Address
    head: Snapshot
    offset: int
    total_bytes: int
    data: bytes
    format: FormatVersion = FormatVersion(0)


class JoinRequest(msgspec.Struct, frozen=True):
    """Request of a replica with an empty data folder to become a learner."""

    replica: ReplicaId
    instance: InstanceName
    address: Address
    failure_domain: FailureDomain = FailureDomain("")
    release: Release = UNREPORTED


class JoinAnswer(msgspec.Struct, frozen=True):
    """Answer to a request to join.

    Attributes
    ----------
    cluster : ClusterId or None
        The cluster that was joined, or None when refused.
    leader : Address
        Address of the leader, to be asked instead; empty when it is not known.
    reason : str
        Why the request was refused; empty when it was accepted.
    """

    cluster: ClusterId | None
    leader: Address
    reason: str = ""


VOTE = Method(_SERVICE, "Vote", VoteRequest, VoteAnswer)
APPEND = Method(_SERVICE, "Append", AppendRequest, AppendAnswer)
SNAPSHOT = Method(_SERVICE, "Snapshot", SnapshotRequest, AppendAnswer)
SNAPSHOT_PART = Method(_SERVICE, "SnapshotPart", SnapshotPartRequest, AppendAnswer)
SNAPSHOT_BLOCK = Method(_SERVICE, "SnapshotBlock", SnapshotBlockRequest, AppendAnswer)
JOIN = Method(_SERVICE, "Join", JoinRequest, JoinAnswer)

_encode = msgspec.msgpack.Encoder().encode
_decode_members = msgspec.msgpack.Decoder(list[Member]).decode


def encode_members(members: list[Member]) -> bytes:
    """Return the payload of a log entry of kind ``MEMBERS``."""
    return _encode(members)


def decode_members(payload: bytes) -> list[Member]:
    """Return the members in the payload of a log entry of kind ``MEMBERS``."""
    return _decode_members(payload)
