"""When the log may use a format that former releases do not read."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from pollenlb import clock
from pollenlb.durable.leases import AppliedVersions, EntryInfo, LeaseTable
from pollenlb.exceptions import NotLeaderError
from pollenlb.process.format_goal import FormatGoal
from pollenlb.release import THIS_RELEASE, UNREPORTED, Release

_LEASE_S = 2.0


@pytest.fixture
def time_s():
    """Replace the clock; yield a one-item list with its time in seconds."""
    value = [100.0]
    clock.set_time_source(lambda: value[0])
    yield value
    clock.set_time_source(None)


class _Leader:
    """Context of a control process that leads."""

    def __init__(self) -> None:
        self.leases = LeaseTable(_LEASE_S, 0.0, clock.now())
        self.is_leading = True

    @property
    def leader_state(self) -> SimpleNamespace:
        if not self.is_leading:
            raise NotLeaderError()
        return SimpleNamespace(leases=self.leases)

    async def renew(self, number: int, release: Release) -> None:
        """Renew the lease of an entry process."""
        entry = EntryInfo(f"entry-{number}", f"boot-{number}", "", "a", release=release)
        await self.leases.renew(entry, AppliedVersions(), clock.now())


async def _play(leader: _Leader, goal: FormatGoal, time_s, releases, seconds) -> int:
    """Renew the leases each second; return the goal at the end."""
    newest = goal.newest()
    for _ in range(seconds):
        for number, release in enumerate(releases):
            await leader.renew(number, release)
        time_s[0] += 1.0
        newest = goal.newest()
    return newest


# Guards against an upgrade that cannot go back although entries of the former release
# still run.
async def test_upgrade_is_not_finished_before_all_entries_run_the_release(time_s):
    leader = _Leader()
    goal = FormatGoal(leader)
    mixed = [THIS_RELEASE, UNREPORTED]
    assert await _play(leader, goal, time_s, mixed, 60) == 0
    assert await _play(leader, goal, time_s, [THIS_RELEASE] * 2, 5) == 0
    assert await _play(leader, goal, time_s, [THIS_RELEASE] * 2, 10) > 0


# Guards against an upgrade that counts as finished while an entry starts again.
async def test_entry_that_is_away_for_a_moment_is_waited_for(time_s):
    leader = _Leader()
    goal = FormatGoal(leader)
    assert await _play(leader, goal, time_s, [THIS_RELEASE, UNREPORTED], 10) == 0
    assert await _play(leader, goal, time_s, [THIS_RELEASE], 8) == 0
    assert await _play(leader, goal, time_s, [THIS_RELEASE, UNREPORTED], 1) == 0
    assert await _play(leader, goal, time_s, [THIS_RELEASE], 8) == 0


async def test_new_leader_waits_for_the_leases_of_the_former_one(time_s):
    leader = _Leader()
    goal = FormatGoal(leader)
    assert await _play(leader, goal, time_s, [THIS_RELEASE], 11) == 0
    leader.is_leading = False
    assert goal.newest() == 0
    leader.is_leading = True
    assert await _play(leader, goal, time_s, [THIS_RELEASE], 5) == 0
    assert await _play(leader, goal, time_s, [THIS_RELEASE], 10) == THIS_RELEASE.reads
