"""Orders to backend servers in the native protocol: JSON over HTTP."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..ids import WeightVersion


class OrderKind(Enum):
    """What a backend server is ordered to do."""

    SWAP = "swap"


class FencingNumber(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Fencing token of an order.

    A backend server that checks it refuses an order with a lower number than
    one that it has accepted.

    Attributes
    ----------
    term : int
        Raft term of the leader that issues the order.
    sequence : int
        Number of the order; it increases with each one, also across terms.
    """

    term: int
    sequence: int


class Order(msgspec.Struct, frozen=True):
    """One order, the body of a request to a backend server.

    Attributes
    ----------
    version : WeightVersion
        Version to load.
    valid_ms : int
        Milliseconds within which the backend server must start to carry out
        the order.
    """

    kind: OrderKind
    version: WeightVersion
    fencing: FencingNumber
    valid_ms: int


encode_order = msgspec.json.Encoder().encode
