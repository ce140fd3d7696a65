"""Leases: the wait until owners of batch jobs know of planned loads."""

from __future__ import annotations

import asyncio

import pytest

from pollenlb.clock import deadline_in, now
from pollenlb.durable.leases import AppliedVersions, EntryInfo, LeaseTable

_LEASE_S = 30.0


async def _renew(leases: LeaseTable, boot: str, loads: int) -> None:
    entry = EntryInfo(f"entry-{boot}", boot, "127.0.0.1:1", "north")
    await leases.renew(entry, AppliedVersions(loads=loads), now())


@pytest.fixture
def leases() -> LeaseTable:
    return LeaseTable(_LEASE_S, 0.0, now())


async def test_the_wait_for_loads_ends_with_the_last_renewal_of_an_owner(leases):
    await _renew(leases, "a", 4)
    await _renew(leases, "b", 4)
    await _renew(leases, "other", 0)
    wait = asyncio.create_task(
        leases.wait_until_loads_known({"a", "b"}, 5, deadline_in(20.0))
    )
    await _renew(leases, "a", 5)
    await asyncio.sleep(0.01)
    assert not wait.done()
    await _renew(leases, "b", 6)
    assert await asyncio.wait_for(wait, 5.0) == set()


async def test_the_wait_for_loads_ends_at_its_deadline_without_a_silent_owner(leases):
    await _renew(leases, "a", 5)
    await _renew(leases, "silent", 4)
    uninformed = await leases.wait_until_loads_known(
        {"a", "silent"}, 5, deadline_in(0.02)
    )
    assert uninformed == {"silent"}


async def test_an_owner_that_uses_no_loads_or_has_no_lease_is_not_waited_for(leases):
    await _renew(leases, "earlier-release", -1)
    owners = {"earlier-release", "without-lease"}
    uninformed = await leases.wait_until_loads_known(owners, 5, deadline_in(20.0))
    assert uninformed == set()
