"""Labels of metrics by workspace."""

from __future__ import annotations

from pollenlb.process.metrics import Metrics
from pollenlb.process.workspace_labels import (
    MAX_LABELS,
    NO_WORKSPACE_LABEL,
    OTHER_LABEL,
    WorkspaceLabels,
)


def test_number_of_labels_is_bounded_and_each_stays_the_same():
    """Guards against metrics that grow with the number of workspaces."""
    labels = WorkspaceLabels()
    names = [f"workspace-{number}" for number in range(3 * MAX_LABELS)]
    given = [labels.label(name) for name in names]
    assert given == [labels.label(name) for name in names]
    assert given[:MAX_LABELS] == names[:MAX_LABELS]
    assert set(given[MAX_LABELS:]) == {OTHER_LABEL}
    assert labels.label(None) == NO_WORKSPACE_LABEL


def test_metrics_by_workspace_are_bounded():
    """Guards against counters that pass over the bound of the labels."""
    metrics = Metrics()
    for number in range(3 * MAX_LABELS):
        metrics.record_workspace_request(f"workspace-{number}", "ran")
        metrics.record_turn(f"workspace-{number}", "refused")
    lines = metrics.exposition().decode().splitlines()
    for name in ("requests", "turns"):
        total = f"pollenlb_workspace_{name}_total{{"
        assert sum(line.startswith(total) for line in lines) == MAX_LABELS + 1
