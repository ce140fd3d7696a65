"""An entry's connection to one backend server."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from ..durable.configuration_commands import Announcement, ServerState
from ..ids import BackendServerName, BootId, WeightVersion
from ..process.clock import Deadline, deadline_in, now, sleep_until
from ..process.events import EventLog
from ..settings.entry import EntrySettings
from .backend_api import PROBE_PATH, ProbeAnswer, decode_probe
from .load import ServerLoad
from .sessions import ConnectionLostError

_PROBE_ERRORS = (aiohttp.ClientError, ConnectionLostError, TimeoutError, OSError)


class BackendServer:
    """What an entry knows of a backend server at first hand.

    Parameters
    ----------
    announcement : Announcement
        What the backend server told when it announced itself.
    settings : EntrySettings
        Probe interval and time of use.
    session : aiohttp.ClientSession
        Connections to backend servers.
    events : EventLog
        Gets changes of state.
    """

    def __init__(
        self,
        announcement: Announcement,
        settings: EntrySettings,
        session: aiohttp.ClientSession,
        events: EventLog,
    ) -> None:
        self._announcement = announcement
        self._settings = settings
        self._session = session
        self._events = events
        self._boot = announcement.boot
        self._usable_until = Deadline(0.0)
        self._is_leaving = announcement.state is ServerState.LEAVING
        self._version: WeightVersion | None = None
        self._load = ServerLoad(announcement.slots)
        self._was_usable = False
        self._task: asyncio.Task | None = None

    @property
    def name(self) -> BackendServerName:
        """Name of the backend server."""
        return self._announcement.server

    @property
    def announcement(self) -> Announcement:
        """What the backend server told when it announced itself."""
        return self._announcement

    @property
    def boot(self) -> BootId:
        """Boot id that it told last."""
        return self._boot

    @property
    def version(self) -> WeightVersion | None:
        """Whole weight version that it serves, or None."""
        return self._version

    @property
    def url(self) -> str:
        """Base of its URLs."""
        return f"http://{self._announcement.address}"

    @property
    def is_usable(self) -> bool:
        """Whether it may get new work: it answered lately and is not leaving."""
        return not self._is_leaving and now() < self._usable_until

    @property
    def is_leaving(self) -> bool:
        """Whether it said that it is leaving."""
        return self._is_leaving

    @property
    def load(self) -> ServerLoad:
        """Its load and speed, as this entry sees them."""
        return self._load

    def start(self) -> None:
        """Start to probe."""
        self._task = asyncio.get_running_loop().create_task(self._probe())

    async def stop(self) -> None:
        """Stop to probe."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def update(self, announcement: Announcement) -> None:
        """Take note of a new announcement."""
        if announcement.state is ServerState.LEAVING:
            self._leave()
        elif announcement.boot != self._announcement.boot:
            self._is_leaving = False
        self._announcement = announcement

    def note_answer(self, latency_s: float) -> None:
        """Take note of a whole answer."""
        self._usable_until = deadline_in(self._settings.usable_s)
        self._load.note_latency(latency_s)

    def note_failure(self) -> None:
        """Give no new work until the next answer to a probe."""
        self._usable_until = Deadline(0.0)
        self._note_usability()

    async def has_crashed(self, boot: BootId) -> bool:
        """Tell whether the process with a boot id is gone.

        Parameters
        ----------
        boot : BootId
            Boot id at the time the connection broke.
        """
        answer = await self._ask()
        return answer is None or answer.boot != boot

    async def _probe(self) -> None:
        while True:
            started_at = now()
            await self._probe_once()
            self._note_usability()
            await sleep_until(Deadline(started_at + self._settings.probe_interval_s))

    async def _probe_once(self) -> None:
        sent_at = now()
        answer = await self._ask()
        if answer is None:
            return
        if answer.state is ServerState.LEAVING:
            self._leave()
        elif answer.boot != self._boot:
            self._is_leaving = False
            self._events.record("server.rebooted", server=self.name, boot=answer.boot)
        self._boot = answer.boot
        self._version = answer.version
        self._load.note_report(answer.in_flight)
        self._usable_until = Deadline(sent_at + self._settings.usable_s)

    async def _ask(self) -> ProbeAnswer | None:
        timeout = aiohttp.ClientTimeout(total=self._settings.probe_interval_s)
        try:
            url = self.url + PROBE_PATH
            async with self._session.get(url, timeout=timeout) as response:
                return decode_probe(await response.read())
        except (*_PROBE_ERRORS, msgspec.MsgspecError):
            return None

    def _leave(self) -> None:
        if not self._is_leaving:
            self._is_leaving = True
            self._events.record("server.leaving", server=self.name)

    def _note_usability(self) -> None:
        if self.is_usable != self._was_usable:
            self._was_usable = self.is_usable
            kind = "server.usable" if self._was_usable else "server.unusable"
            self._events.record(kind, server=self.name)
