"""Views of the configuration: what a change of a route sends to entries."""

from __future__ import annotations

import zlib

import msgspec
import pytest

from pollenlb.connection.control_api import ConfigurationView
from pollenlb.durable.configuration_commands import ChangeConfiguration
from pollenlb.durable.state_machine import ControlStateMachine
from pollenlb.durable.views import build_configuration_view
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
