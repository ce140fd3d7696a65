"""Command line of the demo: train a job on a complete system while an engine fails."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from .cluster import ROOT, Cluster, ClusterPlan

_TRAINER_TIMEOUT_S = 45
_KILL_AT_LINE = "step 1 submitted"
_KILL_DELAY_S = 0.3
_ENGINE_TO_KILL = "afilador-lm-2"


def make_plan(folder: Path) -> ClusterPlan:
    """Return the plan of the demo's system; its sizes are those of Filo Austral."""
    return ClusterPlan(
        folder=folder,
        services={
            "afilador-lm": {"kind": "engine", "checks_fencing": True},
            "mostrador": {"kind": "plain"},
            "puntaje": {"kind": "plain"},
        },
        routes={
            "completions": {
                "service": "afilador-lm",
                "path_prefix": "/v1",
                "request_class": "short",
                "repeatable": True,
            },
            "counter": {
                "service": "mostrador",
                "path_prefix": "/orders",
                "repeatable": True,
            },
        },
        engines={"afilador-lm": 6},
        plain_services={"mostrador": 3, "puntaje": 1},
    )


async def run_demo(folder: Path) -> bool:
    """Run the demo and return whether every guarantee was kept.

    Raises
    ------
    TimeoutError
        If the system is not ready, or the trainer not done, in time.
    """
    cluster = Cluster(make_plan(folder))
    try:
        print("starting 3 control instances, 7 entries, 6 engines, 4 plain services")
        await cluster.start()
        print("the system is ready")
        reports = await _run_callers(cluster, folder)
    finally:
        cluster.stop()
    return _print_report(*reports)


async def _run_callers(cluster: Cluster, folder: Path) -> tuple[dict, dict]:
    load_file, trainer_file = folder / "load.json", folder / "trainer.json"
    cluster.commands["load"] = _fake_command(cluster, "load", load_file)
    cluster.start_process("load")
    trainer = await asyncio.create_subprocess_exec(
        *_fake_command(cluster, "trainer", trainer_file),
        cwd=ROOT,
        stdout=subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(_TRAINER_TIMEOUT_S):
            await _follow_trainer(cluster, trainer)
    finally:
        if trainer.returncode is None:
            trainer.kill()
            await trainer.wait()
    cluster.send_signal("load", signal.SIGTERM)
    await asyncio.to_thread(cluster.processes["load"].wait, _TRAINER_TIMEOUT_S)
    return json.loads(trainer_file.read_text()), json.loads(load_file.read_text())


def _fake_command(cluster: Cluster, kind: str, report_file: Path) -> list[str]:
    return [
        sys.executable, "-m", "fakes", kind, "--port", "0",
        "--balancer", cluster.balancer_url, "--report", str(report_file),
    ]  # fmt: skip


async def _follow_trainer(
    cluster: Cluster, trainer: asyncio.subprocess.Process
) -> None:
    assert trainer.stdout is not None
    async for line in trainer.stdout:
        text = line.decode().rstrip()
        print(f"  trainer: {text}")
        if text == _KILL_AT_LINE:
            await asyncio.sleep(_KILL_DELAY_S)
            print(f"  killing engine {_ENGINE_TO_KILL}")
            cluster.kill(_ENGINE_TO_KILL)
    await trainer.wait()


def _print_report(trainer: dict, load: dict) -> bool:
    idle_ratio = trainer["waited_s"] / trainer["total_s"]
    print(f"trainer: {trainer['samples']} samples in {trainer['total_s']:.1f} s")
    print(f"  samples with tokens of a version: {trainer['versions']}")
    print(f"  samples by age in versions: {trainer['staleness']}")
    print(f"  idle share: {idle_ratio:.2f}")
    violations = list(trainer["broken"])
    for kind, stats in load.items():
        print(
            f"{kind}: {stats['count']} requests, p50 {stats['p50_ms']:.1f} ms, "
            f"p99 {stats['p99_ms']:.1f} ms, {len(stats['errors'])} errors, "
            f"{stats['refused']} refused as not run"
        )
        violations += stats["errors"]
    for violation in violations:
        print(f"BROKEN: {violation}")
    return not violations


def main() -> None:
    """Run the demo in the folder of the first argument, else in a temporary one.

    The exit status is 0 if every guarantee was kept, else 1.
    """
    if len(sys.argv) > 1:
        has_passed = asyncio.run(run_demo(Path(sys.argv[1])))
    else:
        with tempfile.TemporaryDirectory(prefix="pollenlb-demo-") as folder:
            has_passed = asyncio.run(run_demo(Path(folder)))
    sys.exit(0 if has_passed else 1)


if __name__ == "__main__":
    main()
