"""Upgrades of a running system from the version in production."""

from __future__ import annotations

import pytest

from soak.builds import BuildError, build
from soak.upgrade import UpgradeRun


# The first one takes all control instances back, two of them with an empty disk.
@pytest.mark.parametrize("seed", [3, 5])
async def test_all_guarantees_hold_while_the_processes_are_replaced(seed):
    run = UpgradeRun(seed)
    violations = await run.run()
    assert violations == [], run.fault_log


def test_version_that_the_clone_does_not_have_is_an_error(tmp_path):
    """Guards against an upgrade that is passed over where it cannot be played."""
    with pytest.raises(BuildError, match="0123456789 cannot be built from this clone"):
        build("0123456789", tmp_path)
