"""The real programs, started as processes on the loopback address."""

from __future__ import annotations

import json
import os
import shutil
import signal
import subprocess
import sys
from pathlib import Path

from fakes.ports import free_ports
from tests.local_system import FAILURE_DOMAINS

ROOT = Path(__file__).resolve().parent.parent
_STOP_TIMEOUT_S = 15


class Programs:
    """Control instances and entries, each a process addressed by its name.

    Parameters
    ----------
    folder : Path
        Folder for settings files, data folders and output files.
    controls, entries : int
        Number of control instances and of entries.

    Attributes
    ----------
    base_urls : dict
        Base URL of each process's HTTP interface.
    """

    def __init__(self, folder: Path, controls: int, entries: int) -> None:
        self.folder = folder
        self.base_urls: dict[str, str] = {}
        self._processes: dict[str, subprocess.Popen] = {}
        self._roles: dict[str, str] = {}
        self._roots: dict[str, Path] = {}
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

    def use_build(self, name: str, root: Path) -> None:
        """Let the next start of a process run the package in another folder."""
        self._roots[name] = root

    def ended(self) -> list[str]:
        """Return the names of started processes that do not run any more."""
        return [
            name
            for name, process in self._processes.items()
            if process.poll() is not None
        ]

    def start(self, name: str) -> None:
        """Start or restart a process; its output is appended to a file."""
        environment = {**os.environ, "POLLENLB_CONFIG": str(self._settings_path(name))}
        with (self.folder / f"{name}.out").open("ab") as output:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", "pollenlb.platform", self._roles[name]],
                cwd=self._roots.get(name, ROOT),
                env=environment,
                stdout=output,
                stderr=output,
            )

    def has_recorded(self, name: str, event: str) -> bool:
        """Return whether a process has ever recorded an event of a type."""
        output = (self.folder / f"{name}.out").read_text(errors="replace")
        return f'"message_type":"{event}"' in output

    def start_all(self) -> None:
        """Start every process."""
        for name in self._roles:
            self.start(name)

    def kill(self, name: str) -> None:
        """Kill a process (SIGKILL) and wait for its end."""
        self._processes[name].kill()
        self._processes[name].wait()
        self._paused.discard(name)

    def terminate(self, name: str) -> int:
        """Ask a process to end (SIGTERM) and return its exit code.

        Raises
        ------
        subprocess.TimeoutExpired
            If the process has not ended after ``_STOP_TIMEOUT_S`` seconds.
        """
        self.resume(name)
        self._processes[name].terminate()
        return self._processes[name].wait(_STOP_TIMEOUT_S)

    def pause(self, name: str) -> None:
        """Suspend a process (SIGSTOP) until `resume`."""
        self._processes[name].send_signal(signal.SIGSTOP)
        self._paused.add(name)

    def resume(self, name: str) -> None:
        """Continue a process (SIGCONT) if it is paused."""
        if name in self._paused:
            self._processes[name].send_signal(signal.SIGCONT)
            self._paused.discard(name)

    def lose_disk(self, name: str) -> None:
        """Remove the data of a control instance that is not running.

        ``bootstrap`` is also removed from its settings, so that it joins the cluster.
        """
        shutil.rmtree(self.folder / name)
        path = self._settings_path(name)
        path.write_text(path.read_text().replace("bootstrap = true", ""))

    def stop(self) -> None:
        """Kill all processes that this object started and wait for their end."""
        for name, process in self._processes.items():
            if process.poll() is None:
                self.resume(name)
                process.kill()
                process.wait()

    def _prepare_control(
        self, name: str, number: int, listen: str, seeds: list[str]
    ) -> None:
        (port,) = free_ports(1)
        self.base_urls[name] = f"http://127.0.0.1:{port}"
        self._write_settings(
            name,
            "control",
            {
                "failure_domain": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
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
                "snapshot_every": 300,
                "order_lifetime_s": 1.0,
            },
        )

    def _prepare_entry(self, name: str, number: int, seeds: list[str]) -> None:
        port, ready_port = free_ports(2)
        self.base_urls[name] = f"http://127.0.0.1:{port}"
        self._write_settings(
            name,
            "entry",
            {
                "failure_domain": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
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

    def _write_settings(self, name: str, role: str, settings: dict) -> None:
        self._roles[name] = role
        lines = [f"name = {json.dumps(name)}"]
        lines += [f"{key} = {json.dumps(value)}" for key, value in settings.items()]
        self._settings_path(name).write_text("\n".join(lines) + "\n")

    def _settings_path(self, name: str) -> Path:
        return self.folder / f"{name}.toml"
