"""Run a job through a whole system while parts of it fail."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from .cluster import ROOT, Cluster, ClusterPlan

_TIMEOUT_S = 45
_KILL_AT_LINE = "step 1 submitted"
_KILL_DELAY_S = 0.3
_VICTIM = "afilador-lm-2"


def plan(folder: Path) -> ClusterPlan:
    """Return the system of the demo: the sizes of Filo Austral."""
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
        plains={"mostrador": 3, "puntaje": 1},
    )


async def run_demo(folder: Path) -> bool:
    """Run the demo and tell whether every promise was kept."""
    cluster = Cluster(plan(folder))
    try:
        print("starting 3 control instances, 7 entries, 6 engines, 4 plain services")
        await cluster.start()
        print("the system is ready")
        reports = await _run_callers(cluster, folder)
    finally:
        cluster.stop()
    return _report(*reports)


async def _run_callers(cluster: Cluster, folder: Path) -> tuple[dict, dict]:
    load_file, trainer_file = folder / "load.json", folder / "trainer.json"
    cluster.commands["load"] = _command(cluster, "load", load_file)
    cluster.launch("load")
    trainer = await asyncio.create_subprocess_exec(
        *_command(cluster, "trainer", trainer_file), cwd=ROOT, stdout=subprocess.PIPE
    )
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            await _follow(cluster, trainer)
    finally:
        if trainer.returncode is None:
            trainer.kill()
            await trainer.wait()
    cluster.signal("load", signal.SIGTERM)
    await asyncio.to_thread(cluster.processes["load"].wait, _TIMEOUT_S)
    return json.loads(trainer_file.read_text()), json.loads(load_file.read_text())


def _command(cluster: Cluster, kind: str, report: Path) -> list[str]:
    return [
        sys.executable, "-m", "fakes", kind, "--port", "0",
        "--balancer", cluster.balancer, "--report", str(report),
    ]  # fmt: skip


async def _follow(cluster: Cluster, trainer: asyncio.subprocess.Process) -> None:
    assert trainer.stdout is not None
    async for line in trainer.stdout:
        text = line.decode().rstrip()
        print(f"  trainer: {text}")
        if text == _KILL_AT_LINE:
            await asyncio.sleep(_KILL_DELAY_S)
            print(f"  killing engine {_VICTIM}")
            cluster.kill(_VICTIM)
    await trainer.wait()


def _report(trainer: dict, load: dict) -> bool:
    idle = trainer["waited_s"] / trainer["total_s"]
    print(f"trainer: {trainer['samples']} samples in {trainer['total_s']:.1f} s")
    print(f"  samples with tokens of a version: {trainer['versions']}")
    print(f"  samples by age in versions: {trainer['staleness']}")
    print(f"  idle share: {idle:.2f}")
    broken = list(trainer["broken"])
    for name, seen in load.items():
        print(
            f"{name}: {seen['count']} requests, p50 {seen['p50_ms']:.1f} ms, "
            f"p99 {seen['p99_ms']:.1f} ms, {len(seen['errors'])} errors, "
            f"{seen['refused']} refused as not run"
        )
        broken += seen["errors"]
    for promise in broken:
        print(f"BROKEN: {promise}")
    return not broken


def main() -> None:
    """Run the demo in a temporary folder, or in the one that is named."""
    if len(sys.argv) > 1:
        is_kept = asyncio.run(run_demo(Path(sys.argv[1])))
    else:
        with tempfile.TemporaryDirectory(prefix="pollenlb-demo-") as folder:
            is_kept = asyncio.run(run_demo(Path(folder)))
    sys.exit(0 if is_kept else 1)


if __name__ == "__main__":
    main()
