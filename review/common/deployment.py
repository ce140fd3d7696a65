"""Starts the project's programs as the deploy file does, on loopback addresses."""

from __future__ import annotations

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
_PASSED_VARIABLES = ("PATH", "HOME", "LANG")
_PLACEHOLDER = re.compile(r"\{\{([a-z_.0-9]+)(\|json)?\}\}")
_SECTION = re.compile(r"\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_EXIT_TIMEOUT_S = 12


class Record:
    """Lines of what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Append a line."""
        self._file.write(f"{time.monotonic() - self._started_at:9.3f} {text}\n")
        self._file.flush()


class Program:
    """One process of the project on an address of its own.

    Parameters
    ----------
    role : str
        Role in the deploy file.
    fields : dict
        Fields of the settings that the platform would give the process.
    folder : Path
        Folder for the settings file and the output.
    """

    def __init__(self, role: str, fields: dict[str, Any], folder: Path) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._role = deploy["roles"][role]
        self.fields = fields
        self.name = fields["node_name"]
        self.output = folder / f"{self.name}.out"
        self._settings = folder / f"{self.name}.toml"
        self._process: subprocess.Popen | None = None
        self.exit_codes: list[int] = []

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int:
        """Id of the process that was started last."""
        assert self._process is not None
        return self._process.pid

    def start(self) -> None:
        """Start the process, with settings rendered anew."""
        template = (ROOT / self._role["template"]).read_text()
        self._settings.write_text(render(template, self.fields))
        environment = {
            name: os.environ[name] for name in _PASSED_VARIABLES if name in os.environ
        }
        environment |= self._role.get("env", {})
        environment["PYTHONPATH"] = "target/deps"
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["POLLENLB_CONFIG"] = str(self._settings)
        with self.output.open("ab") as output:
            self._process = subprocess.Popen(
                self._role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process, if it still runs."""
        if self.is_running:
            assert self._process is not None
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        self.wait()

    def wait(self) -> int | None:
        """Wait for the end of the process and return its exit code."""
        if self._process is None:
            return None
        code = self._process.wait(_EXIT_TIMEOUT_S)
        self.exit_codes.append(code)
        return code

    def events(self) -> list[dict[str, Any]]:
        """Return the events that the process has written."""
        found = []
        for line in self.output.read_text(errors="replace").splitlines():
            try:
                found.append(json.loads(line))
            except ValueError:
                continue
        return found


class Deployment:
    """Control instances and entries of a small deployment.

    Parameters
    ----------
    controls, entries : int
        Number of control instances and of entries.
    entry_zones : int
        Number of zones that the entries are in.
    """

    def __init__(
        self, controls: int = 3, entries: int = 2, entry_zones: int = 3
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="pollenlb-review-"))
        control_ips = [f"127.0.0.{number + 11}" for number in range(controls)]
        entry_ips = [f"127.0.1.{number + 11}" for number in range(entries)]
        ports = free_ports([*control_ips, *entry_ips], 4)
        internal, control_port, front, ready = ports
        seeds = [f"{ip}:{control_port}" for ip in control_ips[:3]]
        common = {
            "region": "region-1",
            "internal_ports": [internal, internal],
            "seeds": seeds,
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"status_s": 120},
        }
        self.controls = [
            Program(
                "control",
                {
                    **common,
                    "node_name": f"store-{number}",
                    "zone": f"zone-{number % 3}",
                    "ip": ip,
                    "listen": {"control": f"{ip}:{control_port}"},
                    "data_dir": str(self.folder / f"store-{number}"),
                    "bootstrap": number < 3,
                },
                self.folder,
            )
            for number, ip in enumerate(control_ips)
        ]
        self.entries = [
            Program(
                "entry",
                {
                    **common,
                    "node_name": f"front-{number}",
                    "zone": f"zone-{number % entry_zones}",
                    "ip": ip,
                    "listen": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}"},
                    "bootstrap": True,
                },
                self.folder,
            )
            for number, ip in enumerate(entry_ips)
        ]

    @property
    def control_addresses(self) -> list[str]:
        """Addresses at which control is served to servers and the operator."""
        return [program.fields["listen"]["control"] for program in self.controls]

    @property
    def front_addresses(self) -> list[str]:
        """Addresses at which the entries take requests."""
        return [program.fields["listen"]["front"] for program in self.entries]

    def start(self) -> None:
        """Start all processes."""
        for program in [*self.controls, *self.entries]:
            program.start()
        for program in self.controls:
            # A disk may be lost later; only the first start may form a cluster.
            program.fields["bootstrap"] = False

    @property
    def ready_addresses(self) -> list[str]:
        """Addresses at which the platform asks whether the entries are ready."""
        return [program.fields["listen"]["ready"] for program in self.entries]

    def stop(self) -> None:
        """End all processes and remove their files."""
        for program in [*self.entries, *self.controls]:
            program.send_signal(signal.SIGCONT)
            if program.is_running:
                program.kill()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def free_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free on every one of some loopback addresses."""
    ports: list[int] = []
    # Spread, so that scripts that start together choose different ports, and below the
    # ports that the kernel gives to clients.
    candidate = 20_000 + 97 * os.getpid() % 12_000
    while len(ports) < count:
        candidate += 1
        try:
            for ip in ips:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((ip, candidate))
        except OSError:
            continue
        ports.append(candidate)
    return ports


def render(template: str, fields: dict[str, Any]) -> str:
    """Return a settings template with its placeholders filled in."""

    def repeat(match: re.Match) -> str:
        entries = _find(fields, match[1])
        parts = []
        for number, entry in enumerate(entries):
            is_last = number == len(entries) - 1
            part = match[2].replace("{{.}}", str(entry))
            parts.append(part.replace("{{,}}", "" if is_last else ","))
        return "".join(parts)

    def fill(match: re.Match) -> str:
        value = _find(fields, match[1])
        return json.dumps(value) if match[2] else str(value)

    return _PLACEHOLDER.sub(fill, _SECTION.sub(repeat, template))


def _find(fields: dict[str, Any], path: str) -> Any:
    value: Any = fields
    for name in path.split("."):
        value = value[int(name)] if isinstance(value, list) else value[name]
    return value
