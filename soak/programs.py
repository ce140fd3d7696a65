"""The real programs as processes on the loopback address."""

from __future__ import annotations

import json
import os
import shutil
import signal
import subprocess
import sys
from pathlib import Path

from fakes.ports import free_ports
from tests.local_system import DOMAINS

ROOT = Path(__file__).resolve().parent.parent
_STOP_TIMEOUT_S = 15


class Programs:
    """Control instances and entries, each a process, by name.

    Parameters
    ----------
    folder : Path
        Folder of settings, data and output.
    controls, entries : int
        How many of each.
    """

    def __init__(self, folder: Path, controls: int, entries: int) -> None:
        self.folder = folder
        self.http: dict[str, str] = {}
        self._processes: dict[str, subprocess.Popen] = {}
        self._roles: dict[str, str] = {}
        self._paused: set[str] = set()
        seeds = [f"127.0.0.1:{port}" for port in free_ports(controls)]
        for number, listen in enumerate(seeds):
            self._prepare_control(f"control-{number}", number, listen, seeds)
        for number in range(entries):
            self._prepare_entry(f"entry-{number}", number, seeds)

    @property
    def controls(self) -> list[str]:
        """Names of the control instances."""
        return [name for name, role in self._roles.items() if role == "control"]

    @property
    def entries(self) -> list[str]:
        """Names of the entries."""
        return [name for name, role in self._roles.items() if role == "entry"]

    def start(self, name: str) -> None:
        """Start a process, or start it again."""
        environment = {**os.environ, "POLLENLB_CONFIG": str(self._settings(name))}
        with (self.folder / f"{name}.out").open("ab") as output:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", "pollenlb.platform", self._roles[name]],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def start_all(self) -> None:
        """Start every process."""
        for name in self._roles:
            self.start(name)

    def kill(self, name: str) -> None:
        """End a process at once."""
        self._processes[name].kill()
        self._processes[name].wait()
        self._paused.discard(name)

    def terminate(self, name: str) -> int:
        """Ask a process to end and return its exit code."""
        self.resume(name)
        self._processes[name].terminate()
        return self._processes[name].wait(_STOP_TIMEOUT_S)

    def pause(self, name: str) -> None:
        """Stop a process for a while."""
        self._processes[name].send_signal(signal.SIGSTOP)
        self._paused.add(name)

    def resume(self, name: str) -> None:
        """Let a process go on, if it was paused."""
        if name in self._paused:
            self._processes[name].send_signal(signal.SIGCONT)
            self._paused.discard(name)

    def lose_disk(self, name: str) -> None:
        """Remove the data of a process that does not run."""
        shutil.rmtree(self.folder / name)
        path = self._settings(name)
        path.write_text(path.read_text().replace("bootstrap = true", ""))

    def stop(self) -> None:
        """End all processes that this object started."""
        for name, process in self._processes.items():
            if process.poll() is None:
                self.resume(name)
                process.kill()
                process.wait()

    def _prepare_control(
        self, name: str, number: int, listen: str, seeds: list[str]
    ) -> None:
        (port,) = free_ports(1)
        self.http[name] = f"http://127.0.0.1:{port}"
        self._prepare(
            name,
            "control",
            {
                "failure_domain": DOMAINS[number % len(DOMAINS)],
                "listen": listen,
                "http_listen": f"127.0.0.1:{port}",
                "data_folder": str(self.folder / name),
                "event_output": "stdout",
                "seeds": seeds,
                "bootstrap": True,
                "heartbeat_s": 0.08,
                "election_timeout_s": 0.45,
                "lease_s": 1.0,
                "replace_after_s": 1.5,
                "order_lifetime_s": 1.0,
            },
        )

    def _prepare_entry(self, name: str, number: int, seeds: list[str]) -> None:
        port, ready_port = free_ports(2)
        self.http[name] = f"http://127.0.0.1:{port}"
        self._prepare(
            name,
            "entry",
            {
                "failure_domain": DOMAINS[number % len(DOMAINS)],
                "listen": f"127.0.0.1:{port}",
                "ready_listen": f"127.0.0.1:{ready_port}",
                "control": seeds,
                "serves_without_lease": True,
                "probe_interval_s": 0,
                "progress_timeout_s": 2.0,
                "balancer_delay_s": 0.3,
                "shutdown_grace_s": 5.0,
            },
        )

    def _prepare(self, name: str, role: str, settings: dict) -> None:
        self._roles[name] = role
        lines = [f"name = {json.dumps(name)}"]
        lines += [f"{key} = {json.dumps(value)}" for key, value in settings.items()]
        self._settings(name).write_text("\n".join(lines) + "\n")

    def _settings(self, name: str) -> Path:
        return self.folder / f"{name}.toml"
