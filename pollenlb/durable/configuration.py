"""Replicated cluster configuration and its revisions."""

from __future__ import annotations

import copy
from typing import Any

import msgspec
from result import Err, Ok, Result

from ..ids import DocumentVersion, Revision
from ..settings.cluster import ClusterSettings
from .commands import AnyResult
from .configuration_commands import (
    Change,
    ChangeConfiguration,
    ConfigurationChanged,
    ConfigurationConflict,
    ConfigurationInvalid,
    ConfigurationReplaced,
    ReplaceConfiguration,
)

MAX_HISTORY_COUNT = 200  # changes retained for conflict reports and for operators


class ConfigurationTable(msgspec.Struct):
    """Latest accepted configuration, with the changes that led to it.

    Attributes
    ----------
    revision : Revision
        Number of changes and replacements accepted so far.
    document : dict
        Nested tables, as in a settings file.
    history : list of Change
        Latest changes of single keys, oldest first.
    version : DocumentVersion
        Version that the operator gave to the latest complete configuration; 0
        before the first.
    source : bytes
        Body in which the operator sent that complete configuration.
    workspaces_revision : Revision
        Revision at which the workspaces changed last; 0 if they never did.
    """

    revision: Revision = Revision(0)
    document: dict[str, Any] = {}
    history: list[Change] = []
    version: DocumentVersion = DocumentVersion(0)
    source: bytes = b""
    workspaces_revision: Revision = Revision(0)

    def replace(self, command: ReplaceConfiguration) -> AnyResult:
        """Accept a complete configuration whose version is higher than the last.

        An older or equal version is not refused, since its sender may only have
        lost the first answer; it changes nothing.
        """
        match ClusterSettings.check(command.document):
            case Err(problems):
                return ConfigurationInvalid(
                    [f"{problem.key}: {problem.message}" for problem in problems]
                )
        if command.version > self.version:
            self.version = command.version
            self.source = command.source
            self._accept(command.document)
        return ConfigurationReplaced(self.revision, self.version)

    def change(self, command: ChangeConfiguration, at_ms: int) -> AnyResult:
        """Accept changes of single keys if they are based on the current revision.

        Parameters
        ----------
        command : ChangeConfiguration
            New values, and the revision that the operator read before.
        at_ms : int
            Wall time of the leader, milliseconds since the epoch.

        Returns
        -------
        AnyResult
            ``ConfigurationChanged``; ``ConfigurationConflict`` when the revision
            is another one; ``ConfigurationInvalid`` when the changed document
            would have errors.
        """
        if command.based_on != self.revision:
            winner = self._find_conflicting_change(command.based_on)
            return ConfigurationConflict(self.revision, winner)
        match apply_changes(self.document, command.changes):
            case Err(problems):
                return ConfigurationInvalid(problems)
            case Ok(document):
                self._accept(document)
        self.history.append(
            Change(self.revision, command.changes, command.operator, at_ms)
        )
        del self.history[:-MAX_HISTORY_COUNT]
        return ConfigurationChanged(self.revision)

    def _accept(self, document: dict[str, Any]) -> None:
        self.revision = Revision(self.revision + 1)
        if document.get("workspaces") != self.document.get("workspaces"):
            self.workspaces_revision = self.revision
        self.document = document

    def _find_conflicting_change(self, revision: Revision) -> Change | None:
        """Return the change that followed a revision, or else the latest change."""
        for change in self.history:
            if change.revision == revision + 1:
                return change
        return self.history[-1] if self.history else None


def apply_changes(
    document: dict[str, Any], changes: dict[str, Any]
) -> Result[dict[str, Any], list[str]]:
    """Return a validated copy of a document with changes applied.

    Parameters
    ----------
    document : dict
        Nested tables.
    changes : dict
        New value by dotted key; None removes the key.

    Returns
    -------
    Result
        The new document, or a message for each problem that was found.
    """
    changed = copy.deepcopy(document)
    problems = []
    for key, value in changes.items():
        problem = _set_key(changed, key, value)
        if problem:
            problems.append(f"{key}: {problem}")
    if problems:
        return Err(problems)
    match ClusterSettings.check(changed):
        case Err(found):
            return Err([f"{problem.key}: {problem.message}" for problem in found])
    return Ok(changed)


def _set_key(document: dict[str, Any], key: str, value: Any) -> str | None:
    """Set or remove a dotted key in place; return the problem, or None."""
    *path, last_name = key.split(".")
    table = document
    for name in path:
        child = table.setdefault(name, {})
        if not isinstance(child, dict):
            return f"{name} is a value, not a table"
        table = child
    if value is not None:
        table[last_name] = value
    elif table.pop(last_name, None) is None:
        return "cannot be removed, since the key does not exist"
    return None
