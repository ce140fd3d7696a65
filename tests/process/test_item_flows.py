"""Workspaces and priorities of waiting items."""

from __future__ import annotations

from pollenlb.durable.batch_job_commands import BatchJobSpec
from pollenlb.process.item_flows import item_shares
from pollenlb.scheduling.fair_queue import Flow
from pollenlb.settings.cluster import ClusterSettings


def _settings(**changes) -> ClusterSettings:
    workspaces = {"a": {"weight": 2.0, "priority": 1}, "b": {}}
    document = {"workspaces": workspaces, "requires_keys": True, **changes}
    return ClusterSettings.check(document).unwrap()


def _spec(name: str, workspace: str | None) -> BatchJobSpec:
    return BatchJobSpec(name, "model", "host", [], workspace=workspace)


def test_items_of_a_workspace_share_what_runs_of_all_its_batch_jobs():
    """Guards against a share for each batch job in place of each workspace."""
    specs = {
        "a/1": _spec("a/1", "a"),
        "a/2": _spec("a/2", "a"),
        "b/1": _spec("b/1", "b"),
        "lost/1": _spec("lost/1", "lost"),
    }
    running = {"a/1": 3, "a/2": 4, "b/1": 1, "lost/1": 0}
    assert item_shares(specs, running, _settings()) == {
        "a/1": (Flow(1, "a", 2.0), 7),
        "a/2": (Flow(1, "a", 2.0), 7),
        "b/1": (Flow(5, "b", 1.0), 1),
        "lost/1": (Flow(5, "lost", 1.0), 0),
    }


def test_without_keys_no_item_belongs_to_a_workspace():
    """Guards against a changed order where no workspaces are in use."""
    specs = {"1": _spec("1", None)}
    assert item_shares(specs, {"1": 1}, _settings(requires_keys=False)) == {}
