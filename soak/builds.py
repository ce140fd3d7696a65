"""Builds of the package from the history of the repository."""

from __future__ import annotations

import io
import subprocess
import tarfile
import tomllib
from pathlib import Path

from .programs import ROOT


class BuildError(Exception):
    """A version cannot be built from this repository."""


def production_commit() -> str:
    """Return the commit that the deployment names as the version in production.

    Raises
    ------
    BuildError
        When the deployment names none.
    """
    deployment = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    commit = deployment.get("production")
    if not commit:
        raise BuildError("deploy/system.toml names no version in production")
    return commit


def build(commit: str, folder: Path) -> Path:
    """Write the package as of a commit to a folder, and return the folder.

    Raises
    ------
    BuildError
        When the history has no such commit.
    """
    command = ["git", "-C", str(ROOT), "archive", "--format=tar", commit, "pollenlb"]
    archive = subprocess.run(command, capture_output=True)
    if archive.returncode:
        raise BuildError(
            f"version {commit} cannot be built from this clone: "
            f"{archive.stderr.decode().strip()}"
        )
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(folder, filter="data")
    return folder
