"""Orders to backend servers, in JSON over HTTP."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..ids import WeightVersion


class OrderKind(Enum):
    """What a backend server is told to do."""

    SWAP = "swap"


class FencingNumber(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Orders a backend server must not go back behind.

    Attributes
    ----------
    term : int
        Term of the leader that gives the order.
    sequence : int
        Number of the order within the term.
    """

    term: int
    sequence: int


class Order(msgspec.Struct, frozen=True):
    """One order.

    Attributes
    ----------
    valid_ms : int
        Milliseconds within which the order must be begun.
    """

    kind: OrderKind
    version: WeightVersion
    fencing: FencingNumber
    valid_ms: int


encode_order = msgspec.json.Encoder().encode
