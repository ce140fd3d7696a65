"""Ports for servers that are about to start on the loopback address."""

from __future__ import annotations

import itertools
import socket

# Below the range from which systems choose ports of outgoing connections
# (32768 and up on Linux): those could be taken between choice and use.
FIRST_PORT = 15_000
END_PORT = 31_000
_BLOCK = 400

_guards: list[socket.socket] = []
_numbers = itertools.cycle([0])


def free_ports(count: int) -> list[int]:
    """Return ports that are free now and that no other process will choose.

    A process keeps a block of ports to itself by holding its first one.

    Raises
    ------
    OSError
        When all blocks are taken.
    """
    global _numbers
    if not _guards:
        start = _take_block()
        _numbers = itertools.cycle(range(start + 1, start + _BLOCK))
    found: list[int] = []
    for port in itertools.islice(_numbers, _BLOCK):
        if len(found) == count:
            break
        if _is_free(port):
            found.append(port)
    if len(found) < count:
        raise OSError(f"no {count} ports are free in this process's block")
    return found


def _take_block() -> int:
    for start in range(FIRST_PORT, END_PORT, _BLOCK):
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", start))
            guard.listen()  # a bound port alone could be bound again by others
        except OSError:
            guard.close()
            continue
        _guards.append(guard)
        return start
    raise OSError(f"all ports from {FIRST_PORT} to {END_PORT} are taken")


def _is_free(port: int) -> bool:
    with socket.socket() as attempt:
        attempt.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            attempt.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
