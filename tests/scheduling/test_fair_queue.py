"""Start-time fair queueing: order of waiting requests of several workspaces."""

from __future__ import annotations

from hypothesis import given, strategies as st

from pollenlb.scheduling.fair_queue import FairQueue, Flow

_WEIGHTS = st.sampled_from([0.25, 0.5, 1.0, 2.0, 5.0])


def _take_all(queue: FairQueue) -> list:
    keys = []
    while (key := queue.take()) is not None:
        keys.append(key)
    return keys


@given(st.lists(st.integers(0, 5), max_size=30))
def test_one_flow_is_served_in_order_of_arrival(keys):
    """Guards against requests that overtake each other without a reason."""
    queue: FairQueue = FairQueue()
    requests = list(enumerate(keys))
    for request in requests:
        queue.add(request, Flow(5, "a"))
    assert _take_all(queue) == requests


@given(weights=st.lists(_WEIGHTS, min_size=2, max_size=5), taken=st.integers(1, 100))
def test_waiting_flows_are_served_by_weight(weights, taken):
    """Guards against a workspace that gets more than its share while others wait.

    The bound is that of the method: the inverse weights of both flows together.
    """
    flows = [Flow(5, f"w{number}", weight) for number, weight in enumerate(weights)]
    queue: FairQueue = FairQueue()
    for flow in flows:
        for number in range(taken):
            queue.add((flow, number), flow)
    served = [queue.take()[0] for _ in range(taken)]
    for one in flows:
        for other in flows:
            difference = served.count(one) / one.weight
            difference -= served.count(other) / other.weight
            assert abs(difference) <= 1 / one.weight + 1 / other.weight + 1e-9


@given(
    st.lists(st.tuples(st.integers(0, 3), st.sampled_from("abc")), max_size=30),
)
def test_more_urgent_requests_are_served_first(requests):
    """Guards against less urgent work that is served at the cost of more urgent."""
    queue: FairQueue = FairQueue()
    for number, (priority, workspace) in enumerate(requests):
        queue.add((priority, number), Flow(priority, workspace))
    priorities = [priority for priority, _ in _take_all(queue)]
    assert priorities == sorted(priority for priority, _ in requests)


@given(backlog=st.integers(1, 200), served=st.integers(0, 200))
def test_new_flow_does_not_wait_for_the_backlog_of_another(backlog, served):
    """Guards against a workspace that fills the queue for all others."""
    queue: FairQueue = FairQueue()
    for number in range(backlog + served):
        queue.add(("many", number), Flow(5, "many"))
    for _ in range(served):
        queue.take()
    queue.add(("few", 0), Flow(5, "few"))
    assert ("few", 0) in [queue.take(), queue.take()]


def test_flow_that_used_idle_capacity_owes_nothing():
    """Guards against a workspace that is refused for shares that nobody else wanted."""
    queue: FairQueue = FairQueue()
    for number in range(100):
        queue.add(("a", number), Flow(5, "a"))
        queue.take()
    for number in range(4):
        queue.add(("a", number), Flow(5, "a"))
        queue.add(("b", number), Flow(5, "b"))
    first = [workspace for workspace, _ in _take_all(queue)[:4]]
    assert sorted(first) == ["a", "a", "b", "b"]


def test_request_that_leaves_unserved_takes_nothing_of_the_share():
    """Guards against refused requests that count as served."""
    queue: FairQueue = FairQueue()
    for number in range(10):
        queue.add(("a", number), Flow(5, "a"))
    for number in range(9):
        queue.remove(("a", number), Flow(5, "a"))
    queue.add(("b", 0), Flow(5, "b"))
    assert _take_all(queue) == [("a", 9), ("b", 0)]


def test_returning_requests_come_before_new_ones_of_the_same_flow_only():
    """Guards against callers that wait as told and are overtaken."""
    queue: FairQueue = FairQueue()
    queue.add("a new", Flow(5, "a"))
    queue.add("a back", Flow(5, "a"), is_returning=True)
    queue.add("urgent", Flow(4, "b"))
    assert queue.last_of(Flow(5, "a")) == "a new"
    assert _take_all(queue) == ["urgent", "a back", "a new"]


def test_flows_that_are_not_eligible_keep_their_place():
    """Guards against requests that are lost or served although they may not be."""
    queue: FairQueue = FairQueue()
    queue.add("a", Flow(5, "a"))
    queue.add("b", Flow(5, "b"))
    assert queue.take(lambda flow, _: flow.workspace == "b") == "b"
    assert queue.take(lambda flow, _: flow.workspace == "b") is None
    assert len(queue) == 1
    assert queue.take() == "a"


def test_memory_is_bounded_by_what_waits():
    """Guards against tags of workspaces that are kept for ever."""
    queue: FairQueue = FairQueue()
    for number in range(1000):
        queue.add(number, Flow(5, f"w{number}"))
        queue.take()
        assert not queue._finish_tags
    for number in range(1000):
        queue.add(number, Flow(5, f"w{number}"))
    _take_all(queue)
    assert not queue._finish_tags


@given(st.lists(st.sampled_from("abc"), max_size=20), st.integers(1, 20))
def test_number_ahead_bounds_what_is_served_before(waiting, own):
    """Guards against a wait that is estimated too short."""
    queue: FairQueue = FairQueue()
    for number, workspace in enumerate(waiting):
        queue.add((workspace, number), Flow(5, workspace))
    ahead = queue.ahead_of(Flow(5, "new"))
    queue.add("mine", Flow(5, "new"))
    order = _take_all(queue)
    assert order.index("mine") <= max(ahead, len(set(waiting)))
