"""The version that runs when an upgrade begins is one of this repository."""

from __future__ import annotations

import subprocess
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def _git(*arguments: str) -> subprocess.CompletedProcess:
    command = ["git", "-C", str(ROOT), *arguments]
    return subprocess.run(command, capture_output=True, text=True)


def test_the_version_in_production_is_a_commit_of_the_history():
    deployment = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    commit = deployment["production"]
    ancestry = _git("merge-base", "--is-ancestor", commit, "HEAD")
    assert ancestry.returncode == 0, (
        f"deploy/system.toml names {commit!r} as the version in production, which is "
        f"no commit of the history: {ancestry.stderr or 'it is not an ancestor'}"
    )
