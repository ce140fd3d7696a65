"""The ``duties`` command, for a leader with and without duties."""

from __future__ import annotations

import json

import pytest

from pollenlb.commands import duties as command
from pollenlb.settings.ctl import CtlSettings

_LEADER = {"is_leader": True, "term": 1, "commit_index": 1}
_VIEW = {
    "holder": "control-1",
    "fencing": 7,
    "accepted_call": {"subject": "usage 4", "at_ms": 0, "status": 200},
    "last_call": {"subject": "usage 5", "at_ms": 0, "status": 0},
    "unsent_windows": [5, 6],
    "replicas": [
        {
            "service": "engines",
            "failure_domain": "north",
            "is_reclaimable": True,
            "ordered": 3,
            "present": 2,
            "reason": "40 slots needed",
            "status": 202,
        }
    ],
}


@pytest.fixture
def show(monkeypatch, capsys):
    """Return a function that prints the command for a state of the duties."""

    def print_view(view, is_json=False) -> str:
        async def query_any(connection, path):
            assert path == "/operator/control"
            return {"127.0.0.1:1": {**_LEADER, "duties": view}}

        monkeypatch.setattr(command.OperatorConnection, "query_any", query_any)
        command.duties(
            CtlSettings.check({"entries": ["127.0.0.1:1"]}).unwrap(), is_json
        )
        return capsys.readouterr().out

    return print_view


def test_holder_calls_and_ordered_servers_are_shown(show):
    """Guards against an operator who cannot tell why a report is missing."""
    shown = show(_VIEW)
    for text in ("control-1", "7", "usage 4 at ", "no response", "40 slots needed"):
        assert text in shown
    (row,) = [line for line in shown.splitlines() if "engines" in line]
    assert row.split()[:6] == ["engines", "north", "yes", "3", "2", "202"]
    assert json.loads(show(_VIEW, is_json=True)) == _VIEW


def test_control_without_duties_shows_none(show):
    """Guards against an error where there are no duties."""
    assert show(None) == "duties: none\nbackend servers: none\n"
