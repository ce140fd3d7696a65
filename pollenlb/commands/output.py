"""Output of the commands of ``pollenctl``: tables and JSON."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec

from ..connection.operator import QueryFailure


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_table(title: str, header: Sequence[str], rows: Sequence[Sequence]) -> None:
    """Print aligned rows under a title, or ``TITLE: none`` if there are no rows."""
    print(f"{title}:" if rows else f"{title}: none")
    if not rows:
        return
    lines = [list(header), *[[_cell(value) for value in row] for row in rows]]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths)]
        print("  " + "  ".join(cells).rstrip())


def print_unreachable(answers: dict[str, Any]) -> None:
    """Print the addresses that did not answer, with the reason."""
    for answer in answers.values():
        if isinstance(answer, QueryFailure):
            print(f"unreachable: {answer.address} ({answer.reason})")


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.2f}"
    return str(value)
