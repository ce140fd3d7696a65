"""The replicated configuration and its revisions."""

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

MOST_HISTORY = 200


class ConfigurationTable(msgspec.Struct):
    """Configuration in force, with its latest changes.

    Attributes
    ----------
    revision : Revision
        Number of changes accepted so far.
    document : dict
        Nested tables, as in a settings file.
    history : list of Change
        Latest changes, oldest first.
    version : DocumentVersion
        Number of the latest whole configuration; 0 before the first.
    source : bytes
        What the operator sent for it.
    """

    revision: Revision = Revision(0)
    document: dict[str, Any] = {}
    history: list[Change] = []
    version: DocumentVersion = DocumentVersion(0)
    source: bytes = b""

    def replace(self, command: ReplaceConfiguration) -> AnyResult:
        """Accept a whole configuration whose version is higher than the last.

        An older or equal one is not refused, since its sender may only have
        lost the first answer; it changes nothing.
        """
        match ClusterSettings.check(command.document):
            case Err(found):
                return ConfigurationInvalid(
                    [f"{each.key}: {each.message}" for each in found]
                )
        if command.version > self.version:
            self.version = command.version
            self.document = command.document
            self.source = command.source
            self.revision = Revision(self.revision + 1)
        return ConfigurationReplaced(self.revision, self.version)

    def change(self, command: ChangeConfiguration, at_ms: int) -> AnyResult:
        """Accept a change made against the current revision."""
        if command.based_on != self.revision:
            winner = self._change_after(command.based_on)
            return ConfigurationConflict(self.revision, winner)
        match changed_document(self.document, command.changes):
            case Err(problems):
                return ConfigurationInvalid(problems)
            case Ok(document):
                self.document = document
        self.revision = Revision(self.revision + 1)
        self.history.append(
            Change(self.revision, command.changes, command.operator, at_ms)
        )
        del self.history[:-MOST_HISTORY]
        return ConfigurationChanged(self.revision)

    def _change_after(self, revision: Revision) -> Change | None:
        for change in self.history:
            if change.revision == revision + 1:
                return change
        return self.history[-1] if self.history else None


def changed_document(
    document: dict[str, Any], changes: dict[str, Any]
) -> Result[dict[str, Any], list[str]]:
    """Return a checked copy of a document with changes made.

    Parameters
    ----------
    document : dict
        Nested tables.
    changes : dict
        New value by dotted key; None removes the key.

    Returns
    -------
    Result
        The new document, or every problem in one sentence each.
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
            return Err([f"{each.key}: {each.message}" for each in found])
    return Ok(changed)


def _set_key(document: dict[str, Any], key: str, value: Any) -> str | None:
    *path, last = key.split(".")
    table = document
    for name in path:
        following = table.setdefault(name, {})
        if not isinstance(following, dict):
            return f"{name} is a value, not a table"
        table = following
    if value is not None:
        table[last] = value
    elif table.pop(last, None) is None:
        return "cannot be removed, there is no such key"
    return None
