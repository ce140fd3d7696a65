"""Batch jobs of an entry that reaches no backend server."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from fakes.relay import LinkState, Relay
from pollenlb.connection.control_api import DirectoryView
from pollenlb.process.entry import EntryProcess

from ..local_system import wait_until
from .platform_system import PlatformSystem, batch_job

_LONG_EVENT_COUNT = 400  # a fake engine generates these in two seconds
# From the cut on; a cut that lasts longer must not make the items late.
_FINISHED_WITHIN_S = 9.0
_LENGTHS = {f"item-{number}": _LONG_EVENT_COUNT for number in range(4)}


class _Links:
    """Links from one entry to all engines, which can be cut."""

    def __init__(self, system: PlatformSystem, entry: EntryProcess) -> None:
        self._system = system
        self._entry = entry
        self._relays: dict[str, Relay] = {}

    async def start(self) -> None:
        """Let the entry reach the engines through relays from now on."""
        for engine in self._system.engines:
            relay = Relay(engine.port)
            await relay.start()
            self._relays[f"127.0.0.1:{engine.port}"] = relay
        directory = self._entry.context.directory
        apply = directory.apply

        def apply_with_relays(view: DirectoryView) -> None:
            servers = [
                msgspec.structs.replace(
                    server,
                    address=f"127.0.0.1:{self._relays[server.address].port}",
                )
                for server in view.servers
            ]
            apply(msgspec.structs.replace(view, servers=servers))

        directory.apply = apply_with_relays
        directory._version = 0
        ports = {f"127.0.0.1:{relay.port}" for relay in self._relays.values()}
        await wait_until(
            lambda: {
                server.announcement.address for server in directory.servers.values()
            }
            == ports
        )

    def cut(self, link: LinkState) -> None:
        """Cut the links to all engines."""
        for relay in self._relays.values():
            relay.interrupt(link)

    def restore(self) -> None:
        """End the cut."""
        for relay in self._relays.values():
            relay.restore()

    async def stop(self) -> None:
        """Close all connections."""
        for relay in self._relays.values():
            await relay.stop()


@pytest.fixture
async def links(platform_system):
    """Return a function that starts a system, and the links of each of its entries."""
    started: list[_Links] = []

    async def start() -> tuple[PlatformSystem, list[_Links]]:
        system = await platform_system(entries=2, engines=3)
        for entry in system.entries:
            started.append(_Links(system, entry))
            await started[-1].start()
        return system, started

    yield start
    for each in started:
        await each.stop()


async def _start_job(system: PlatformSystem) -> int:
    """Submit a batch job, wait until its items run, return its owner's number."""
    assert await system.submit(0, "job", batch_job(_LENGTHS)) == 202
    await wait_until(
        lambda: sum(len(engine.running) for engine in system.engines) == len(_LENGTHS)
    )
    await asyncio.sleep(0.3)
    return _owner(system)


def _owner(system: PlatformSystem) -> int:
    owner = system.leader_machine.state.batch_jobs.batch_jobs["job"].owner
    boots = [entry.context.identity.boot for entry in system.entries]
    return boots.index(owner)


def _expected_texts() -> dict[str, str]:
    return {
        item: "\n".join(f"{number}.1" for number in range(length))
        for item, length in _LENGTHS.items()
    }


def _runs(system: PlatformSystem) -> list[tuple[str, int]]:
    return [run for engine in system.engines for run in engine.received_runs]


# Guards against batch jobs that stand still while their owner reaches no engine.
@pytest.mark.parametrize("link", [LinkState.SILENT, LinkState.CLOSED])
async def test_an_entry_in_contact_finishes_the_job_of_a_stranded_one(links, link):
    system, entry_links = await links()
    owner = await _start_job(system)
    entry_links[owner].cut(link)
    async with asyncio.timeout(_FINISHED_WITHIN_S):
        results = await system.read_all_results(owner, "job")
    assert {each["id"]: each["text"] for each in results} == _expected_texts()
    assert _owner(system) == 1 - owner
    # The output from before the cut went with the job.
    assert sum(after == -1 for _, after in _runs(system)) == len(_LENGTHS)


# Guards against items that run at two servers, or again, when the cut ends.
async def test_a_moved_job_stays_with_its_new_owner_when_the_cut_ends(links):
    system, entry_links = await links()
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
    links, link
):
    system, entry_links = await links()
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


# Guards against jobs that go to and fro between entries that reach no engine.
async def test_no_job_moves_while_all_entries_are_stranded(links):
    system, entry_links = await links()
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
