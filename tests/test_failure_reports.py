"""Reports of failed tests."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

_ROOT = Path(__file__).parents[1]

_FAILING_TEST = """
import ast
import gc


def parse(phase, info):
    ast.parse("a + b")


def test_that_fails():
    gc.callbacks.append(parse)
    gc.set_threshold(1, 1, 1)
    assert [1, 2] == [3, 4]


def test_after_it():
    gc.callbacks.remove(parse)
"""


# Guards against a run of the suite that ends at a failed test with "INTERNALERROR",
# because a finalizer parsed source while pytest did.
def test_run_goes_on_when_source_is_parsed_during_the_report_of_a_failure(tmp_path):
    (tmp_path / "conftest.py").write_text(
        "from tests.conftest import pytest_runtest_makereport\n"
    )
    (tmp_path / "test_of_a_finalizer.py").write_text(_FAILING_TEST)
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", tmp_path],
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": str(_ROOT)},
        stdout=subprocess.PIPE,
        text=True,
    )
    assert "1 failed, 1 passed" in run.stdout, run.stdout
    assert run.returncode == 1
