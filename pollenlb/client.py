"""Client for trainers: jobs, steps and numbered batches."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

import aiohttp
import msgspec

from .clock import Deadline, deadline_in, remaining_time_s
from .connection.trainer_messages import COMMAND_ID_HEADER, DeliveredBatch, JobBody
from .exceptions import ControlError, RequestRefusedError
from .ids import BatchNumber, JobName, StepNumber, WeightVersion, new_id

__all__ = ["DeliveredBatch", "JobBody", "TrainerClient"]

_ATTEMPT_TIMEOUT_S = 30.0
_PULL_WAIT_S = 10.0
_RETRY_PAUSE_S = 0.2
_CONNECTION_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)

_decode_batch = msgspec.json.Decoder(DeliveredBatch).decode


class TrainerClient:
    """Client of the entry processes, through a load balancer or directly.

    Requests are retried at the next URL after a connection error or a 5xx
    answer. Every command has an idempotency key, so that a retry does not
    execute it twice. Use as an asynchronous context manager.

    Every call raises ``ControlError`` when no entry answered in time, and
    ``RequestRefusedError`` when an entry refused the request with a 4xx status.

    Parameters
    ----------
    urls : sequence of str
        Base URLs of entry processes or of their load balancer.
    timeout_s : float
        Seconds after which a call makes no further attempt.
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
        """Create a job; has no effect if a job with the same settings exists."""
        await self._command("/pollenlb/v1/jobs", job)

    async def submit_step(
        self, job: JobName, step: StepNumber, prompts: Sequence[str]
    ) -> None:
        """Submit the prompts of a step; each prompt gets one group of samples."""
        body = {"step": step, "prompts": list(prompts)}
        await self._command(f"/pollenlb/v1/jobs/{job}/steps", body)

    async def set_version(self, job: JobName, version: WeightVersion) -> None:
        """Report the weight version that the trainer has reached."""
        await self._command(f"/pollenlb/v1/jobs/{job}/version", {"version": version})

    async def release(self, service: str, version: WeightVersion) -> None:
        """Release weights to the engines of a service."""
        body = {"service": service, "version": version}
        await self._command("/pollenlb/v1/operator/releases", body)

    async def pull(self, job: JobName, number: BatchNumber) -> DeliveredBatch:
        """Return a batch as soon as it is complete.

        Pulling batch k + 1 acknowledges batch k. Until then, pulling batch k
        again returns the same batch.

        Raises
        ------
        ControlError
            When the batch is not complete after ``timeout_s`` seconds.
        RequestRefusedError
            When the number is not the next one.
        """
        deadline = deadline_in(self._timeout_s)
        path = f"/pollenlb/v1/jobs/{job}/batches/{number}?wait={_PULL_WAIT_S:g}"
        while True:
            status, body = await self._send("GET", path, None, {}, deadline)
            if status == 200:
                return _decode_batch(body)
            if not remaining_time_s(deadline):
                raise ControlError(
                    f"batch {number} of job {job} was not complete within "
                    f"{self._timeout_s:g} s"
                )

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
            answer = await self._send_once(method, path, body, headers)
            if answer is not None and answer[0] < 500:
                status, text = answer
                if status >= 400:
                    raise RequestRefusedError(_error_message(text), status)
                return answer
            if not remaining_time_s(deadline):
                raise ControlError(
                    f"no entry answered {method} {path} within {self._timeout_s:g} s"
                )
            self._urls.append(self._urls.pop(0))
            await asyncio.sleep(min(_RETRY_PAUSE_S, remaining_time_s(deadline)))

    async def _send_once(
        self, method: str, path: str, body: bytes | None, headers: dict[str, str]
    ) -> tuple[int, bytes] | None:
        assert self._session is not None
        try:
            async with self._session.request(
                method, self._urls[0] + path, data=body, headers=headers
            ) as response:
                return response.status, await response.read()
        except _CONNECTION_ERRORS:
            return None


def _error_message(text: bytes) -> str:
    """Return the message in the body of an error answer."""
    try:
        return msgspec.json.decode(text)["error"]["message"]
    except (msgspec.DecodeError, KeyError, TypeError):
        return text[:200].decode(errors="replace")
