"""Command line of the soak: ``python -m soak --seed 1 --seeds 10``."""

from __future__ import annotations

import asyncio
import sys
import time
from dataclasses import dataclass
from typing import Annotated

import cappa

from .run import SoakRun
from .upgrade import UpgradeRun


@cappa.command(name="soak")
@dataclass
class Soak:
    """Run the real programs under random faults and check their guarantees."""

    seed: Annotated[int, cappa.Arg(long="--seed", help="First seed.")] = 1
    seeds: Annotated[int, cappa.Arg(long="--seeds", help="Number of seeds.")] = 1
    faults: Annotated[int, cappa.Arg(long="--faults", help="Faults per seed.")] = 8
    upgrade: Annotated[
        bool,
        cappa.Arg(
            long="--upgrade", help="Replace the version in production by this one."
        ),
    ] = False
    restart: Annotated[
        bool,
        cappa.Arg(long="--restart", help="The same restarts, all with this version."),
    ] = False


def _make_run(soak: Soak, seed: int) -> SoakRun:
    if soak.restart:
        return UpgradeRun(seed, commit="")
    return UpgradeRun(seed) if soak.upgrade else SoakRun(seed, soak.faults)


def main() -> None:
    """Run the selected seeds; exit with status 1 if any of them failed."""
    soak = cappa.parse(Soak)
    failed = 0
    for seed in range(soak.seed, soak.seed + soak.seeds):
        started_at = time.monotonic()
        run = _make_run(soak, seed)
        violations = asyncio.run(run.run())
        verdict = "passed" if not violations else "FAILED"
        print(f"seed {seed}: {verdict} in {time.monotonic() - started_at:.0f} s")
        print(f"  {', '.join(run.fault_log)}")
        for violation in violations[:10]:
            print(f"  broken: {violation}")
        failed += bool(violations)
    print(f"{soak.seeds - failed} passed, {failed} failed")
    sys.exit(failed > 0)


if __name__ == "__main__":
    main()
