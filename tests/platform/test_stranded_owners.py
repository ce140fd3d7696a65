"""Batch jobs of an entry that reaches no backend server."""

from __future__ import annotations

import asyncio

import pytest

from fakes.relay import LinkState

from ..local_system import wait_until
from .platform_system import PlatformSystem, batch_job

_LONG_EVENT_COUNT = 400  # a fake engine generates these in two seconds
# From the cut on; a cut that lasts longer must not make the items late.
_FINISHED_WITHIN_S = 9.0
_LENGTHS = {f"item-{number}": _LONG_EVENT_COUNT for number in range(4)}


async def _start_job(system: PlatformSystem, lengths: dict[str, int] = _LENGTHS) -> int:
    """Submit a batch job, wait until its items run, return its owner's number."""
    assert await system.submit(0, "job", batch_job(lengths)) == 202
    await wait_until(
        lambda: sum(len(engine.running) for engine in system.engines) == len(_LENGTHS)
    )
    await asyncio.sleep(0.3)
    return _owner(system)


def _owner(system: PlatformSystem) -> int:
    owner = system.leader_machine.state.batch_jobs.batch_jobs["job"].owner
    boots = [entry.context.identity.boot for entry in system.entries]
    return boots.index(owner)


def _expected_texts(lengths: dict[str, int] = _LENGTHS) -> dict[str, str]:
    return {
        item: "\n".join(f"{number}.1" for number in range(length))
        for item, length in lengths.items()
    }


def _runs(system: PlatformSystem) -> list[tuple[str, int]]:
    return [run for engine in system.engines for run in engine.received_runs]


# Guards against batch jobs that stand still while their owner reaches no engine.
@pytest.mark.parametrize("link", [LinkState.SILENT, LinkState.CLOSED])
async def test_an_entry_in_contact_finishes_the_job_of_a_stranded_one(
    linked_system, link
):
    system, entry_links = await linked_system()
    owner = await _start_job(system)
    entry_links[owner].cut(link)
    async with asyncio.timeout(_FINISHED_WITHIN_S):
        results = await system.read_all_results(owner, "job")
    assert {each["id"]: each["text"] for each in results} == _expected_texts()
    assert _owner(system) == 1 - owner
    # The output from before the cut went with the job.
    assert sum(after == -1 for _, after in _runs(system)) == len(_LENGTHS)


# Guards against items that run at two servers, or again, when the cut ends.
async def test_a_moved_job_stays_with_its_new_owner_when_the_cut_ends(linked_system):
    system, entry_links = await linked_system()
    owner = await _start_job(system)
    entry_links[owner].cut(LinkState.CLOSED)
    await wait_until(lambda: _owner(system) != owner)
    await wait_until(
        lambda: sum(len(engine.running) for engine in system.engines) == len(_LENGTHS)
    )
    run_count = len(_runs(system))
    entry_links[owner].restore()
    results = await system.read_all_results(owner, "job")
    assert {each["id"]: each["text"] for each in results} == _expected_texts()
    assert _owner(system) == 1 - owner
    assert len(_runs(system)) == run_count
    assert system.entries[owner]._batch_runner.batch_jobs == []


# Guards against an entry without work that is taken for stranded after the cut.
@pytest.mark.parametrize("link", [LinkState.SILENT, LinkState.CLOSED])
async def test_other_entries_learn_when_one_is_stranded_and_in_contact_again(
    linked_system, link
):
    system, entry_links = await linked_system()
    owner = await _start_job(system)
    stranded = system.entries[owner].context.identity.boot
    other = system.entries[1 - owner].context.live_entries
    assert other.stranded == set()
    entry_links[owner].cut(link)
    await wait_until(lambda: other.stranded == {stranded})
    await system.read_all_results(owner, "job")
    assert other.stranded == {stranded}
    entry_links[owner].restore()
    await wait_until(lambda: other.stranded == set())


# Guards against a sound owner that loses its jobs when two engines fail at once.
@pytest.mark.parametrize("link", [LinkState.SILENT, LinkState.CLOSED])
async def test_no_job_moves_while_its_owner_reaches_one_engine(linked_system, link):
    system, entry_links = await linked_system()
    for engine in system.engines:
        engine.event_interval_s = 0.1
    lengths = {item: 30 for item in _LENGTHS}
    owner = await _start_job(system, lengths)
    entry_links[owner].cut(link, count=2)
    results = await system.read_all_results(owner, "job")
    assert {each["id"]: each["text"] for each in results} == _expected_texts(lengths)
    assert _owner(system) == owner
    events = (system.folder / "store-0" / "events.jsonl").read_text()
    assert "batch_jobs.assigned" not in events


# Guards against jobs that go to and fro between entries that reach no engine.
async def test_no_job_moves_while_all_entries_are_stranded(linked_system):
    system, entry_links = await linked_system()
    await _start_job(system)
    for each in entry_links:
        each.cut(LinkState.CLOSED)
    await wait_until(
        lambda: all(
            len(entry.context.live_entries.stranded) == 2 for entry in system.entries
        )
    )
    owner = _owner(system)
    changed_at = dict(system.leader_machine.state.batch_jobs.changed_at)
    await asyncio.sleep(1.0)
    assert _owner(system) == owner
    assert system.leader_machine.state.batch_jobs.changed_at == changed_at
    for each in entry_links:
        each.restore()
    results = await system.read_all_results(owner, "job")
    assert {each["id"]: each["text"] for each in results} == _expected_texts()
    assert sum(after == -1 for _, after in _runs(system)) == len(_LENGTHS)
