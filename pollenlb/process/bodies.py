"""Bodies that an entry holds in memory for the replicated state."""

from __future__ import annotations

import hashlib

import msgspec

from ..exceptions import ControlError
from ..ids import BodyDigest, JobName, StepNumber
from .clock import Deadline, deadline_in, remaining


class BodyLabel(msgspec.Struct, frozen=True):
    """What a body belongs to, which decides how long it is held.

    Attributes
    ----------
    job : JobName or None
        Job of a prompt or a sample; None for the answer of a keyed request.
    lifetime_s : float
        Seconds for which a body without a job is held.
    """

    job: JobName | None
    step: StepNumber = StepNumber(0)
    lifetime_s: float = 0.0


class _Held(msgspec.Struct):
    label: BodyLabel
    body: bytes
    expires_at: Deadline


def digest_of(body: bytes) -> BodyDigest:
    """Return the SHA-256 digest of a body."""
    return BodyDigest(hashlib.sha256(body).hexdigest())


class BodyStore:
    """Bodies by digest, bounded in bytes.

    Parameters
    ----------
    most_bytes : int
        Greatest sum of the sizes of all bodies.
    """

    def __init__(self, most_bytes: int) -> None:
        self._most_bytes = most_bytes
        self._bytes = 0
        self._bodies: dict[BodyDigest, _Held] = {}

    def put(self, body: bytes, label: BodyLabel) -> BodyDigest:
        """Hold a body and return its digest.

        Raises
        ------
        ControlError
            When there is no room for it.
        """
        digest = digest_of(body)
        if digest in self._bodies:
            return digest
        if self._bytes + len(body) > self._most_bytes:
            self._drop_expired()
        if self._bytes + len(body) > self._most_bytes:
            raise ControlError("this entry has no room for further bodies")
        held = _Held(label, body, deadline_in(label.lifetime_s))
        self._bodies[digest] = held
        self._bytes += len(body)
        return digest

    def get(self, digest: BodyDigest) -> bytes | None:
        """Return a body, or None when it is not held."""
        held = self._bodies.get(digest)
        return held.body if held is not None else None

    def drop_steps(self, job: JobName, oldest: StepNumber) -> None:
        """Drop the bodies of a job's steps before the oldest open one."""
        ended = [
            digest
            for digest, held in self._bodies.items()
            if held.label.job == job and held.label.step < oldest
        ]
        self._drop(ended)

    def _drop_expired(self) -> None:
        expired = [
            digest
            for digest, held in self._bodies.items()
            if held.label.job is None and not remaining(held.expires_at)
        ]
        self._drop(expired)

    def _drop(self, digests: list[BodyDigest]) -> None:
        for digest in digests:
            self._bytes -= len(self._bodies.pop(digest).body)
