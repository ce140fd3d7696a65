"""A short seeded run of the soak, and every seed that ever failed."""

from __future__ import annotations

import pytest

from soak.run import SoakRun

# Seeds that failed once, each with a line on its cause.
_REGRESSIONS: list[int] = []


@pytest.mark.parametrize("seed", [1, *_REGRESSIONS])
async def test_the_promises_hold_under_faults(seed):
    run = SoakRun(seed, faults=3)
    broken = await run.run()
    assert broken == [], run.log
