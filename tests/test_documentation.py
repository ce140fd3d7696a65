"""The programs of the embedding page run as printed, and links are not broken."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from fakes.ports import free_ports

_DOCS = Path(__file__).parents[1] / "docs"
_PAGE = _DOCS / "developer-guide/embedding.md"


def _read_programs() -> list[str]:
    return [part.split("```")[0] for part in _PAGE.read_text().split("```python\n")[1:]]


@pytest.mark.parametrize(
    "number, printed", [(0, "the counter is 42"), (1, "the key ran")]
)
def test_embedding_program_prints_its_result(number, printed):
    (port,) = free_ports(1)
    program = _read_programs()[number].replace("7411", str(port))
    command = [sys.executable, "-c", program]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert printed in completed.stdout, completed.stderr


def test_relative_links_lead_to_existing_files():
    for page in _DOCS.rglob("*.md"):
        for part in page.read_text().split("](")[1:]:
            target = part.split(")")[0].split("#")[0]
            if target and "://" not in target:
                assert (page.parent / target).exists(), f"{page}: {target}"
