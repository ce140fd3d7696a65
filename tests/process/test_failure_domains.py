"""Which servers an entry's requests get while its failure domain has too few."""

from __future__ import annotations

import random
from contextlib import ExitStack

import pytest

from pollenlb import clock
from pollenlb.connection.backend import BackendServer
from pollenlb.connection.request_limit import LimitShares
from pollenlb.durable.configuration_commands import Announcement
from pollenlb.events import EventLog
from pollenlb.process.failure_domains import FailureDomains
from pollenlb.process.metrics import Metrics
from pollenlb.settings.entry import EntrySettings

_SETTINGS = EntrySettings.check(
    {
        "name": "entry",
        "failure_domain": "here",
        "listen": "127.0.0.1:1",
        "control": ["127.0.0.1:3"],
        "data_folder": "unused",
    }
).unwrap()
_EVENTS = EventLog("test", None)


@pytest.fixture
def time_s():
    """Replace the clock; yield a one-item list with its time in seconds."""
    value = [0.0]
    clock.set_time_source(lambda: value[0])
    yield value
    clock.set_time_source(None)


class _Entry:
    """Two servers in each of two failure domains, as one entry sees them."""

    def __init__(self) -> None:
        self.metrics = Metrics()
        self.domains = FailureDomains("here", self.metrics, random.Random(1))
        self.servers = [
            self._server(f"{domain}-{number}", domain)
            for domain in ("here", "there")
            for number in range(2)
        ]

    def _server(self, name: str, domain: str) -> BackendServer:
        return BackendServer(
            Announcement(name, "shop", "127.0.0.1:9", domain, f"boot-{name}", 4),
            _SETTINGS,
            None,
            _EVENTS,
            lambda session, announcement, timeout_s: None,
            LimitShares(),
            lambda announcement: None,
            self.domains,
        )

    def far_share(self, time_s, far_cost_s: float = 0.01) -> float:
        """Return the share of the next requests that leave."""
        far = 0
        for _ in range(500):
            time_s[0] += 0.01
            selected = self.domains.select("shop", self.servers, far_cost_s)
            assert len({server.is_far for server in selected}) == 1
            far += selected[0].is_far
        return far / 500

    def learn_latencies(self, far_s: float = 0.02) -> None:
        """Record what requests without a queue took."""
        for server in self.servers:
            server.record_answer(far_s if server.is_far else 0.02)


# Guards against a change of the choice where no cost is set.
def test_without_a_cost_all_servers_are_selected(time_s):
    entry = _Entry()
    selected = entry.domains.select("shop", entry.servers, 0.0)
    assert selected == entry.servers


def test_requests_stay_while_a_server_at_home_has_a_free_slot(time_s):
    entry = _Entry()
    assert entry.far_share(time_s) == 0
    entry.learn_latencies()
    with ExitStack() as stack:
        for _ in range(10):
            stack.enter_context(entry.servers[0].load.track_request(False))
        assert entry.far_share(time_s) == 0


def test_requests_leave_while_the_servers_at_home_are_full(time_s):
    entry = _Entry()
    assert entry.far_share(time_s) == 0
    entry.learn_latencies()
    with ExitStack() as stack:
        for server in entry.servers[:2]:
            for _ in range(40):
                stack.enter_context(server.load.track_request(False))
        assert entry.far_share(time_s) > 0.7
    assert entry.far_share(time_s) < 0.6  # they return, but not all at once
    assert entry.far_share(time_s) == 0


def test_requests_leave_while_there_is_no_server_at_home(time_s):
    entry = _Entry()
    selected = entry.domains.select("shop", entry.servers[2:], 0.01)
    assert selected == entry.servers[2:]


def test_requests_stay_while_the_other_domain_answers_slower_or_fails(time_s):
    entry = _Entry()
    entry.far_share(time_s)
    entry.learn_latencies(far_s=2.0)
    with ExitStack() as stack:
        for server in entry.servers[:2]:
            for _ in range(40):
                stack.enter_context(server.load.track_request(False))
        assert entry.far_share(time_s) == 0
        time_s[0] += 60
        assert entry.far_share(time_s) > 0
        entry.servers[2].record_failure()
        for _ in range(100):
            selected = entry.domains.select("shop", entry.servers, 0.01)
            assert not selected[0].is_far


def test_traffic_is_counted_by_path(time_s):
    entry = _Entry()
    for server in entry.servers[1:]:
        server.record_traffic(1, 100)
    text = entry.metrics.exposition().decode()
    assert 'domain_attempts_total{path="near",service="shop"} 1.0' in text
    assert 'domain_attempts_total{path="far",service="shop"} 2.0' in text
    assert 'domain_bytes_total{path="far",service="shop"} 200.0' in text
