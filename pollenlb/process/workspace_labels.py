"""Labels of metrics by workspace, of which there is a bounded number."""

from __future__ import annotations

from ..ids import WorkspaceName

# Each label costs memory in the process and in what collects its metrics.
MAX_LABELS = 100
# Names of workspaces in the configuration contain no space, so that none is like these.
OTHER_LABEL = "all others"
NO_WORKSPACE_LABEL = "without workspace"


class WorkspaceLabels:
    """Gives the first workspaces labels of their own, and one to all others."""

    def __init__(self) -> None:
        self._labels: set[str] = set()

    def label(self, workspace: WorkspaceName | None) -> str:
        """Return the label of a workspace, always the same."""
        if not workspace:
            return NO_WORKSPACE_LABEL
        if workspace not in self._labels and len(self._labels) >= MAX_LABELS:
            return OTHER_LABEL
        self._labels.add(workspace)
        return workspace
