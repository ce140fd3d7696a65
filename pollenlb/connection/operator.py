"""An operator's connection to the entries."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import msgspec

from ..clock import deadline_in, remaining
from ..exceptions import CommandInDoubtError, ControlError, RequestRefusedError
from ..ids import CommandId, new_id
from ..settings.ctl import CtlSettings
from .trainer_messages import COMMAND_ID_HEADER

_BASE = "/pollenlb/v1"
_PAUSE_S = 0.2
_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class Unreachable(msgspec.Struct, frozen=True):
    """An address that did not answer in time.

    Attributes
    ----------
    reason : str
        Why, in a few words.
    """

    address: str
    reason: str


class OperatorConnection:
    """Queries all entries at once, and sends commands to one of them.

    Use as an asynchronous context manager.

    Parameters
    ----------
    settings : CtlSettings
        Addresses and timeouts.
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

    async def query_all(self, path: str) -> dict[str, Any | Unreachable]:
        """Ask every entry and return the answers by address."""
        addresses = self._settings.entries
        answers = await asyncio.gather(*(self._query(a, path) for a in addresses))
        return dict(zip(addresses, answers))

    async def query_any(self, path: str) -> Any:
        """Return the first answer that comes from any entry.

        Raises
        ------
        ControlError
            When no entry answered in time.
        """
        asks = [
            asyncio.create_task(self._query(address, path))
            for address in self._settings.entries
        ]
        try:
            for ask in asyncio.as_completed(asks):
                answer = await ask
                if not isinstance(answer, Unreachable):
                    return answer
        finally:
            for each in asks:
                each.cancel()
        raise ControlError(
            "no entry answered: " + ", ".join(map(str, self._settings.entries))
        )

    async def command(
        self, path: str, body: Any, command_id: CommandId | None = None
    ) -> Any:
        """Send a command until an entry has carried it out.

        Raises
        ------
        RequestRefusedError
            When it was refused.
        CommandInDoubtError
            When no answer came; repeat it with the same command id.
        """
        command_id = command_id or CommandId(new_id("command"))
        deadline = deadline_in(self._settings.command_timeout_s)
        addresses = list(self._settings.entries)
        while remaining(deadline):
            timeout_s = max(1.0, remaining(deadline) / 2)
            answer = await self._post(addresses[0], path, body, command_id, timeout_s)
            if answer is not None:
                return answer
            addresses.append(addresses.pop(0))
            await asyncio.sleep(min(_PAUSE_S, remaining(deadline)))
        raise CommandInDoubtError(
            "no entry answered; whether the command took effect is not known, "
            f"repeat it with --command-id {command_id}"
        )

    async def _query(self, address: str, path: str) -> Any | Unreachable:
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=self._settings.timeout_s)
        url = f"http://{address}{_BASE}{path}"
        try:
            async with self._session.get(url, timeout=timeout) as response:
                body = await response.read()
                if response.status != 200:
                    return Unreachable(address, _message(body))
                return msgspec.json.decode(body)
        except (*_ERRORS, msgspec.DecodeError) as error:
            return Unreachable(address, str(error) or "no answer in time")

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
        url = f"http://{address}{_BASE}{path}"
        try:
            async with self._session.post(
                url, data=msgspec.json.encode(body), headers=headers, timeout=timeout
            ) as response:
                text = await response.read()
        except _ERRORS:
            return None
        if response.status >= 500:
            return None
        if response.status >= 400:
            raise RequestRefusedError(_message(text), response.status)
        return msgspec.json.decode(text)


def _message(body: bytes) -> str:
    try:
        answer = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return body[:200].decode(errors="replace")
    if "winner" in answer:
        winner = answer["winner"] or {}
        return (
            f"another change came first: revision {winner.get('revision')} by "
            f"{winner.get('operator') or 'an operator'} set {winner.get('changes')}; "
            f"revision {answer['revision']} is in force"
        )
    return answer.get("error", {}).get("message", str(answer))
