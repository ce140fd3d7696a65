"""Start-time fair queueing: the order in which waiting work of workspaces is served.

The load that this addresses: one workspace queues much more work than all others.
In order of arrival the others would wait for all of it.

Start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996) gives each request a
start tag, which is the larger of the virtual time at its arrival and the finish tag of
the request of its workspace that was served before it. The finish tag is the start tag
plus the inverse of the workspace's weight, and the virtual time is the start tag of the
request served last. The request with the lowest start tag is served first, so that
workspaces that wait are served in proportion to their weights, whatever they had
before. Virtual time and tags are kept by priority, and a more urgent priority is always
served first.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import Generic, NamedTuple, TypeVar

from ..ids import WorkspaceName

K = TypeVar("K", bound=Hashable)


class Flow(NamedTuple):
    """Work of one workspace with one priority.

    Attributes
    ----------
    priority : int
        Lower numbers are served first.
    workspace : WorkspaceName
        The workspace; empty for callers without one.
    weight : float
        Its share relative to that of others; above 0.
    """

    priority: int
    workspace: WorkspaceName = WorkspaceName("")
    weight: float = 1.0


@dataclass
class _Waiting(Generic[K]):
    """Waiting requests of a flow, with the virtual times of their arrivals."""

    returning: deque[tuple[K, float]] = field(default_factory=deque)
    new: deque[tuple[K, float]] = field(default_factory=deque)

    @property
    def first(self) -> tuple[K, float]:
        return (self.returning or self.new)[0]

    def __len__(self) -> int:
        return len(self.returning) + len(self.new)


class FairQueue(Generic[K]):
    """Waiting requests of one service, in the order in which they are served.

    A request that leaves without having been served takes nothing of its workspace's
    share. Within a flow, requests that come back after a refusal are served before new
    ones, and otherwise in order of arrival.
    """

    def __init__(self) -> None:
        self._flows: dict[Flow, _Waiting[K]] = {}
        self._finish_tags: dict[Flow, float] = {}
        self._virtual_times: dict[int, float] = {}

    def __len__(self) -> int:
        return sum(map(len, self._flows.values()))

    def add(self, key: K, flow: Flow, is_returning: bool = False) -> None:
        """Add a request, which must not wait already.

        Parameters
        ----------
        key : hashable
            Identifies the request to the caller.
        flow : Flow
            Workspace and priority of the request.
        is_returning : bool
            Whether it comes back after a refusal.
        """
        waiting = self._flows.setdefault(flow, _Waiting())
        requests = waiting.returning if is_returning else waiting.new
        requests.append((key, self._virtual_times.get(flow.priority, 0.0)))

    def remove(self, key: K, flow: Flow) -> None:
        """Remove a request that is not to be served; nothing if it does not wait."""
        waiting = self._flows.get(flow)
        if waiting is None:
            return
        for requests in (waiting.returning, waiting.new):
            for entry in requests:
                if entry[0] == key:
                    requests.remove(entry)
                    break
        if not waiting:
            del self._flows[flow]
            self._forget_past_tags(flow.priority)

    def take(
        self,
        is_eligible: Callable[[Flow, bool], bool] = lambda flow, is_returning: True,
    ) -> K | None:
        """Remove and return the request to serve next; None if there is none.

        Parameters
        ----------
        is_eligible : callable
            Returns whether the first request of a flow may be served now, given the
            flow and whether the request comes back after a refusal.
        """
        eligible = [
            flow
            for flow, waiting in self._flows.items()
            if is_eligible(flow, bool(waiting.returning))
        ]
        flow = min(eligible, key=self._rank, default=None)
        if flow is None:
            return None
        waiting = self._flows[flow]
        start_tag = self._start_tag(flow)
        key, _ = (waiting.returning or waiting.new).popleft()
        if not waiting:
            del self._flows[flow]
        self._finish_tags[flow] = start_tag + 1 / flow.weight
        self._virtual_times[flow.priority] = start_tag
        self._forget_past_tags(flow.priority)
        return key

    @property
    def flows(self) -> list[Flow]:
        """Flows with waiting requests."""
        return list(self._flows)

    def last_of(self, flow: Flow) -> K | None:
        """Return the request of a flow that is served last; None if none waits."""
        waiting = self._flows.get(flow)
        return (waiting.new or waiting.returning)[-1][0] if waiting else None

    def ahead_of(self, flow: Flow) -> int:
        """Return how many requests are served before a new one of a flow, at most.

        Of each other flow of the same priority no more than the weights allow count.
        """
        own = len(self._flows[flow]) if flow in self._flows else 0
        ahead = own
        for other, waiting in self._flows.items():
            if other.priority < flow.priority:
                ahead += len(waiting)
            elif other.priority == flow.priority and other != flow:
                turns = (own + 1) * other.weight / flow.weight
                ahead += min(len(waiting), max(1, int(turns)))
        return ahead

    def _rank(self, flow: Flow) -> tuple[int, float]:
        return flow.priority, self._start_tag(flow)

    def _start_tag(self, flow: Flow) -> float:
        _, arrived_at = self._flows[flow].first
        return max(arrived_at, self._finish_tags.get(flow, 0.0))

    def _forget_past_tags(self, priority: int) -> None:
        """Drop finish tags that no later start tag can depend on.

        Once nothing waits, virtual time is the largest finish tag.
        """
        tags = {
            flow: tag
            for flow, tag in self._finish_tags.items()
            if flow.priority == priority
        }
        virtual_time = self._virtual_times.get(priority, 0.0)
        if not any(flow.priority == priority for flow in self._flows):
            virtual_time = max(virtual_time, *tags.values(), 0.0)
            self._virtual_times[priority] = virtual_time
        for flow, tag in tags.items():
            if tag <= virtual_time and flow not in self._flows:
                del self._finish_tags[flow]
