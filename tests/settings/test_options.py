"""Settings files: every problem at once, by key; the reference page."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, strategies as st
from result import Err, Ok

from pollenlb.exceptions import SettingsError
from pollenlb.settings.cluster import ClusterSettings, RouteSettings
from pollenlb.settings.control import ControlSettings
from pollenlb.settings.entry import EntrySettings
from pollenlb.settings.reference import reference

_PAGE = Path(__file__).parents[2] / "docs/user-guide/settings.md"
_ENTRY = {
    "name": "entry-1",
    "failure_domain": "north",
    "listen": "127.0.0.1:8080",
    "control": ["127.0.0.1:7000"],
    "data_folder": "/tmp/x",
}


def test_every_problem_is_reported_at_once():
    wrong = {**_ENTRY, "name": "Entry 1", "listen": "here", "probe_intervall_s": 1}
    del wrong["control"]
    match EntrySettings.check(wrong):
        case Err(problems):
            assert {each.key for each in problems} == {
                "name",
                "listen",
                "control",
                "probe_intervall_s",
            }
        case Ok(_):
            pytest.fail("no problem was found")


def test_an_unknown_key_names_the_nearest_known():
    match EntrySettings.check({**_ENTRY, "probe_intervall_s": 1}):
        case Err([problem]):
            assert "probe_interval_s" in problem.message
        case other:
            pytest.fail(str(other))


def test_options_that_depend_on_each_other_are_checked():
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
    assert {each.key for each in problems} == {"members", "election_timeout_s"}


def test_a_route_to_nowhere_is_an_error():
    problems = ClusterSettings.check({"routes": {"r": {"service": "s"}}}).unwrap_err()
    assert [each.key for each in problems] == ["routes.r.service"]


def test_a_file_that_is_not_toml_is_one_sentence(tmp_path):
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
def test_no_value_whatever_raises_another_error(value):
    assert isinstance(EntrySettings.check(value), (Ok, Err))
    assert isinstance(ClusterSettings.check({"services": value}), (Ok, Err))
    for key in EntrySettings.options():
        assert isinstance(EntrySettings.check({**_ENTRY, key: value}), (Ok, Err))


@given(path=st.text(alphabet="/ab", min_size=1), prefix=st.text(alphabet="/ab"))
def test_a_prefix_ends_at_a_slash(path, prefix):
    path = "/" + path
    route = RouteSettings.check(
        {"service": "s", "path_prefix": "/" + prefix.strip("/")}
    ).unwrap()
    is_below = (path.rstrip("/") + "/").startswith(route.path_prefix.rstrip("/") + "/")
    if route.matches(path, "GET"):
        assert is_below


@given(path=st.text(alphabet="/ab", min_size=1), prefix=st.text(alphabet="/ab"))
def test_a_prefix_with_a_slash_takes_only_what_lies_below_it(path, prefix):
    path = "/" + path
    prefix = f"/{prefix.strip('/')}/"
    route = RouteSettings.check({"service": "s", "path_prefix": prefix}).unwrap()
    assert route.matches(path, "GET") == path.startswith(prefix)


def test_the_longest_prefix_of_the_host_wins():
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


def test_weights_name_services_that_exist():
    table = {
        "services": {"s": {"kind": "plain"}},
        "routes": {"r": {"service": "s", "weights": {"s": 1, "gone": 0}}},
    }
    (problem,) = ClusterSettings.check(table).unwrap_err()
    assert problem.key == "routes.r.service"
    assert "'gone'" in problem.message


def test_the_reference_page_is_up_to_date():
    assert _PAGE.read_text() == reference()


def test_voters_outlive_the_losses_of_instances_and_of_failure_domains():
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
