"""Services of reward calls that are slow, lose answers and fail, and their checks."""

from __future__ import annotations

import base64
import random
import zlib

from aiohttp import web

from fakes.platform_scorer import PlatformScorer, proof
from tests.platform.platform_system import HOST

SCORERS = "scorers"
SCORE_PATH_PREFIX = "/scores/"
# One attempt in five is lost, in one of the four ways; the slowest takes a second.
_LOST_RATIO = 0.2
_MAX_PROCESSING_S = 1.0
# Of the scored items, one in this many is never scored.
_FAILING_ITEM_INTERVAL = 11


class FaultyScorer(PlatformScorer):
    """Answers slowly at times, loses answers, and always fails for some items.

    Parameters
    ----------
    rng : random.Random
        Draws the faults.
    """

    def __init__(self, *args, rng: random.Random) -> None:
        super().__init__(*args)
        self._rng = rng

    async def _stream(
        self, request: web.Request, body: bytes, last_event_id: int
    ) -> web.StreamResponse:
        request_id = request.headers["X-Request-Id"]
        if always_fails(request_id):
            return web.Response(status=500, headers={"X-Request-Id": request_id})
        if self._rng.random() < _LOST_RATIO:
            faults = (
                self.silent_ids,
                self.aborted_ids,
                self.truncated_ids,
                self.swapped_ids,
            )
            self._rng.choice(faults).add(request_id)
        self.processing_s = _MAX_PROCESSING_S * self._rng.random() ** 3
        return await super()._stream(request, body, last_event_id)


def reward_call(item: str) -> dict | None:
    """Return the reward call of an item in the platform's format.

    Every second item has one, by the number at the end of its name.
    """
    if int(item.rpartition("-")[2]) % 2:
        return None
    return {
        "id": _request_id(item),
        "host": HOST,
        "path": SCORE_PATH_PREFIX + item,
        "body": base64.b64encode(item.encode()).decode(),
    }


def find_violation(result: dict) -> str | None:
    """Return what is wrong with state and score of a result, or None."""
    item, state = result["id"], result["state"]
    if reward_call(item) is None:
        if state != "completed" or "score" in result:
            return f"{item}: item without a reward call is {state}"
        return None
    if always_fails(_request_id(item)):
        return f"{item}: item was scored by a 500" if state == "completed" else None
    if state != "completed":
        return f"{item}: item expired"
    if result.get("score") != proof(_request_id(item)):
        return f"{item}: item has the score {result.get('score')}"
    return None


def always_fails(request_id: str) -> bool:
    """Return whether every run of a reward call fails."""
    return zlib.crc32(request_id.encode()) % _FAILING_ITEM_INTERVAL == 0


def _request_id(item: str) -> str:
    return f"score-{item}"
