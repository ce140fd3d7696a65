"""Outcome of a request, and the refusals that report it."""

from __future__ import annotations

import math
from enum import Enum

import msgspec
from aiohttp import web

from ..connection.backend_api import OUTCOME_HEADER, REQUEST_ID_HEADER
from ..ids import RequestId

VERSIONS_HEADER = "Pollenlb-Weight-Versions"
CONDEMNED_STATUS = 422
SERVER_HEADER = "Pollenlb-Backend-Server"
_MAX_RETRY_AFTER_S = 86_400.0


class Outcome(Enum):
    """Whether a backend server ran a request, as reported to the caller."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Refusal(msgspec.Struct, frozen=True):
    """An error response that the entry process itself sends.

    Attributes
    ----------
    status : int
        HTTP status.
    outcome : Outcome
        Whether the request was run.
    reason : str
        Message for the caller in one sentence.
    retry_after_s : float or None
        Seconds after which the caller may retry; None when the response does not
        suggest a retry.
    field : str or None
        Request header or key of the body that is wrong.
    """

    status: int
    outcome: Outcome
    reason: str
    retry_after_s: float | None = None
    field: str | None = None


class RefusedError(Exception):
    """Ends the handling of a request; the entry answers with its refusal."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


def bad_request(
    reason: str, field: str | None = None, status: int = 400
) -> RefusedError:
    """Return the error for an invalid request, which was not run.

    Parameters
    ----------
    reason : str
        Message for the caller in one sentence.
    field : str or None
        Request header or key of the body that is wrong.
    status : int
        HTTP status of the response.
    """
    return RefusedError(Refusal(status, Outcome.NOT_RUN, reason, None, field))


def unavailable(reason: str, retry_after_s: float = 1.0) -> RefusedError:
    """Return the 503 error for a request that was not run and may be retried.

    Parameters
    ----------
    reason : str
        Message for the caller in one sentence.
    retry_after_s : float
        Seconds after which the caller may retry.
    """
    return RefusedError(Refusal(503, Outcome.NOT_RUN, reason, retry_after_s))


def parse_retry_after_s(text: str | None) -> float | None:
    """Return the seconds of a ``Retry-After`` header; None without a plausible time."""
    try:
        after_s = float(text or "")
    except ValueError:
        return None
    return after_s if 0 <= after_s <= _MAX_RETRY_AFTER_S else None


def refusal_response(refusal: Refusal, request_id: RequestId) -> web.Response:
    """Return the HTTP response for a refusal, with a JSON body."""
    headers = {
        REQUEST_ID_HEADER: request_id,
        OUTCOME_HEADER: refusal.outcome.value,
    }
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after_s)))
    error = {
        "message": refusal.reason,
        "outcome": refusal.outcome.value,
        "request_id": request_id,
    }
    if refusal.field is not None:
        error["field"] = refusal.field
    return web.Response(
        status=refusal.status,
        body=msgspec.json.encode({"error": error}),
        content_type="application/json",
        headers=headers,
    )
