"""Client for trainers: jobs, steps and numbered batches."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

import aiohttp
import msgspec

from .clock import Deadline, deadline_in, remaining
from .connection.trainer_messages import COMMAND_ID_HEADER, DeliveredBatch, JobBody
from .exceptions import ControlError, RequestRefusedError
from .ids import BatchNumber, JobName, StepNumber, WeightVersion, new_id

__all__ = ["DeliveredBatch", "JobBody", "TrainerClient"]

_ATTEMPT_TIMEOUT_S = 30.0
_PULL_WAIT_S = 10.0
_PAUSE_S = 0.2
_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)

_decode_batch = msgspec.json.Decoder(DeliveredBatch).decode


class TrainerClient:
    """Speaks to the entries, through the balancer or directly.

    Every command carries an id, so that it is safe to send it again. Use as
    an asynchronous context manager.

    Parameters
    ----------
    urls : sequence of str
        Base URLs, tried in turn.
    timeout_s : float
        Seconds after which a call gives up.
    """

    def __init__(self, urls: Sequence[str], timeout_s: float = 60.0) -> None:
        self._urls = list(urls)
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> TrainerClient:
        timeout = aiohttp.ClientTimeout(total=_ATTEMPT_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(self, *exception: object) -> None:
        assert self._session is not None
        await self._session.close()

    async def create_job(self, job: JobBody) -> None:
        """Create a job; the same settings again do nothing."""
        await self._command("/pollenlb/v1/jobs", job)

    async def submit_step(
        self, job: JobName, step: StepNumber, prompts: Sequence[str]
    ) -> None:
        """Submit the prompts of a step; each gets one group of samples."""
        body = {"step": step, "prompts": list(prompts)}
        await self._command(f"/pollenlb/v1/jobs/{job}/steps", body)

    async def set_version(self, job: JobName, version: WeightVersion) -> None:
        """Tell the weight version that the trainer has reached."""
        await self._command(f"/pollenlb/v1/jobs/{job}/version", {"version": version})

    async def release(self, service: str, version: WeightVersion) -> None:
        """Release weights to the engines of a service."""
        body = {"service": service, "version": version}
        await self._command("/pollenlb/v1/operator/releases", body)

    async def pull(self, job: JobName, number: BatchNumber) -> DeliveredBatch:
        """Return a batch as soon as it is whole.

        Asking for batch k + 1 acknowledges batch k. The same number gives the
        same batch until then.

        Raises
        ------
        ControlError
            When the batch is not whole in time.
        RequestRefusedError
            When the number is not the next one.
        """
        deadline = deadline_in(self._timeout_s)
        path = f"/pollenlb/v1/jobs/{job}/batches/{number}?wait={_PULL_WAIT_S:g}"
        while True:
            status, body = await self._send("GET", path, None, {}, deadline)
            if status == 200:
                return _decode_batch(body)
            if not remaining(deadline):
                raise ControlError(f"batch {number} was not whole in time")

    async def _command(self, path: str, body: Any) -> None:
        headers = {COMMAND_ID_HEADER: new_id("trainer")}
        deadline = deadline_in(self._timeout_s)
        await self._send("POST", path, msgspec.json.encode(body), headers, deadline)

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
        deadline: Deadline,
    ) -> tuple[int, bytes]:
        while True:
            answer = await self._try(method, path, body, headers)
            if answer is not None and answer[0] < 500:
                status, text = answer
                if status >= 400:
                    raise RequestRefusedError(_message(text), status)
                return answer
            if not remaining(deadline):
                raise ControlError(f"no entry answered {method} {path} in time")
            self._urls.append(self._urls.pop(0))
            await asyncio.sleep(min(_PAUSE_S, remaining(deadline)))

    async def _try(
        self, method: str, path: str, body: bytes | None, headers: dict[str, str]
    ) -> tuple[int, bytes] | None:
        assert self._session is not None
        try:
            async with self._session.request(
                method, self._urls[0] + path, data=body, headers=headers
            ) as response:
                return response.status, await response.read()
        except _ERRORS:
            return None


def _message(text: bytes) -> str:
    try:
        return msgspec.json.decode(text)["error"]["message"]
    except (msgspec.DecodeError, KeyError, TypeError):
        return text[:200].decode(errors="replace")
