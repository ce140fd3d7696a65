"""Selection of ports for servers that are about to start on the loopback address."""

from __future__ import annotations

import itertools
import socket

# The range ends below the ephemeral ports of outgoing connections (from 32768 on
# Linux): such a port could be taken between its choice here and its use.
FIRST_PORT = 15_000
END_PORT = 31_000
_BLOCK_PORT_COUNT = 400

_block_guards: list[socket.socket] = []
_block_ports = itertools.cycle([0])


def free_ports(count: int) -> list[int]:
    """Return free ports that this function returns to no other process.

    Each process reserves a block of ports by listening on the first one.

    Raises
    ------
    OSError
        If all blocks are reserved, or too few ports are free in the block.
    """
    global _block_ports
    if not _block_guards:
        start = _reserve_block()
        _block_ports = itertools.cycle(range(start + 1, start + _BLOCK_PORT_COUNT))
    ports: list[int] = []
    for port in itertools.islice(_block_ports, _BLOCK_PORT_COUNT):
        if len(ports) == count:
            break
        if _is_free(port):
            ports.append(port)
    if len(ports) < count:
        raise OSError(f"fewer than {count} ports are free in this process's port block")
    return ports


def _reserve_block() -> int:
    for start in range(FIRST_PORT, END_PORT, _BLOCK_PORT_COUNT):
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", start))
            guard.listen()  # a port that is only bound can be bound a second time
        except OSError:
            guard.close()
            continue
        _block_guards.append(guard)
        return start
    raise OSError(f"all port blocks from {FIRST_PORT} to {END_PORT} are reserved")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
