"""An entry's connection to one backend server."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp

from ..clock import Deadline, deadline_in, now, sleep_until
from ..durable.configuration_commands import Announcement, ServerState
from ..events import EventLog
from ..ids import BackendServerName, BootId, ModelName, WeightVersion
from ..settings.entry import EntrySettings
from .backend_api import ProbeAnswer
from .load import ServerLoad

AskServer = Callable[
    [aiohttp.ClientSession, Announcement, float], Awaitable[ProbeAnswer | None]
]

_NO_VERSION = WeightVersion(-1)
_FIRST_PAUSE_S = 0.4
_MOST_PAUSE_S = 3.2
_CRASH_PROBE_TIMEOUT_S = 0.8


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
    ask : callable
        Sends a probe; gets the session, the announcement and a timeout in
        seconds, and returns the answer or None.
    """

    def __init__(
        self,
        announcement: Announcement,
        settings: EntrySettings,
        session: aiohttp.ClientSession,
        events: EventLog,
        ask: AskServer,
    ) -> None:
        self._ask_server = ask
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
        self._failures = 0
        self._paused_until = Deadline(0.0)
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

    def version_of(self, model: ModelName) -> WeightVersion:
        """Return the version of a model that it serves; 0 when it is not told.

        An engine that announces no models tells its version when it is probed,
        and none while it changes weights.
        """
        if self._announcement.models or not self._is_probed:
            return self._announcement.models.get(model, WeightVersion(0))
        return self._version if self._version is not None else _NO_VERSION

    @property
    def url(self) -> str:
        """Base of its URLs."""
        return f"http://{self._announcement.address}"

    @property
    def is_usable(self) -> bool:
        """Whether it may get new work and is likely to answer.

        With probes it must have answered lately. Without, each failure in a
        row doubles the time for which it is left alone.
        """
        if self._is_leaving:
            return False
        if self._is_probed:
            return now() < self._usable_until
        return now() >= self._paused_until

    @property
    def may_get_work(self) -> bool:
        """Whether it may get new work, though it may not answer."""
        return self.is_usable or not (self._is_probed or self._is_leaving)

    @property
    def is_leaving(self) -> bool:
        """Whether it said that it is leaving."""
        return self._is_leaving

    @property
    def load(self) -> ServerLoad:
        """Its load and speed, as this entry sees them."""
        return self._load

    @property
    def _is_probed(self) -> bool:
        return self._settings.probe_interval_s > 0

    def start(self) -> None:
        """Start to probe, if the settings say so."""
        if not self._is_probed:
            return
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
        if not self._is_probed:
            self._boot = announcement.boot
        self._announcement = announcement

    def record_answer(self, latency_s: float) -> None:
        """Take note of a whole answer."""
        self._usable_until = deadline_in(self._settings.usable_s)
        self._failures = 0
        self._paused_until = Deadline(0.0)
        self._load.note_latency(latency_s)

    def record_failure(self) -> None:
        """Give no new work until the next answer to a probe, or for a while."""
        self._usable_until = Deadline(0.0)
        pause_s = min(_MOST_PAUSE_S, _FIRST_PAUSE_S * 2**self._failures)
        self._failures += 1
        self._paused_until = deadline_in(pause_s)
        self._note_usability()

    async def has_crashed(self, boot: BootId) -> bool:
        """Tell whether the process with a boot id is gone.

        Parameters
        ----------
        boot : BootId
            Boot id at the time the connection broke.
        """
        answer = await self._ask(_CRASH_PROBE_TIMEOUT_S)
        return answer is None or answer.boot != boot

    async def _probe(self) -> None:
        while True:
            started_at = now()
            await self._probe_once()
            self._note_usability()
            await sleep_until(Deadline(started_at + self._settings.probe_interval_s))

    async def _probe_once(self) -> None:
        sent_at = now()
        answer = await self._ask(self._settings.probe_interval_s)
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

    async def _ask(self, timeout_s: float) -> ProbeAnswer | None:
        return await self._ask_server(self._session, self._announcement, timeout_s)

    def _leave(self) -> None:
        if not self._is_leaving:
            self._is_leaving = True
            self._events.record("server.leaving", server=self.name)

    def _note_usability(self) -> None:
        if self.is_usable != self._was_usable:
            self._was_usable = self.is_usable
            kind = "server.usable" if self._was_usable else "server.unusable"
            self._events.record(kind, server=self.name)
