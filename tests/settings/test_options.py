"""Checks of settings, the choice of a route, and the reference page."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, strategies as st
from result import Err, Ok

from pollenlb.exceptions import SettingsError
from pollenlb.settings.cluster import ClusterSettings, RouteSettings
from pollenlb.settings.control import ControlSettings
from pollenlb.settings.entry import EntrySettings
from pollenlb.settings.options import SocketAddress
from pollenlb.settings.reference import render_reference

_PAGE = Path(__file__).parents[2] / "docs/user-guide/settings.md"
_ENTRY = {
    "name": "entry-1",
    "failure_domain": "north",
    "listen": "127.0.0.1:8080",
    "control": ["127.0.0.1:7000"],
    "data_folder": "/tmp/x",
}


def test_check_reports_every_problem():
    wrong = {**_ENTRY, "name": "Entry 1", "listen": "here", "probe_intervall_s": 1}
    del wrong["control"]
    match EntrySettings.check(wrong):
        case Err(problems):
            assert {problem.key for problem in problems} == {
                "name",
                "listen",
                "control",
                "probe_intervall_s",
            }
        case Ok(_):
            pytest.fail("no problem was found")


def test_unknown_key_suggests_the_nearest_known_key():
    match EntrySettings.check({**_ENTRY, "probe_intervall_s": 1}):
        case Err([problem]):
            assert "probe_interval_s" in problem.message
        case other:
            pytest.fail(str(other))


def test_problems_of_dependent_options_are_reported():
    members = {
        f"c{n}": {"address": f"127.0.0.1:{n + 1}", "failure_domain": "d"}
        for n in range(2)
    }
    table = {
        "name": "c0",
        "failure_domain": "d",
        "listen": "127.0.0.1:1",
        "data_folder": "/tmp/x",
        "members": members,
        "election_timeout_s": 0.2,
    }
    problems = ControlSettings.check(table).unwrap_err()
    assert {problem.key for problem in problems} == {"members", "election_timeout_s"}


def test_route_to_unknown_service_is_an_error():
    problems = ClusterSettings.check({"routes": {"r": {"service": "s"}}}).unwrap_err()
    assert [problem.key for problem in problems] == ["routes.r.service"]


def test_missing_file_or_invalid_toml_raises_settings_error(tmp_path):
    path = tmp_path / "wrong.toml"
    path.write_text("name = ")
    with pytest.raises(SettingsError, match="not valid TOML"):
        EntrySettings.load(path)
    with pytest.raises(SettingsError, match="cannot be read"):
        EntrySettings.load(tmp_path / "missing.toml")


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    )
)
def test_check_returns_a_result_for_any_value(value):
    assert isinstance(EntrySettings.check(value), (Ok, Err))
    assert isinstance(ClusterSettings.check({"services": value}), (Ok, Err))
    for key in EntrySettings.options():
        assert isinstance(EntrySettings.check({**_ENTRY, key: value}), (Ok, Err))


@given(path=st.text(alphabet="/ab", min_size=1), prefix=st.text(alphabet="/ab"))
def test_prefix_matches_only_complete_path_segments(path, prefix):
    path = "/" + path
    route = RouteSettings.check(
        {"service": "s", "path_prefix": "/" + prefix.strip("/")}
    ).unwrap()
    is_below = (path.rstrip("/") + "/").startswith(route.path_prefix.rstrip("/") + "/")
    if route.matches(path, "GET"):
        assert is_below


@given(path=st.text(alphabet="/ab", min_size=1), prefix=st.text(alphabet="/ab"))
def test_prefix_with_final_slash_matches_only_paths_below_it(path, prefix):
    path = "/" + path
    prefix = f"/{prefix.strip('/')}/"
    route = RouteSettings.check({"service": "s", "path_prefix": prefix}).unwrap()
    assert route.matches(path, "GET") == path.startswith(prefix)


def test_longest_matching_prefix_for_the_host_wins():
    settings = ClusterSettings.check(
        {
            "services": {"s": {"kind": "plain"}, "t": {"kind": "plain"}},
            "routes": {
                "all": {"service": "s", "path_prefix": "/a/"},
                "below": {"service": "t", "path_prefix": "/a/b/", "host": "h.example"},
                "other": {
                    "service": "s",
                    "path_prefix": "/a/b/c/",
                    "host": "i.example",
                },
            },
        }
    ).unwrap()
    assert settings.route_for("h.example:80", "/a/b/c/d", "GET").service == "t"
    assert settings.route_for("h.example", "/a/c", "GET").service == "s"
    assert settings.route_for("h.example", "/b", "GET") is None


def test_weight_of_unknown_service_is_an_error():
    table = {
        "services": {"s": {"kind": "plain"}},
        "routes": {"r": {"service": "s", "weights": {"s": 1, "gone": 0}}},
    }
    (problem,) = ClusterSettings.check(table).unwrap_err()
    assert problem.key == "routes.r.service"
    assert "'gone'" in problem.message


def test_the_reference_page_is_up_to_date():
    assert _PAGE.read_text() == render_reference()


def test_voter_count_covers_the_larger_of_tolerated_losses():
    table = {
        "name": "a",
        "failure_domain": "north",
        "listen": "127.0.0.1:1",
        "data_folder": "x",
        "seeds": ["127.0.0.1:2"],
        "seed_port": 3,
        "tolerated_losses": 0,
        "tolerated_domain_losses": 1,
    }
    settings = ControlSettings.check(table).unwrap()
    assert settings.voter_count == 3
    assert settings.seed_addresses == ["127.0.0.1:3"]


def _route(**options) -> dict:
    return {"service": "shop", "path_prefix": "/a/", **options}


def _cluster(**routes) -> dict:
    return {"services": {"shop": {"kind": "plain"}}, "routes": routes}


def test_a_table_of_the_latest_check_is_not_checked_again(monkeypatch):
    first = ClusterSettings.check(_cluster(a=_route(), b=_route())).unwrap()
    checked = []
    check = RouteSettings.check

    def check_and_count(table, prefix=""):
        checked.append(prefix)
        return check(table, prefix)

    monkeypatch.setattr(RouteSettings, "check", check_and_count)
    changed = _cluster(a=_route(), b=_route(repeatable=True))
    second = ClusterSettings.check(changed).unwrap()
    assert checked == ["routes.b."]
    assert second.routes["a"] is first.routes["a"]
    assert second.routes["b"].repeatable and not first.routes["b"].repeatable


@pytest.mark.parametrize("value", [1, 1.0, "true"])
def test_a_value_that_equals_a_checked_one_but_has_another_type_is_refused(value):
    ClusterSettings.check(_cluster(a=_route(repeatable=True))).unwrap()
    assert ClusterSettings.check(_cluster(a=_route(repeatable=value))).is_err()
    assert ClusterSettings.check(_cluster(a=_route(repeatable=True))).is_ok()


def test_a_removed_table_is_gone_and_checked_when_it_comes_back():
    ClusterSettings.check(_cluster(a=_route(), b=_route())).unwrap()
    assert list(ClusterSettings.check(_cluster(b=_route())).unwrap().routes) == ["b"]
    assert ClusterSettings.check(_cluster(a={"service": 3}, b=_route())).is_err()


@pytest.mark.parametrize("text", ["10.0.0.1:80", "[::1]:8080", "0.0.0.0:65535"])
def test_addresses_in_canonical_form_are_accepted(text):
    assert SocketAddress().check(text) == text


@pytest.mark.parametrize(
    "text",
    [
        "::1:8080",
        "[[::1]]:8080",
        "[127.0.0.1]:8080",
        "[0:0::1]:8080",
        "[fe80::1%eth0]:8080",
        "127.0.0.1",
        "127.0.0.1:",
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:8_0",
        "127.0.0.1: 80",
        "127.0.0.1:+80",
        "127.0.0.1:080",
        "127.0.0.1:\u0668\u0660",
        "127.0.0.1:80/path",
        "user@127.0.0.1:80",
        "name:80",
        "1" * 100_000,
        "",
        7000,
    ],
)
def test_addresses_in_another_form_are_refused(text):
    """Guards against an address that is taken here and cannot be read elsewhere."""
    with pytest.raises(ValueError, match="must be"):
        SocketAddress().check(text)


def test_problem_of_a_deeply_nested_value_is_reported():
    """Guards against a recorded change that ends each instance that applies it."""
    nested: list = []
    for _ in range(5000):
        nested = [nested]
    for option in EntrySettings.options().values():
        try:
            option.check(nested)
        except ValueError as error:
            assert len(str(error)) < 1000
        except RecursionError:
            pytest.fail(f"{option.allowed}: not reported", pytrace=False)
