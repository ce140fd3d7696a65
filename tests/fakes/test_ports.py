"""Ports that tests, the soak and the demo give to the servers they start."""

from __future__ import annotations

import subprocess
import sys

from fakes.ports import END_PORT, FIRST_PORT, free_ports

_FIRST_EPHEMERAL = 32_768


def test_outgoing_connections_cannot_take_a_chosen_port():
    ports = free_ports(50)
    assert len(set(ports)) == 50
    assert FIRST_PORT < min(ports) and max(ports) < END_PORT < _FIRST_EPHEMERAL


def test_another_process_chooses_other_ports():
    own = set(free_ports(50))
    script = "from fakes.ports import free_ports; print(*free_ports(399))"
    made = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    assert not own & {int(each) for each in made.stdout.split()}
