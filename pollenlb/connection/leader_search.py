"""Decides which control instance to ask next while the leader is unknown."""

from __future__ import annotations

from collections.abc import Iterable

from ..ids import Address


class LeaderSearch:
    """The known control instances, and which of them a search has asked.

    An instance that does not lead may report the leader, but its report can be
    out of date: it may be cut off, or report an instance that has stepped down.
    So a report is followed only once in a round of the search, and otherwise the
    next instance is asked that was not asked in the round. A round of N instances
    thus ends after 2 N attempts at most, and every instance was asked in it.

    Parameters
    ----------
    addresses : iterable of Address
        Control instances to start with; at least one.
    """

    def __init__(self, addresses: Iterable[Address]) -> None:
        self._addresses = list(addresses)
        self._preferred = self._addresses[0]
        self._asked: set[Address] = set()
        self._followed: set[Address] = set()
        self._attempt_count = 0

    @property
    def preferred(self) -> Address:
        """Instance to ask next; the leader, as far as known."""
        return self._preferred

    @property
    def attempt_count(self) -> int:
        """Number of attempts since the leader answered last."""
        return self._attempt_count

    def add(self, address: Address) -> None:
        """Add a control instance, unless it is known."""
        if address not in self._addresses:
            self._addresses.append(address)

    def record_leader(self, address: Address) -> None:
        """Record that an instance answered as the leader, which ends the search."""
        self._preferred = address
        self._attempt_count = 0
        self._start_round()

    def record_failure(self, asked: Address, reported: Address) -> None:
        """Record that an instance did not answer as the leader.

        Parameters
        ----------
        asked : Address
            The instance.
        reported : Address
            Leader that it reported; empty when it reported none.
        """
        self._attempt_count += 1
        self._asked.add(asked)
        if asked != self._preferred:
            # A concurrent call has failed there before and gone on.
            return
        if reported not in ("", asked) and asked not in self._followed:
            self._followed.add(asked)
            self.add(reported)
            self._preferred = reported
        else:
            self._preferred = self._next_address(asked)

    def _next_address(self, asked: Address) -> Address:
        """Return the first address after a given one that the round has not asked."""
        position = self._addresses.index(asked) + 1
        following = self._addresses[position:] + self._addresses[:position]
        for address in following:
            if address not in self._asked:
                return address
        self._start_round()
        return following[0]

    def _start_round(self) -> None:
        self._asked.clear()
        self._followed.clear()
