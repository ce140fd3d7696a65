"""The programs on the embedding page run as they stand there."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

_DOCS = Path(__file__).parents[1] / "docs"
_PAGE = _DOCS / "developer-guide/embedding.md"


def _programs() -> list[str]:
    return [each.split("```")[0] for each in _PAGE.read_text().split("```python\n")[1:]]


@pytest.mark.parametrize(
    "number, printed", [(0, "the counter is 42"), (1, "the key ran")]
)
def test_each_program_runs(number, printed):
    command = [sys.executable, "-c", _programs()[number]]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert printed in done.stdout, done.stderr


def test_every_link_leads_somewhere():
    for page in _DOCS.rglob("*.md"):
        for part in page.read_text().split("](")[1:]:
            target = part.split(")")[0].split("#")[0]
            if target and "://" not in target:
                assert (page.parent / target).exists(), f"{page}: {target}"
