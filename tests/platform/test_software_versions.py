"""Engines of two software versions in one service; their output is not joined."""

from __future__ import annotations

from collections import defaultdict

import pytest

from fakes.platform_engine import PlatformEngine
from pollenlb.process.renewals import LeaseRenewer

from ..local_system import CutChannel, wait_until
from .platform_system import MODEL, PlatformSystem, batch_job
from .streams import (
    STREAM_PATH,
    read_events,
    resume,
    software_of,
    start_streaming_system,
)


def _resumed_at_another_version(system: PlatformSystem) -> set[str]:
    """Return the runs that a version resumed which had not begun them."""
    began = defaultdict(set)
    for engine in system.engines:
        for item, last_event in engine.received_runs:
            if last_event < 0:
                began[item].add(engine.software)
    return {
        item
        for engine in system.engines
        for item, last_event in engine.received_runs
        if last_event >= 0 and engine.software not in began[item]
    }


async def test_a_stream_is_continued_by_another_software_version_in_one_answer(
    platform_system,
):
    system = await start_streaming_system(platform_system, ["v1", "v2", "v2"])
    for number in range(12):
        for engine in system.engines:
            engine.abort_at_event = 5
        try:
            await system.call_entry(
                "POST",
                number % 2,
                STREAM_PATH,
                12,
                X_Request_Id=f"stream-{number}",
                X_Deadline_Ms="4000",
            )
        except Exception:  # a stream that cannot go on is cut
            continue
    assert not _resumed_at_another_version(system)


async def test_a_caller_resumes_a_stream_at_another_software_version(platform_system):
    system = await start_streaming_system(platform_system, ["v1", "v1", "v2", "v2"])
    for number in range(10):
        began_as = f"stream-{number}"
        last = await read_events(system, 0, began_as, 3)
        status, body, _ = await resume(system, 1, f"again-{number}", began_as, last)
        assert (status, body.count(b"id: ")) == (200, 3)
        assert software_of(system, f"again-{number}") == software_of(system, began_as)


async def test_a_stream_of_a_crashed_entry_is_resumed_at_its_software_version(
    platform_system,
):
    system = await start_streaming_system(
        platform_system, ["v1", "v1", "v2", "v2"], entries=2
    )
    last = [await read_events(system, 0, f"stream-{number}", 3) for number in range(8)]
    await system.crash_entry(0)
    for number in range(8):
        began_as = f"stream-{number}"
        status, _, _ = await resume(
            system, 0, f"again-{number}", began_as, last[number]
        )
        assert status == 200
        assert software_of(system, f"again-{number}") == software_of(system, began_as)


async def test_a_stream_of_unknown_origin_is_joined(platform_system):
    system = await start_streaming_system(platform_system, ["v1", "v2"])
    status, _, _ = await resume(system, 0, "again", "never-begun", 3)
    assert (status, software_of(system, "again")) == (503, set())


async def test_an_item_is_continued_by_another_software_version(platform_system):
    system = await start_streaming_system(platform_system, ["v1", "v2", "v2"])
    for number in range(6):
        for engine in system.engines:
            engine.abort_at_event = 4
        lengths = {f"item-{number}-{item}": 12 for item in range(6)}
        assert (
            await system.submit(number % 2, f"job-{number}", batch_job(lengths)) == 202
        )
        results = await system.read_all_results(1, f"job-{number}")
        texts = [result["text"].split("\n") for result in results]
        assert [len(text) for text in texts] == [12] * 6
    assert not _resumed_at_another_version(system)


async def test_an_entry_out_of_contact_joins_streams_of_servers_it_cannot_know(
    platform_system,
):
    system = await start_streaming_system(platform_system, ["v1", "v1"], entries=1)
    context = system.entries[0].context
    began_as = "stream"
    last = await read_events(system, 0, began_as, 3)
    for control in system.controls:
        await control.stop()
    system.controls.clear()
    status, _, _ = await resume(system, 0, "soon", began_as, last)
    assert status == 200
    # From here on a server may have started again with other software.
    await wait_until(lambda: not context.knows_software_versions)
    status, _, _ = await resume(system, 0, "late", began_as, last)
    assert (status, software_of(system, "late")) == (503, set())
    status, _, _ = await system.call_entry(
        "POST", 0, STREAM_PATH, 3, X_Request_Id="new", X_Deadline_Ms="4000"
    )
    assert status == 200


async def test_a_stream_is_cut_while_servers_of_its_version_recover(platform_system):
    system = await start_streaming_system(platform_system, ["v1", "v2"], entries=1)
    directory = system.entries[0].context.directory
    last = await read_events(system, 0, "stream", 3)
    (software,) = software_of(system, "stream")
    for server in directory.servers.values():
        if server.software == software:
            server.record_failure()
    # Servers of the other version are usable, which must not leave these out.
    status, body, _ = await resume(system, 0, "again", "stream", last)
    assert (status, body.count(b"id: ")) == (200, 3)
    assert software_of(system, "again") == {software}


async def test_a_server_with_other_software_under_its_name_joins_before_its_check_in(
    platform_system,
):
    """The server serves again, at its address, before control has heard of it."""
    system = await start_streaming_system(platform_system, ["v1"])
    (engine,) = system.engines
    last = await read_events(system, 0, "stream", 3)
    await engine.stop()
    restarted = PlatformEngine(
        engine.name, engine.service, engine.port, ["http://127.0.0.1:1"], MODEL
    )
    restarted.software = "v2"
    restarted.started_at_ms = engine.started_at_ms + 1_000
    await restarted.start()
    system.engines[0] = restarted
    status, _, _ = await resume(system, 1, "again", "stream", last)
    assert software_of(system, "again") == set(), status


async def test_a_stream_goes_on_at_a_server_that_confirms_its_process(platform_system):
    system = await start_streaming_system(platform_system, ["v1", "v1"])
    last = await read_events(system, 0, "stream", 3)
    status, _, _ = await resume(system, 1, "again", "stream", last)
    assert status == 200
    assert software_of(system, "again") == {"v1"}


# Guards against a stream whose recorded origin is the former software of its server.
async def test_a_server_that_started_again_unseen_begins_no_stream(platform_system):
    system = await start_streaming_system(platform_system, ["v1", "v1"], entries=1)
    restarted, _ = system.engines
    restarted.stop_heartbeats()
    restarted.started_at_ms += 1_000
    restarted.software = "v2"
    for number in range(8):
        status, _, _ = await system.call_entry(
            "POST", 0, STREAM_PATH, 3, X_Request_Id=f"r{number}", X_Deadline_Ms="4000"
        )
        assert status == 200
    assert restarted.received_runs == []


async def test_a_stream_begun_after_a_restart_is_not_taken_for_the_former_version(
    platform_system,
):
    """The entry has seen a request to the server fail, so it asks before it sends."""
    system = await start_streaming_system(platform_system, ["v1", "v1"], entries=1)
    engine = system.engines[0]
    (entry,) = system.entries
    entry.context.directory.servers[engine.name].record_failure()
    engine.started_at_ms += 1_000
    engine.stop_heartbeats()
    for number in range(8):
        entry.context.directory.servers[engine.name]._backoff_until = 0.0
        await system.call_entry(
            "POST", 0, STREAM_PATH, 3, X_Request_Id=f"r{number}", X_Deadline_Ms="4000"
        )
    assert engine.received_runs == []


# Guards against streams of a new software version that go on at a former one, as an
# entry that missed the release knows only servers of that.
@pytest.mark.parametrize("trouble", ["cut off", "frozen"])
async def test_an_entry_that_missed_a_release_joins_no_stream_of_the_new_version(
    platform_system, trouble
):
    system = await start_streaming_system(platform_system, ["v1", "v1"])
    late = system.entries[1]
    # Ends the renewal in flight, whose answer would tell of the first new server.
    await late._lease_renewer.stop()
    if trouble == "cut off":
        channels = late.context.control._channels
        for address in list(channels):
            channels[address] = CutChannel(address)
        late._lease_renewer = LeaseRenewer(late.context, late._batch_runner)
        late._lease_renewer.start()
    for number in range(2):
        await system.add_engine(f"i-new-{number}", "v2")
    await wait_until(
        lambda: "i-new-1" in system.entries[0].context.directory.servers
        and "i-new-0" in system.entries[0].context.directory.servers
    )
    assert "i-new-0" not in late.context.directory.servers
    # An entry without other requests stays with one server; the streams need both
    # versions.
    system.entries[0].context.choose = lambda servers, rng: rng.choice(servers)
    last: dict[str, int] = {}
    for number in range(12):
        request = f"stream-{number}"
        last[request] = await read_events(system, 0, request, 3)
    assert {"v1", "v2"} == set().union(*(software_of(system, each) for each in last))
    if trouble == "frozen":
        # It renews its lease after the thaw, while callers come to it.
        late._lease_renewer = LeaseRenewer(late.context, late._batch_runner)
        late._lease_renewer.start()
    statuses = []
    for began_as, last_event in last.items():
        again = f"again-{began_as}"
        status, _, _ = await resume(system, 1, again, began_as, last_event)
        statuses.append(status)
        assert software_of(system, again) <= software_of(system, began_as)
        assert (status == 200) == bool(software_of(system, again))
    assert set(statuses) <= {200, 503}
