"""Ports that tests, the soak and the demo assign to the servers that they start."""

from __future__ import annotations

import subprocess
import sys

from fakes.ports import END_PORT, FIRST_PORT, free_ports

_FIRST_EPHEMERAL_PORT = 32_768


def test_ports_are_distinct_and_below_those_of_outgoing_connections():
    ports = free_ports(50)
    assert len(set(ports)) == 50
    assert FIRST_PORT < min(ports) and max(ports) < END_PORT < _FIRST_EPHEMERAL_PORT


def test_another_process_gets_other_ports():
    own_ports = set(free_ports(50))
    # 399 are all ports of a block but the first, which reserves the block.
    script = "from fakes.ports import free_ports; print(*free_ports(399))"
    result = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    assert not own_ports & {int(port) for port in result.stdout.split()}
