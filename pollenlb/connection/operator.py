"""HTTP client of the entry processes, for an operator."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import msgspec

from ..clock import deadline_in, remaining_time_s
from ..exceptions import CommandInDoubtError, ControlError, RequestRefusedError
from ..ids import CommandId, new_id
from ..settings.ctl import CtlSettings
from .trainer_messages import COMMAND_ID_HEADER

_BASE_PATH = "/pollenlb/v1"
_RETRY_PAUSE_S = 0.2
_CONNECTION_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class QueryFailure(msgspec.Struct, frozen=True):
    """A failed query: no answer in time, an error status or an invalid body.

    Attributes
    ----------
    address : str
        Address of the entry process.
    reason : str
        Error message of the answer, or of the connection.
    """

    address: str
    reason: str


class OperatorConnection:
    """Queries entry processes concurrently, and sends commands to one at a time.

    Use as an asynchronous context manager.

    Parameters
    ----------
    settings : CtlSettings
        Addresses of the entry processes, and timeouts.
    """

    def __init__(self, settings: CtlSettings) -> None:
        self._settings = settings
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> OperatorConnection:
        self._session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *exception: object) -> None:
        assert self._session is not None
        await self._session.close()

    async def query_all(self, path: str) -> dict[str, Any | QueryFailure]:
        """Query every entry process and return the decoded answers by address."""
        addresses = self._settings.entries
        answers = await asyncio.gather(
            *(self._query(address, path) for address in addresses)
        )
        return dict(zip(addresses, answers))

    async def query_any(self, path: str) -> Any:
        """Query every entry process and return the first decoded answer.

        Raises
        ------
        ControlError
            When every query failed.
        """
        queries = [
            asyncio.create_task(self._query(address, path))
            for address in self._settings.entries
        ]
        try:
            for query in asyncio.as_completed(queries):
                answer = await query
                if not isinstance(answer, QueryFailure):
                    return answer
        finally:
            for task in queries:
                task.cancel()
        raise ControlError(
            f"no entry answered GET {path}: "
            + ", ".join(map(str, self._settings.entries))
        )

    async def send_command(
        self, path: str, body: Any, command_id: CommandId | None = None
    ) -> Any:
        """Send a command to one entry after another until one has executed it.

        Parameters
        ----------
        path : str
            Path of the endpoint, after the version prefix.
        body : object
            Body to send as JSON.
        command_id : CommandId or None
            Idempotency key, the same for all attempts; None for a new one.

        Returns
        -------
        object
            Decoded body of the answer.

        Raises
        ------
        RequestRefusedError
            When an entry refused the command with a 4xx status.
        CommandInDoubtError
            When no entry confirmed the command within ``command_timeout_s``. It
            is safe to repeat it with the same command id.
        """
        command_id = command_id or CommandId(new_id("command"))
        deadline = deadline_in(self._settings.command_timeout_s)
        addresses = list(self._settings.entries)
        while remaining_time_s(deadline):
            timeout_s = max(1.0, remaining_time_s(deadline) / 2)
            answer = await self._post(addresses[0], path, body, command_id, timeout_s)
            if answer is not None:
                return answer
            addresses.append(addresses.pop(0))
            await asyncio.sleep(min(_RETRY_PAUSE_S, remaining_time_s(deadline)))
        raise CommandInDoubtError(
            f"no entry confirmed POST {path} within "
            f"{self._settings.command_timeout_s:g} s; whether the command took effect "
            f"is not known, repeat it with --command-id {command_id}"
        )

    async def _query(self, address: str, path: str) -> Any | QueryFailure:
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=self._settings.timeout_s)
        url = f"http://{address}{_BASE_PATH}{path}"
        try:
            async with self._session.get(url, timeout=timeout) as response:
                body = await response.read()
                if response.status != 200:
                    return QueryFailure(address, _error_message(body))
                return msgspec.json.decode(body)
        except (*_CONNECTION_ERRORS, msgspec.DecodeError) as error:
            return QueryFailure(
                address,
                str(error) or f"no answer within {self._settings.timeout_s:g} s",
            )

    async def _post(
        self,
        address: str,
        path: str,
        body: Any,
        command_id: CommandId,
        timeout_s: float,
    ) -> Any | None:
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        headers = {COMMAND_ID_HEADER: command_id}
        url = f"http://{address}{_BASE_PATH}{path}"
        try:
            async with self._session.post(
                url, data=msgspec.json.encode(body), headers=headers, timeout=timeout
            ) as response:
                text = await response.read()
        except _CONNECTION_ERRORS:
            return None
        if response.status >= 500:
            return None
        if response.status >= 400:
            raise RequestRefusedError(_error_message(text), response.status)
        return msgspec.json.decode(text)


def _error_message(body: bytes) -> str:
    """Return the reason in the body of an error answer, in one sentence."""
    try:
        answer = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return body[:200].decode(errors="replace")
    if "winner" in answer:
        winner = answer["winner"] or {}
        return (
            "the configuration was changed concurrently: revision "
            f"{winner.get('revision')} by {winner.get('operator') or 'an operator'} "
            f"set {winner.get('changes')}; revision {answer['revision']} is current"
        )
    return answer.get("error", {}).get("message", str(answer))
