"""State of one backend server, as observed by an entry process."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Awaitable, Callable
from typing import Protocol

import aiohttp

from ..clock import Deadline, deadline_in, now, sleep_until
from ..durable.configuration_commands import Announcement, ServerState
from ..events import EventLog
from ..ids import (
    BackendServerName,
    BootId,
    ModelName,
    RequestId,
    SoftwareVersion,
    WeightVersion,
)
from ..scheduling.reachability import Reachability
from ..settings.entry import EntrySettings
from .backend_api import ProbeAnswer, ProcessCheck
from .load import ServerLoad
from .probe import is_connection_held
from .request_limit import LimitShares, RequestLimit
from .sessions import idle_connections

SendProbe = Callable[
    [aiohttp.ClientSession, Announcement, float], Awaitable[ProbeAnswer | None]
]

# Lower than every real version, so that it satisfies no required one.
_NO_VERSION = WeightVersion(-1)
_MIN_BACKOFF_S = 0.4
_MAX_BACKOFF_S = 3.2
_CRASH_PROBE_TIMEOUT_S = 0.8
_HELD_TIMEOUT_S = 0.2
# Shorter than a backend server takes to start again.
_CONFIRMED_S = 1.0


class ServerObserver(Protocol):
    """Receives what an entry observes of its backend servers."""

    def record_latency(self, server: BackendServer, seconds: float) -> None:
        """Record the latency of a complete answer to a caller's request."""

    def record_failure(self, server: BackendServer) -> None:
        """Record a failed request."""

    def record_traffic(
        self, server: BackendServer, attempts: int, body_bytes: int
    ) -> None:
        """Record attempts, or bytes of the bodies of requests and answers."""


class BackendServer:
    """Availability, weight version and load of one backend server.

    The entry process observes them in probes and answers. Without probes, the
    boot id comes from the announcements.

    Parameters
    ----------
    announcement : Announcement
        Latest announcement of the backend server.
    settings : EntrySettings
        Probe interval, and how long an answer keeps a server usable.
    session : aiohttp.ClientSession
        Connections to backend servers.
    events : EventLog
        Receives an event for each change of state.
    send_probe : callable
        Sends a probe, given the session, the announcement and a timeout in
        seconds. Returns None when there is no valid answer.
    limit_shares : LimitShares
        This entry's shares of the limits that backend servers name.
    report_leaving : callable
        Called once with the announcement of a process that says in an answer that it
        leaves.
    observer : ServerObserver or None
        Receives observations; None to record none.
    reachability : Reachability or None
        Learns which servers this entry reaches; None to record nothing.
    """

    def __init__(
        self,
        announcement: Announcement,
        settings: EntrySettings,
        session: aiohttp.ClientSession,
        events: EventLog,
        send_probe: SendProbe,
        limit_shares: LimitShares,
        report_leaving: Callable[[Announcement], None],
        observer: ServerObserver | None = None,
        reachability: Reachability | None = None,
    ) -> None:
        self._observer = observer
        self._reachability = reachability
        self._report_leaving = report_leaving
        self._send_probe = send_probe
        self._announcement = announcement
        self._settings = settings
        self._session = session
        self._events = events
        self._boot = announcement.boot
        self._usable_until = Deadline(0.0)
        self._is_leaving = announcement.state is ServerState.LEAVING
        self._version: WeightVersion | None = None
        self._answered_versions: dict[ModelName, WeightVersion] = {}
        self._load = ServerLoad(announcement.slots)
        self._affinity = _rendezvous_weight(settings.name, announcement.server)
        self._request_limit = RequestLimit(
            announcement.server, limit_shares, random.Random()
        )
        self._was_usable = False
        self._consecutive_failures = 0
        self._backoff_until = Deadline(0.0)
        self._probe_task: asyncio.Task | None = None
        self._failed_at = float("-inf")
        self._confirmed_at = float("-inf")

    @property
    def name(self) -> BackendServerName:
        """Name of the backend server."""
        return self._announcement.server

    @property
    def announcement(self) -> Announcement:
        """Latest announcement of the backend server."""
        return self._announcement

    @property
    def boot(self) -> BootId:
        """Boot id that the backend server reported last."""
        return self._boot

    @property
    def software(self) -> SoftwareVersion:
        """Version of its software; empty when it does not report it."""
        return self._announcement.software

    @property
    def version(self) -> WeightVersion | None:
        """Weight version reported by the last probe.

        None before the first answer, while the engine has no complete version,
        and for plain services.
        """
        return self._version

    def model_version(self, model: ModelName) -> WeightVersion:
        """Return the weight version of a model that the backend server serves.

        An engine that announces no models reports its version in probes, and
        none while it changes weights; -1 stands for none. Otherwise the
        version is the announced one, or 0 when the model was not announced. A newer
        one that an answer named counts until the announcement changes.
        """
        if model in self._answered_versions:
            return self._answered_versions[model]
        if self._announcement.models or not self._is_probed:
            return self._announcement.models.get(model, WeightVersion(0))
        return self._version if self._version is not None else _NO_VERSION

    @property
    def url(self) -> str:
        """Base URL of the backend server."""
        return f"http://{self._announcement.address}"

    @property
    def is_usable(self) -> bool:
        """Whether it may get new work and is expected to answer.

        With probes, it must have answered within the last ``usable_s`` seconds.
        Without probes, it gets no work during an exponential backoff, which
        doubles with each consecutive failure.
        """
        if self._is_leaving:
            return False
        if self._is_probed:
            return now() < self._usable_until
        return now() >= self._backoff_until

    @property
    def is_eligible(self) -> bool:
        """Whether it may get new work, even if it is not expected to answer.

        Without probes, a server in backoff is still eligible.
        """
        return self.is_usable or not (self._is_probed or self._is_leaving)

    @property
    def is_leaving(self) -> bool:
        """Whether it reported that it is leaving."""
        return self._is_leaving

    @property
    def is_process_in_doubt(self) -> bool:
        """Whether a request has failed since the announced process was confirmed.

        The backend server may have started again, with other software.
        """
        return self._failed_at > self._confirmed_at

    @property
    def is_process_confirmed(self) -> bool:
        """Whether the announced process was confirmed a moment ago, and not failed."""
        is_recent = now() < self._confirmed_at + _CONFIRMED_S
        return is_recent and not self.is_process_in_doubt

    @property
    def load(self) -> ServerLoad:
        """Load and speed of the backend server, as estimated by this entry."""
        return self._load

    @property
    def is_far(self) -> bool:
        """Whether it runs in another failure domain than this entry."""
        return self._announcement.failure_domain != self._settings.failure_domain

    @property
    def affinity(self) -> int:
        """Rank of the backend server for this entry; the highest is preferred.

        It is fixed for the pair of names, and entries rank servers independently.
        """
        return self._affinity

    @property
    def idle_connections(self) -> int:
        """Number of this entry's idle connections to the backend server."""
        return idle_connections(self._session, self._announcement.address)

    @property
    def request_limit(self) -> RequestLimit:
        """Limit on the requests a second that it takes from all entries."""
        return self._request_limit

    @property
    def _is_probed(self) -> bool:
        return self._settings.probe_interval_s > 0

    def start(self) -> None:
        """Start the periodic probes, unless the settings disable them."""
        if not self._is_probed:
            return
        self._probe_task = asyncio.get_running_loop().create_task(
            self._probe_periodically()
        )

    async def stop(self) -> None:
        """Stop the periodic probes."""
        if self._probe_task is not None:
            self._probe_task.cancel()
            await asyncio.gather(self._probe_task, return_exceptions=True)

    def update(self, announcement: Announcement) -> None:
        """Apply a new announcement of the same backend server."""
        if announcement.state is ServerState.LEAVING:
            self._mark_leaving()
        elif announcement.boot != self._announcement.boot:
            self._is_leaving = False
        if not self._is_probed:
            self._boot = announcement.boot
        if (announcement.boot, announcement.models) != (
            self._announcement.boot,
            self._announcement.models,
        ):
            self._answered_versions.clear()
        self._announcement = announcement

    def record_answer(self, latency_s: float | None = None) -> None:
        """Record a complete answer: the backend server is usable again.

        Parameters
        ----------
        latency_s : float or None
            Latency of the answer in seconds; None for work whose duration says
            nothing of that of callers' requests.
        """
        self._usable_until = deadline_in(self._settings.usable_s)
        self._consecutive_failures = 0
        self._backoff_until = Deadline(0.0)
        if latency_s is not None:
            self._load.record_latency(latency_s)
        if latency_s and self._observer is not None:
            self._observer.record_latency(self, latency_s)

    def record_traffic(self, attempts: int, body_bytes: int) -> None:
        """Record attempts here, or bytes of the bodies of requests and answers."""
        if self._observer is not None:
            self._observer.record_traffic(self, attempts, body_bytes)

    def record_contact(self) -> None:
        """Record that bytes of the backend server arrived, even of a refusal."""
        if self._reachability is not None:
            self._reachability.record_contact(now())

    def record_no_contact(self, started_at: float) -> None:
        """Record that connecting failed, the connection broke or no byte arrived.

        Parameters
        ----------
        started_at : float
            Monotonic time in seconds at which the attempt began.
        """
        if self._reachability is not None:
            self._reachability.record_failure(self.name, started_at)

    def record_version(self, model: ModelName, version: WeightVersion) -> None:
        """Record the weight version that an answer named.

        A late answer may name an older version than the announced one, which has no
        effect.
        """
        if version > self.model_version(model):
            self._answered_versions[model] = version

    def record_leaving(self, boot: BootId) -> None:
        """Record that a process said in an answer that it takes no new work.

        It counts until another process of the backend server is known, whatever its
        announcements say. An answer of a former process has no effect.

        Parameters
        ----------
        boot : BootId
            Boot id of the process that answered.
        """
        if boot == self._boot and not self._is_leaving:
            self._mark_leaving()
            self._report_leaving(self._announcement)

    def record_failure(self) -> None:
        """Record a failed request.

        The backend server is unusable until it answers a probe or, without
        probes, until its backoff ends.
        """
        self._failed_at = now()
        if self._observer is not None:
            self._observer.record_failure(self)
        self._usable_until = Deadline(0.0)
        backoff_s = min(_MAX_BACKOFF_S, _MIN_BACKOFF_S * 2**self._consecutive_failures)
        self._consecutive_failures += 1
        self._backoff_until = deadline_in(backoff_s)
        self._record_usability_change()

    def record_confirmation(self, asked_at: float) -> None:
        """Record that the announced process answered a question asked at a time.

        Parameters
        ----------
        asked_at : float
            Monotonic time in seconds.
        """
        self._confirmed_at = max(self._confirmed_at, asked_at)

    def record_request_limit(self, limit_per_s: float | None, sent_at: float) -> None:
        """Record the limit that an answer named.

        Parameters
        ----------
        limit_per_s : float or None
            Requests a second from all entries together; None if it named none.
        sent_at : float
            Monotonic time in seconds at which the request of the answer was sent.
        """
        if self._request_limit.observe(limit_per_s, sent_at):
            self._record_limit_change("answer")

    def learn_request_limit(
        self, boot: BootId, limit_per_s: float | None, observed_at: float
    ) -> None:
        """Apply a limit that another entry observed, if it is of the same process.

        Parameters
        ----------
        boot : BootId
            Boot id of the process that named the limit.
        limit_per_s : float or None
            Requests a second from all entries together; None if the limit ended.
        observed_at : float
            Monotonic time in seconds at which the other entry observed this.
        """
        if boot != self._boot:
            return
        if self._request_limit.learn(limit_per_s, observed_at):
            self._record_limit_change("leader")

    def record_limited_request(self, request_id: RequestId) -> None:
        """Record as an event that a request is sent, if the server has a limit."""
        limit_per_s = self._request_limit.limit_per_s
        if limit_per_s is not None:
            self._events.record(
                "server.limited_request",
                server=self.name,
                request=request_id,
                limit_per_s=limit_per_s,
                share_per_s=round(self._request_limit.share_per_s, 3),
            )

    async def check_boot(self, boot: BootId) -> ProcessCheck:
        """Return whether the process with a boot id still runs.

        Probes the backend server once. The answer is ``SAME``, ``OTHER`` if it names
        another boot id, ``UNKNOWN`` if a process runs there that does not answer in
        time, or ``SILENT``.

        Parameters
        ----------
        boot : BootId
            Boot id at the time the connection was lost.
        """
        answer = await self._fetch_probe_answer(_CRASH_PROBE_TIMEOUT_S)
        if answer is None:
            address = self._announcement.address
            is_held = await is_connection_held(address, _HELD_TIMEOUT_S)
            return ProcessCheck.UNKNOWN if is_held else ProcessCheck.SILENT
        return ProcessCheck.SAME if answer.boot == boot else ProcessCheck.OTHER

    async def _probe_periodically(self) -> None:
        while True:
            started_at = now()
            await self._probe_once()
            self._record_usability_change()
            await sleep_until(Deadline(started_at + self._settings.probe_interval_s))

    async def _probe_once(self) -> None:
        sent_at = now()
        answer = await self._fetch_probe_answer(self._settings.probe_interval_s)
        if answer is None:
            self.record_no_contact(sent_at)
            return
        self.record_contact()
        if answer.state is ServerState.LEAVING:
            self._mark_leaving()
        elif answer.boot != self._boot:
            self._is_leaving = False
            self._events.record("server.rebooted", server=self.name, boot=answer.boot)
        self._boot = answer.boot
        self._version = answer.version
        self._load.record_reported_in_flight(answer.in_flight)
        self._usable_until = Deadline(sent_at + self._settings.usable_s)

    async def _fetch_probe_answer(self, timeout_s: float) -> ProbeAnswer | None:
        # A check that a crash or the next choice depends on does not wait for the
        # server's limit, but counts towards it.
        self._request_limit.spend()
        return await self._send_probe(self._session, self._announcement, timeout_s)

    def _record_limit_change(self, source: str) -> None:
        self._events.record(
            "server.limit_changed",
            server=self.name,
            limit_per_s=self._request_limit.limit_per_s,
            source=source,
        )

    def _mark_leaving(self) -> None:
        if not self._is_leaving:
            self._is_leaving = True
            self._events.record("server.leaving", server=self.name)

    def _record_usability_change(self) -> None:
        if self.is_usable != self._was_usable:
            self._was_usable = self.is_usable
            kind = "server.usable" if self._was_usable else "server.unusable"
            self._events.record(kind, server=self.name)


def _rendezvous_weight(entry: str, server: BackendServerName) -> int:
    digest = hashlib.blake2b(f"{entry}\n{server}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")
