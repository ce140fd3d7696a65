"""A port at which connecting hangs, as behind a network that drops packets."""

from __future__ import annotations

import socket

# More than a backlog of 0 holds.
_HELD_CONNECTIONS = 4


class FullPort:
    """Listens on the loopback address with a full backlog; nothing is accepted.

    Parameters
    ----------
    port : int
        Port to listen on; 0 lets the operating system choose one.

    Attributes
    ----------
    port : int
        Port on which new connections hang.
    """

    def __init__(self, port: int = 0) -> None:
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(("127.0.0.1", port))
        self._listener.listen(0)
        self.port = self._listener.getsockname()[1]
        self._held = [socket.socket() for _ in range(_HELD_CONNECTIONS)]
        for held in self._held:
            held.setblocking(False)
            held.connect_ex(("127.0.0.1", self.port))

    def close(self) -> None:
        """Free the port."""
        for held in (*self._held, self._listener):
            held.close()
