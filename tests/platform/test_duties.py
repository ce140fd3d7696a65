"""Usage reports on the platform, through each failure of a process or of the API."""

from __future__ import annotations

import asyncio
import json
import math
import re
import time
import tomllib
from pathlib import Path

import pytest

from fakes.duty_api import ApiMode, FakeDutyApi
from fakes.ports import free_ports
from pollenlb.clock import Deadline
from pollenlb.durable.duties import DutyTable
from pollenlb.events import EVENT_FILE
from pollenlb.platform.duty_settings import read_duty_settings
from pollenlb.settings.control import ControlSettings

from ..local_system import wait_until
from .platform_system import PlatformSystem, batch_job, configuration

WINDOW_S = 1.0
LATE_S = 5.0
LEASE_MS = 600
_DEPLOYMENT = Path(__file__).parents[2] / "deploy" / "system.toml"


@pytest.fixture
async def api():
    """Return a running stand-in for the infrastructure's API."""
    (port,) = free_ports(1)
    api = FakeDutyApi(port)
    await api.start()
    yield api
    await api.stop()


async def _start(platform_system, api: FakeDutyApi, **options) -> PlatformSystem:
    system = await platform_system(
        control_options={
            "duty_address": f"127.0.0.1:{api.port}",
            "duties": "usage",
            "duty_per_s": 50.0,
            "duty_lease_ms": LEASE_MS,
            "usage_window_s": WINDOW_S,
            "usage_late_s": LATE_S,
        },
        **options,
    )
    changed = configuration(2)
    changed["tenants"] = [
        {"name": "first", "api_keys": ["key-1"]},
        {"name": "second", "api_keys": ["key-2"]},
    ]
    assert (await system.call_control("POST", "/-/Config.Replace", changed))[0] == 200
    await wait_until(lambda: all(e.context.usage.is_enabled for e in system.entries))
    return system


async def _send(system, key: str, entry: int, count: int) -> None:
    for _ in range(count):
        status, _, _ = await system.call_entry(
            "POST",
            entry,
            "/safe/1",
            1,
            X_Request_Id="r",
            X_Deadline_Ms="5000",
            Authorization=f"Token {key}",
        )
        assert status == 200


def _window() -> int:
    return int(time.time() // WINDOW_S)


def _total(api: FakeDutyApi, workspace: str) -> int:
    return sum(counts.get(workspace, 0) for counts in api.usage.values())


def _leader(system: PlatformSystem):
    return next(
        control
        for control in system.controls
        if control.replica.leadership and control.replica.leadership.is_ready
    )


async def _stop_leader(system: PlatformSystem) -> str:
    """Stop the leader, and return its name once another control instance leads."""
    leader = _leader(system)
    system.controls.remove(leader)
    address = leader._settings.http_listen
    system.control_urls.remove(f"http://{address}")
    await leader.stop()
    await wait_until(
        lambda: any(
            control.replica.leadership and control.replica.leadership.is_ready
            for control in system.controls
        )
    )
    return leader._settings.name


def _events(folder: Path, kind: str) -> list[dict]:
    lines = [
        line
        for path in folder.glob(f"*/{EVENT_FILE}")
        for line in path.read_text().splitlines()
    ]
    return [each for each in map(json.loads, lines) if each["message_type"] == kind]


def _check_rules(api: FakeDutyApi) -> None:
    """Check the counts of repeated reports, the fencing numbers and their holders."""
    counts: dict[int, dict] = {}
    holders: dict[int, str] = {}
    for before, call in zip([None, *api.received], api.received):
        window = call.body["window"]
        assert counts.setdefault(window, call.body["counts"]) == call.body["counts"]
        assert holders.setdefault(call.fencing, call.holder) == call.holder
        if before is not None:
            assert call.fencing >= before.fencing
            if call.holder != before.holder:
                assert call.at - before.at > LEASE_MS / 1000
    assert len(set(holders.values())) == len(holders)


async def _wait_until_reported(api: FakeDutyApi, first: int, last: int) -> None:
    """Wait for the reports of all windows; those that are late may come last."""
    await wait_until(lambda: set(range(first, last + 1)) <= set(api.usage))


async def test_each_window_is_reported_in_time_with_the_requests_of_all_entries(
    platform_system, api
):
    """Guards against lost, doubled, mixed up and late counts."""
    system = await _start(platform_system, api)
    first = _window()
    for _ in range(3):
        await _send(system, "key-1", 0, 2)
        await _send(system, "key-2", 1, 1)
        await _send(system, "key-1", 1, 1)
        await asyncio.sleep(0.5)
    last = _window() + 1
    await _wait_until_reported(api, first, last)
    assert time.time() < (last + 1) * WINDOW_S + LATE_S
    assert (_total(api, "first"), _total(api, "second")) == (9, 3)
    assert api.usage[last] == {}
    assert len(api.calls) == len(api.usage)
    _check_rules(api)


async def test_items_of_batch_jobs_are_not_counted(platform_system, api):
    """Guards against reports that hold more than callers' own requests."""
    system = await _start(platform_system, api)
    first = _window()
    status, _, _ = await system.call_entry(
        "POST",
        0,
        "/rollouts/",
        batch_job({"a": 2, "b": 3}),
        X_Request_Id="job-1",
        X_Deadline_Ms="8000",
        Authorization="Token key-1",
    )
    assert status == 202
    await wait_until(lambda: sum(len(e.received_headers) for e in system.engines) >= 2)
    await _wait_until_reported(api, first, _window() + 1)
    assert _total(api, "first") == 0


async def test_entry_that_dies_within_a_window_delays_no_report(
    platform_system, api, tmp_path
):
    """Guards against a report that waits forever, and counts lost without a line."""
    system = await _start(platform_system, api)
    first = _window()
    await _send(system, "key-1", 0, 3)
    await system.crash_entry(1)
    window = _window()
    await _wait_until_reported(api, first, window + 1)
    assert time.time() < (window + 2) * WINDOW_S + LATE_S
    assert _total(api, "first") == 3
    sealed = _events(tmp_path, "usage.sealed")
    assert any(each["unknown_of"] for each in sealed)


async def test_stopping_entry_reports_its_last_counts(platform_system, api, tmp_path):
    """Guards against counts that an orderly stop loses or leaves awaited."""
    system = await _start(platform_system, api)
    first = _window()
    await _send(system, "key-1", 1, 5)
    window = _window()
    stopped = system.entries.pop(1)
    await stopped.stop()
    await _wait_until_reported(api, first, window + 1)
    assert _total(api, "first") == 5
    sealed = [
        each for each in _events(tmp_path, "usage.sealed") if each["window"] >= first
    ]
    assert sealed and not any(each["unknown_of"] for each in sealed)


async def test_counts_survive_a_change_of_leader_before_the_seal(platform_system, api):
    """Guards against counts that only the old leader held."""
    system = await _start(platform_system, api, controls=3)
    first = _window()
    await _send(system, "key-1", 0, 3)
    await _send(system, "key-2", 1, 2)
    old = await _stop_leader(system)
    last = _window()
    await _wait_until_reported(api, first, last)
    assert (_total(api, "first"), _total(api, "second")) == (3, 2)
    assert api.calls[-1].holder != old
    _check_rules(api)


async def test_counts_survive_a_change_of_leader_before_the_report(
    platform_system, api
):
    """Guards against a new leader that reports other counts than were sealed."""
    system = await _start(platform_system, api, controls=3)
    first = _window()
    leader = _leader(system)
    leader._duties._may_call_at = Deadline(math.inf)
    await _send(system, "key-1", 0, 4)
    window = _window()
    await wait_until(lambda: leader.machine.state.duties.next_window > window)
    assert window not in api.usage
    await _stop_leader(system)
    await _wait_until_reported(api, first, window + 1)
    assert _total(api, "first") == 4
    _check_rules(api)


@pytest.mark.parametrize("mode", [ApiMode.SILENT, ApiMode.BUSY, ApiMode.LOSE_RESPONSES])
async def test_report_without_acknowledgement_is_repeated_unchanged_by_the_next_leader(
    platform_system, api, mode
):
    """Guards against a leader that recounts a window another one has reported."""
    system = await _start(platform_system, api, controls=3)
    await wait_until(lambda: api.usage)
    first = _window()
    await _send(system, "key-1", 0, 4)
    window = _window()
    # Windows before it would otherwise be repeated first, maybe until it is late.
    await wait_until(lambda: window - 1 in api.usage)
    api.mode = mode
    await wait_until(
        lambda: any(
            call.body["counts"].get("first") and call.body["window"] <= window
            for call in api.received
        )
    )
    await _stop_leader(system)
    api.mode = ApiMode.ACCEPT
    await _wait_until_reported(api, first, window + 1)
    assert _total(api, "first") == 4
    _check_rules(api)


async def test_entry_that_is_silent_for_longer_than_its_lease_is_awaited(
    platform_system, api, monkeypatch
):
    """Guards against counts that a frozen entry reports in time but too late."""
    system = await _start(platform_system, api)
    first = _window()
    control = system.entries[1].context.control
    renew = control.renew_lease
    await wait_until(lambda: time.time() % WINDOW_S < 0.1)
    frozen_until = time.time() + WINDOW_S + 1.8

    async def renew_later(request, timeout_s):
        if time.time() < frozen_until:
            await asyncio.sleep(0.05)
            return None
        return await renew(request, timeout_s)

    monkeypatch.setattr(control, "renew_lease", renew_later)
    await _send(system, "key-1", 1, 3)
    window = _window()
    await _wait_until_reported(api, first, window)
    assert _total(api, "first") == 3


async def test_reports_follow_when_the_api_responds_again(platform_system, api):
    """Guards against windows that are lost while the API is silent."""
    system = await _start(platform_system, api, entries=1)
    first = _window()
    api.mode = ApiMode.SILENT
    await _send(system, "key-1", 0, 2)
    await asyncio.sleep(5 * WINDOW_S)
    await _send(system, "key-1", 0, 2)
    api.mode = ApiMode.ACCEPT
    last = _window()
    await _wait_until_reported(api, first, last)
    assert _total(api, "first") == 4
    _check_rules(api)


async def test_windows_without_any_control_instance_are_not_reported(
    platform_system, api
):
    """Guards against guesses about windows that nobody could collect."""
    system = await _start(platform_system, api, entries=1)
    first = _window()
    await _send(system, "key-1", 0, 1)
    await _wait_until_reported(api, first, _window())
    (control,) = system.controls
    await control.stop()
    stopped = _window()
    await asyncio.sleep(LATE_S + 3 * WINDOW_S)
    system.controls.clear()
    await system.add_control(0, system.seeds[0])
    resumed = _window()
    await _wait_until_reported(api, resumed + 1, resumed + 1)
    assert stopped + 1 not in api.usage
    _check_rules(api)


async def test_without_duties_there_is_no_call_and_no_record(platform_system, api):
    """Guards against a change of deployments that have no duties."""
    system = await platform_system()
    await asyncio.sleep(3 * WINDOW_S)
    assert not api.received
    assert system.controls[0].machine.state.duties == DutyTable()
    assert not any(entry.context.usage.is_enabled for entry in system.entries)


def _settings(fields: dict[str, str]) -> ControlSettings:
    """Return the settings of a control instance that the platform starts."""
    deployment = tomllib.loads(_DEPLOYMENT.read_text())
    environment = {
        name: re.sub(r"{{([\w.]+)}}", lambda field: fields.get(field[1], ""), text)
        for name, text in deployment["roles"]["control"]["env"].items()
    }
    return ControlSettings.check(
        {
            "name": "a",
            "failure_domain": "b",
            "listen": "127.0.0.1:1",
            "data_folder": "c",
            "seeds": ["127.0.0.1:1"],
            **read_duty_settings(environment),
        }
    ).unwrap()


def test_deployment_without_the_platforms_fields_turns_duties_off():
    """Guards against settings that are invalid where there are no duties."""
    settings = _settings({})
    assert not settings.reports_usage and not settings.scales_services


def test_deployment_with_the_platforms_fields_turns_duties_on():
    """Guards against fields that the deployment names wrongly."""
    settings = _settings(
        {
            "cloud_api.address": "10.200.0.190:8307",
            "cloud_api.duties": "usage,autoscale",
            "cloud_api.duty_per_s": "50.0",
            "bounds.usage_window_s": "5",
            "bounds.usage_late_s": "10",
            "bounds.lease_ms": "3000",
        }
    )
    assert settings.reports_usage and settings.scales_services
    assert (settings.duty_per_s, settings.duty_lease_ms) == (50.0, 3000.0)
    assert (settings.usage_window_s, settings.usage_late_s) == (5.0, 10.0)


def test_placeholders_that_nobody_filled_in_turn_duties_off():
    """Guards against a program that does not start where only a file is rendered."""
    deployment = tomllib.loads(_DEPLOYMENT.read_text())
    assert read_duty_settings(deployment["roles"]["control"]["env"]) == {}
