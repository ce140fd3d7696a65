"""Generates the reference page of all settings from the settings classes."""

from __future__ import annotations

import ast
import inspect
import json
import textwrap
from typing import Any

from .cluster import (
    ClusterSettings,
    RouteSettings,
    ServiceSettings,
    WorkspaceSettings,
)
from .control import ControlSettings, MemberSettings
from .ctl import CtlSettings
from .entry import EntrySettings
from .options import Option, Settings

_SETTINGS_CLASSES: tuple[type[Settings], ...] = (
    EntrySettings,
    ControlSettings,
    MemberSettings,
    CtlSettings,
    ClusterSettings,
    ServiceSettings,
    RouteSettings,
    WorkspaceSettings,
)


def render_reference() -> str:
    """Return the reference page of all settings in Markdown."""
    parts = [
        "# Settings",
        "Generated from the settings classes by `make docs`. Unknown keys are errors. "
        "The cluster's settings are changed with `pollenctl set`, as "
        "`services.NAME.KEY`, `routes.NAME.KEY` and `workspaces.NAME.KEY`; all others "
        "are read from a TOML file.",
    ]
    parts += [_section(settings) for settings in _SETTINGS_CLASSES]
    return "\n\n".join(parts) + "\n"


def _section(settings: type[Settings]) -> str:
    meanings = _option_docstrings(settings)
    lines = [
        f"## {settings.__name__}",
        "",
        inspect.getdoc(settings) or "",
        "",
        "| key | allowed | default | meaning |",
        "| --- | --- | --- | --- |",
    ]
    for key, option in settings.options().items():
        meaning = " ".join(meanings.get(key, "").split())
        lines.append(f"| `{key}` | {option.allowed} | {_default(option)} | {meaning} |")
    return "\n".join(lines)


def _default(option: Option[Any]) -> str:
    return "required" if option.is_required else f"`{json.dumps(option.default)}`"


def _option_docstrings(settings: type[Settings]) -> dict[str, str]:
    """Return the docstring under each option, by key."""
    docstrings: dict[str, str] = {}
    for base in settings.__mro__[1:]:
        if issubclass(base, Settings):
            docstrings |= _option_docstrings(base)
    tree = ast.parse(textwrap.dedent(inspect.getsource(settings)))
    definition = tree.body[0]
    assert isinstance(definition, ast.ClassDef)
    for statement, following in zip(definition.body, definition.body[1:]):
        name = _assigned_name(statement)
        is_docstring = isinstance(following, ast.Expr) and isinstance(
            following.value, ast.Constant
        )
        if name and is_docstring:
            docstrings[name] = str(following.value.value)  # type: ignore[attr-defined]
    return docstrings


def _assigned_name(statement: ast.stmt) -> str | None:
    if isinstance(statement, ast.AnnAssign) and isinstance(statement.target, ast.Name):
        return statement.target.id
    if isinstance(statement, ast.Assign) and isinstance(statement.targets[0], ast.Name):
        return statement.targets[0].id
    return None


if __name__ == "__main__":
    print(render_reference(), end="")
