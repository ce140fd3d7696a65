"""Views that entries get: of the configuration, and of the live entries."""

from __future__ import annotations

import asyncio
import zlib
from unittest.mock import Mock

import msgspec
import pytest

from pollenlb.clock import now
from pollenlb.connection.control_api import ConfigurationView, RenewRequest
from pollenlb.connection.entries import LiveEntries
from pollenlb.durable.configuration_commands import ChangeConfiguration
from pollenlb.durable.leases import AppliedVersions, EntryHealth, EntryInfo, LeaseTable
from pollenlb.durable.state_machine import ControlStateMachine
from pollenlb.durable.views import build_configuration_view
from pollenlb.process.lease_service import LeaseService
from pollenlb.settings.cluster import digest_key
from pollenlb.version.configuration import AppliedConfiguration

_KEYS = [digest_key(str(number)) for number in range(100)]


def _change(machine: ControlStateMachine, changes: dict) -> None:
    table = machine.state.configuration
    table.change(ChangeConfiguration(changes, table.revision), 0)


@pytest.fixture
def machine() -> ControlStateMachine:
    """Return a state with a route and a workspace."""
    machine = ControlStateMachine()
    _change(machine, {"services.shop.kind": "plain", "routes.shop.service": "shop"})
    _change(machine, {"workspaces.first.key_digests": _KEYS})
    return machine


def test_change_of_a_route_does_not_send_the_keys_again(machine):
    """Guards against updates that grow with the number of keys."""
    applied = AppliedConfiguration()
    applied.apply(build_configuration_view(machine))
    _change(machine, {"routes.shop.timeout_s": 7})
    assert machine.state.configuration.workspaces_revision == 2
    view = build_configuration_view(machine, keeps_workspaces=True)
    assert len(zlib.compress(msgspec.msgpack.encode(view))) < 300
    assert applied.apply(view)
    assert applied.settings.routes["shop"].timeout_s == 7
    assert applied.settings.workspace_for("99") == "first"


def test_removed_workspace_is_gone_from_an_entry_that_keeps_others(machine):
    """Guards against keys that stay in force after they were taken away."""
    applied = AppliedConfiguration()
    applied.apply(build_configuration_view(machine))
    _change(machine, {"workspaces.first": None})
    assert machine.state.configuration.workspaces_revision == 3
    applied.apply(build_configuration_view(machine))
    assert applied.settings.workspace_for("99") is None
    _change(machine, {"routes.shop.timeout_s": 7})
    applied.apply(build_configuration_view(machine, keeps_workspaces=True))
    assert applied.settings.workspace_for("99") is None


def test_views_of_earlier_releases_hold_the_workspaces():
    """Guards against a view without the new field that drops all keys."""
    sent = msgspec.msgpack.encode({"revision": 1, "document": {}})
    assert not msgspec.msgpack.decode(sent, type=ConfigurationView).keeps_workspaces


def _renewal(name: str, is_stranded: bool) -> RenewRequest:
    entry = EntryInfo(name, f"boot-{name}", "", "")
    health = EntryHealth(is_stranded=is_stranded)
    return RenewRequest(entry, 0, 0, 0, 0, 0, [], 0.0, health=health)


async def test_view_of_entries_changes_when_one_reaches_no_server():
    """Guards against entries that hand requests to one that cannot serve them."""
    context = Mock()
    context.settings.reports_usage = False
    context.views_changed = asyncio.Condition()
    leader_state = Mock(term=1, leases=LeaseTable(10.0, 0.0, now()))
    leader_state.leadership.last_quorum_contact_at = now()
    leader_state.limits.record_reports.return_value = False
    service = LeaseService(context)
    live = LiveEntries()
    seen = []
    for name, is_stranded in [
        ("a", False),
        ("b", False),
        ("b", True),
        ("b", True),
        ("a", False),
        ("b", False),
    ]:
        await service._register_entry(leader_state, _renewal(name, is_stranded))
        live.apply(service._entries_view(leader_state))
        seen.append((live.version, live.stranded))
    first = seen[0][0]
    assert [(version - first, stranded) for version, stranded in seen] == [
        (0, set()),
        (1, set()),
        (2, {"boot-b"}),
        (2, {"boot-b"}),
        (2, {"boot-b"}),
        (3, set()),
    ]


async def test_answer_after_a_wait_does_not_undo_a_later_report():
    """Guards against a cancelled renewal that hides that an entry is stranded."""
    table = LeaseTable(10.0, 0.0, now())
    request = _renewal("a", True)
    await table.renew(request.entry, AppliedVersions(), now(), request.health)
    context = Mock()
    context.settings.reports_usage = False
    context.settings.listen = "127.0.0.1:1"
    leader_state = Mock(leases=table)
    leader_state.leadership.last_quorum_contact_at = now()
    leader_state.limits.grant.return_value = {}
    leader_state.limits.version = 0
    context.replica.leadership = leader_state.leadership
    context.replica.storage.members = []
    service = LeaseService(context)
    service._work_view = lambda _: None
    service._changed_views = lambda *_: []
    earlier = _renewal("a", False)
    await service._renewal_answer(leader_state, earlier)
    (lease,) = table.live_leases()
    assert lease.health.is_stranded
