"""One seeded run: sequential and overlapping faults, then a check of all results."""

from __future__ import annotations

import asyncio
import random
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from fakes.platform_engine import PlatformEngine
from fakes.ports import free_ports
from fakes.relay import LinkState, Relay
from tests.platform.platform_system import MODEL

from .clients import Clients
from .limits import NamedLimits
from .programs import Programs
from .scorers import SCORERS, FaultyScorer
from .streams import StreamCallers

_START_TIMEOUT_S = 30
_FINISH_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.1


class SoakRun:
    """A system with its clients and the faults of one seed.

    Parameters
    ----------
    seed : int
        Seed of the faults, their durations and the clients' requests.
    faults : int
        Number of faults, not counting a second one that overlaps the first.

    Attributes
    ----------
    fault_log : list of str
        Names of the injected faults in order, then the numbers of accepted batch jobs
        and of complete streams.
    violations : list of str
        Violated guarantees that the run itself has seen, one description each.
    """

    def __init__(self, seed: int, faults: int) -> None:
        self._rng = random.Random(seed)
        # Of their own, so that an old seed still injects the same faults.
        self._limits_rng = random.Random(f"limits {seed}")
        self._streams_rng = random.Random(f"streams {seed}")
        self._fault_count = faults
        self._relays: list[Relay] = []
        self._scorers_rng = random.Random(f"scorers {seed}")
        self._engines: list[PlatformEngine] = []
        self._scorers: list[FaultyScorer] = []
        self.fault_log: list[str] = []
        self.violations: list[str] = []

    async def run(self) -> list[str]:
        """Run the system and return the violated guarantees, one description each."""
        with tempfile.TemporaryDirectory(prefix="soak-") as folder:
            programs = Programs(Path(folder), controls=3, entries=3)
            self._prepare(programs)
            try:
                programs.start_all()
                for number in range(2):
                    await self._add_scorer(f"scorer-{number}", programs)
                for number, software in enumerate(("v1", "v1", "v2")):
                    await self._add_engine(f"engine-{number}", programs, software)
                return await self._run(programs)
            finally:
                for server in [*self._engines, *self._scorers]:
                    await server.stop()
                for relay in self._relays:
                    await relay.stop()
                programs.stop()

    async def _run(self, programs: Programs) -> list[str]:
        clients = Clients(programs, self._engines, random.Random(self._rng.random()))
        callers = StreamCallers(programs, self._engines, self._streams_rng)
        limits = NamedLimits(self._engines, self._limits_rng)
        try:
            async with asyncio.timeout(_START_TIMEOUT_S):
                while not clients.acknowledged_version:
                    await clients.change_configuration()
                    await asyncio.sleep(_POLL_INTERVAL_S)
            client_task = asyncio.create_task(clients.run())
            caller_task = asyncio.create_task(callers.run())
            limits_task = asyncio.create_task(limits.run())
            await self._disturb(programs)
            clients.is_stopping = callers.is_stopping = True
            limits_task.cancel()
            await asyncio.gather(limits_task, return_exceptions=True)
            await asyncio.gather(client_task, caller_task)
            await clients.finish(_FINISH_TIMEOUT_S)
            self._check_processes(programs)
        finally:
            await clients.close()
        if not clients.accepted_jobs or not callers.complete_count:
            self.violations.append("no batch job was accepted, or no stream complete")
        callers.check_versions()
        self.fault_log.append(f"{len(clients.accepted_jobs)} batch jobs accepted")
        self.fault_log.append(f"{callers.complete_count} streams complete")
        calls = sum(len(scorer.received_runs) for scorer in self._scorers)
        self.fault_log.append(f"{calls} reward calls run")
        self.fault_log.append(
            f"{clients.failed_count} of {clients.call_count} calls failed"
        )
        seen = clients.violations + callers.violations + limits.violations
        return self.violations + seen

    def _prepare(self, programs: Programs) -> None:
        """Change the programs before they are started; nothing by default."""

    async def _disturb(self, programs: Programs) -> None:
        for _ in range(self._fault_count):
            await self._inject_faults(programs)

    def _check_processes(self, programs: Programs) -> None:
        """Record processes that ended by themselves, and start them again."""
        for name in programs.ended():
            self.violations.append(f"{name} ended by itself")
            programs.start(name)

    async def _add_engine(self, name: str, programs: Programs, software: str) -> None:
        (port,) = free_ports(1)
        relay = Relay(port)
        await relay.start()
        urls = [programs.base_urls[control] for control in programs.controls]
        engine = PlatformEngine(name, "engines", port, urls, MODEL)
        engine.announced_port = relay.port
        engine.software = software
        await engine.start()
        self._relays.append(relay)
        self._engines.append(engine)

    async def _add_scorer(self, name: str, programs: Programs) -> None:
        (port,) = free_ports(1)
        urls = [programs.base_urls[control] for control in programs.controls]
        scorer = FaultyScorer(name, SCORERS, port, urls, "", rng=self._scorers_rng)
        await scorer.start()
        self._scorers.append(scorer)

    async def _inject_faults(self, programs: Programs) -> None:
        """Inject one fault, at times with a concurrent second one, and repair both.

        The order of ``faults`` and of the random draws decides what a seed does.
        """
        faults: list[Callable[[Programs], Awaitable[None]]] = [
            self._kill_control,
            self._kill_entry,
            self._pause,
            self._terminate_entry,
            self._lose_disk,
            self._cut_engine,
            self._kill_all,
        ]
        fault = self._rng.choice(faults)
        self.fault_log.append(fault.__name__)
        has_second = self._rng.random() < 0.4
        if has_second and fault not in (self._kill_all, self._lose_disk):
            self.fault_log.append("meanwhile _cut_engine")
            await asyncio.gather(fault(programs), self._cut_engine(programs))
        else:
            await fault(programs)
        await asyncio.sleep(self._rng.uniform(0.5, 2.0))

    def _draw_downtime_s(self) -> float:
        return self._rng.uniform(0.1, 2.0)

    async def _kill_control(self, programs: Programs) -> None:
        name = self._rng.choice(programs.controls)
        programs.kill(name)
        await asyncio.sleep(self._draw_downtime_s())
        programs.start(name)

    async def _kill_entry(self, programs: Programs) -> None:
        name = self._rng.choice(programs.entries)
        programs.kill(name)
        await asyncio.sleep(self._draw_downtime_s())
        programs.start(name)

    async def _pause(self, programs: Programs) -> None:
        name = self._rng.choice(programs.controls + programs.entries)
        programs.pause(name)
        await asyncio.sleep(self._draw_downtime_s())
        programs.resume(name)

    async def _terminate_entry(self, programs: Programs) -> None:
        name = self._rng.choice(programs.entries)
        await asyncio.to_thread(programs.terminate, name)
        programs.start(name)

    async def _lose_disk(self, programs: Programs) -> None:
        name = self._rng.choice(programs.controls)
        programs.kill(name)
        programs.lose_disk(name)
        await asyncio.sleep(self._draw_downtime_s())
        programs.start(name)
        # The next disk may be lost only after this loss has been repaired.
        await asyncio.sleep(6.0)

    async def _cut_engine(self, programs: Programs) -> None:
        relay = self._rng.choice(self._relays)
        relay.interrupt(self._rng.choice([LinkState.SILENT, LinkState.CLOSED]))
        await asyncio.sleep(self._draw_downtime_s())
        relay.restore()

    async def _kill_all(self, programs: Programs) -> None:
        names = programs.controls + programs.entries
        for name in names:
            programs.kill(name)
        await asyncio.sleep(self._draw_downtime_s() / 2)
        for name in names:
            programs.start(name)
        await asyncio.sleep(2.0)
