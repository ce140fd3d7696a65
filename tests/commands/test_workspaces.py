"""The ``workspaces`` command of ``pollenctl``."""

from __future__ import annotations

from pollenlb.commands.workspaces import _workspaces
from pollenlb.settings.cluster import digest_key
from pollenlb.settings.ctl import CtlSettings

from ..local_system import wait_until


async def test_workspaces_are_shown_without_their_keys(start_system, capsys):
    """Guards against keys, or digests of keys, on an operator's screen."""
    system = await start_system(entries=1)
    digests = [digest_key("key-1"), digest_key("key-2")]
    await system.change_configuration(
        {
            "workspaces.first.key_digests": digests,
            "workspaces.first.weight": 2.5,
            "workspaces.second.priority": 3,
        }
    )
    entry = system.entries[0]
    await wait_until(lambda: len(entry.context.configuration.settings.workspaces) == 2)
    address = entry.context.identity.http
    settings = CtlSettings.check({"entries": [address]}).unwrap()
    await _workspaces(settings, is_json=False)
    table = capsys.readouterr().out
    await _workspaces(settings, is_json=True)
    text = table + capsys.readouterr().out
    assert table.split()[1:] == (
        "name weight priority keys first 2.50 - 2 second 1.00 3 0".split()
    )
    assert not any(digest in text for digest in digests)
    assert "key-1" not in text
