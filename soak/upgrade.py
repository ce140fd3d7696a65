"""Seeded runs in which the processes are replaced by another build, one by one."""

from __future__ import annotations

import asyncio
import random
import signal
import tempfile
import time
from enum import Enum
from pathlib import Path

from fakes.relay import LinkState

from .builds import build, production_commit
from .programs import ROOT, Programs
from .run import SoakRun

_DISK_REPAIR_S = 6.0
_LONG_STOP_S = 60.0
# An upgrade counts as finished some 10 s after the last process was replaced.
_FINISH_TIMEOUT_S = 40.0
_FINISHED_RUN_S = 3.0
_POLL_INTERVAL_S = 0.2


class Replacement(Enum):
    """How the process of an instance is replaced.

    Attributes
    ----------
    STOPPED
        Asked to end, and started again with its disk.
    KILLED
        Killed, and started again with its disk.
    EMPTY
        Killed, and started with an empty disk; entries have none.
    HALF_WAY
        Asked to end, and killed once more just after it has started.
    """

    STOPPED = "stopped"
    KILLED = "killed"
    EMPTY = "empty"
    HALF_WAY = "half-way"


class UpgradeRun(SoakRun):
    """A system that begins with one build and is replaced by the present one.

    Parameters
    ----------
    seed : int
        Seed of the order, the manner and the disturbances of the replacements.
    commit : str, optional
        Commit of the build that it begins with, by default the version in production.
        The empty text stands for the present build, so that nothing but the restarts
        is seen.

    Raises
    ------
    BuildError
        When the commit cannot be built.
    """

    def __init__(self, seed: int, commit: str | None = None) -> None:
        super().__init__(seed, faults=0)
        self._upgrade_rng = random.Random(f"upgrade {seed}")
        self._commit = production_commit() if commit is None else commit
        self._builds = tempfile.TemporaryDirectory(prefix="soak-builds-")
        self._former = ROOT
        if self._commit:
            self._former = build(self._commit, Path(self._builds.name))

    async def run(self) -> list[str]:
        """Run the system and return the violated guarantees, one description each."""
        with self._builds:
            return await super().run()

    def _prepare(self, programs: Programs) -> None:
        for name in [*programs.controls, *programs.entries]:
            programs.use_build(name, self._former)

    async def _disturb(self, programs: Programs) -> None:
        """Replace all processes; some runs go back half way before they go on."""
        await self._replace_in_turns(programs)
        await self._run_in_present_format(programs)
        self._check_processes(programs)

    async def _replace_in_turns(self, programs: Programs) -> None:
        rng = self._upgrade_rng
        names = [*programs.controls, *programs.entries]
        rng.shuffle(names)
        if rng.random() < 0.4:
            replaced = names[: rng.randint(1, len(names) - 1)]
            await self._replace_all(programs, replaced, ROOT)
            await self._stop_half_way()
            self.fault_log.append("back")
            rng.shuffle(replaced)
            await self._replace_all(programs, replaced, self._former)
        await self._replace_all(programs, names, ROOT)

    async def _run_in_present_format(self, programs: Programs) -> None:
        """Let the clients go on for a while once the upgrade is finished."""
        ends_at = time.monotonic() + _FINISH_TIMEOUT_S
        while not any(
            programs.has_recorded(name, "log.format_adopted")
            for name in programs.controls
        ):
            if time.monotonic() > ends_at:
                self.violations.append("the log does not use the present format")
                return
            await asyncio.sleep(_POLL_INTERVAL_S)
        await asyncio.sleep(_FINISHED_RUN_S)

    async def _stop_half_way(self) -> None:
        is_long = self._upgrade_rng.random() < 0.1
        await asyncio.sleep(_LONG_STOP_S if is_long else 2.0)

    async def _replace_all(
        self, programs: Programs, names: list[str], root: Path
    ) -> None:
        for name in names:
            self._check_processes(programs)
            programs.use_build(name, root)
            cut = asyncio.create_task(self._cut_all_engines_at_times())
            await self._replace(programs, name)
            await cut
            await asyncio.sleep(self._upgrade_rng.uniform(0.5, 2.0))

    async def _replace(self, programs: Programs, name: str) -> None:
        manners = list(Replacement)
        if name not in programs.controls:
            manners.remove(Replacement.EMPTY)
        manner = self._upgrade_rng.choice(manners)
        self.fault_log.append(f"{name} {manner.value}")
        if manner in (Replacement.STOPPED, Replacement.HALF_WAY):
            code = await asyncio.to_thread(programs.terminate, name)
            # A process that was still starting ends by the signal itself.
            if code not in (0, -signal.SIGTERM):
                self.violations.append(f"{name} ended with status {code} when asked to")
        else:
            programs.kill(name)
        if manner is Replacement.EMPTY:
            programs.lose_disk(name)
        programs.start(name)
        if manner is Replacement.HALF_WAY:
            await asyncio.sleep(self._upgrade_rng.uniform(0.0, 2.0))
            self._check_processes(programs)
            programs.kill(name)
            programs.start(name)
        if manner is Replacement.EMPTY:
            await asyncio.sleep(_DISK_REPAIR_S)

    async def _cut_all_engines_at_times(self) -> None:
        """Cut the paths to all engines, in one of five replacements."""
        if self._upgrade_rng.random() >= 0.2:
            return
        self.fault_log.append("no engine reached")
        link = self._upgrade_rng.choice([LinkState.SILENT, LinkState.CLOSED])
        for relay in self._relays:
            relay.interrupt(link)
        await asyncio.sleep(self._upgrade_rng.uniform(0.5, 2.0))
        for relay in self._relays:
            relay.restore()
