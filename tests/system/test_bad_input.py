"""Invalid input is refused with an error that names the field, and changes nothing."""

from __future__ import annotations

import pytest

JOBS_PATH = "/pollenlb/v1/jobs"
JOB_BODY = {
    "name": "job",
    "service": "model",
    "group_size": 2,
    "batch_groups": 1,
    "staleness_bound": 1,
    "max_tokens": 4,
}
ANNOUNCE_BODY = {
    "server": "new",
    "service": "shop",
    "address": "127.0.0.1:9",
    "failure_domain": "north",
    "boot": "b",
    "slots": 1,
}


@pytest.fixture
async def system(start_system):
    return await start_system(entries=2, engines=1, plain_services=1)


async def _post(system, path, headers=None, **options):
    url = system.url(0, path)
    async with system.session.post(url, headers=headers, **options) as response:
        return response.status, (await response.json())["error"]


async def test_error_names_the_invalid_field(system):
    cases = [
        (JOBS_PATH, {**JOB_BODY, "group_size": 0}, "group_size"),
        (JOBS_PATH, {**JOB_BODY, "service": "nothing"}, "service"),
        (JOBS_PATH, {**JOB_BODY, "scorer": "nothing"}, "scorer"),
        (JOBS_PATH, {**JOB_BODY, "surprise": 1}, "body"),
        ("/pollenlb/v1/announce", {**ANNOUNCE_BODY, "address": "here"}, "address"),
        ("/pollenlb/v1/announce", {**ANNOUNCE_BODY, "slots": 0}, "slots"),
        ("/pollenlb/v1/announce", {**ANNOUNCE_BODY, "state": "gone"}, "state"),
        ("/v1/completions", {"prompt": 3}, "prompt"),
        ("/v1/completions", {"prompt": "x", "max_tokens": 0}, "max_tokens"),
        ("/v1/completions", {"prompt": "x", "n": 2}, "n"),
    ]
    for path, body, field in cases:
        status, error = await _post(system, path, json=body)
        assert 400 <= status < 500, (path, body, error)
        assert error["field"] == field, (path, body, error)
        assert error["outcome"] == "not-run"


async def test_error_names_the_invalid_header(system):
    cases = [
        ({"Pollenlb-Timeout": "soon"}, "Pollenlb-Timeout"),
        ({"Pollenlb-Timeout": "-1"}, "Pollenlb-Timeout"),
        ({"Pollenlb-Timeout": "nan"}, "Pollenlb-Timeout"),
        ({"Pollenlb-Class": "urgent"}, "Pollenlb-Class"),
        ({"Pollenlb-Repeatable": "maybe"}, "Pollenlb-Repeatable"),
        ({"Idempotency-Key": ""}, "Idempotency-Key"),
    ]
    for headers, field in cases:
        status, error = await _post(system, "/shop", headers=headers)
        assert (status, error["field"]) == (400, field)
    assert system.plain_services[0].executions == {}


async def test_request_for_an_unknown_path_is_not_run(system):
    status, error = await _post(system, "/nowhere")
    assert (status, error["outcome"]) == (404, "not-run")


async def test_oversized_body_is_refused(start_system):
    options = {"max_body_bytes": 2048, "replay_body_bytes": 1024}
    system = await start_system(plain_services=1, entry_options=options)
    status, error = await _post(system, "/shop", data=b"x" * 4096)
    assert (status, error["field"]) == (413, "body")
    assert system.plain_services[0].executions == {}


async def test_oversized_chunked_body_is_refused_while_it_arrives(start_system):
    options = {"max_body_bytes": 100_000, "replay_body_bytes": 1024}
    system = await start_system(entries=1, plain_services=1, entry_options=options)

    async def chunks():
        for _ in range(50):
            yield b"x" * 10_000

    status, error = await _post(system, "/billing", data=chunks())
    assert (status, error["field"], error["outcome"]) == (413, "body", "unknown")
    assert system.plain_services[0].executions == {}


async def test_oversized_headers_are_refused(system):
    headers = {"X-Large": "x" * 100_000}
    url = system.url(0, "/shop")
    async with system.session.get(url, headers=headers) as response:
        assert response.status == 400
    assert system.plain_services[0].executions == {}


async def test_invalid_configuration_changes_nothing(system):
    before = system.entries[0].context.configuration.revision
    url = "/pollenlb/v1/operator/configuration"
    changes = {"routes.shop.timeout_s": -1, "routes.shop.colour": "red"}
    status, error = await _post(system, url, json={"changes": changes})
    assert status == 422
    assert "timeout_s" in error["message"] and "colour" in error["message"]
    assert system.entries[0].context.configuration.revision == before


@pytest.mark.parametrize("depth", [100, 920, 940, 960, 980, 100_000])
async def test_change_nested_too_deeply_ends_no_control_instance(system, depth):
    """Guards against a change in the log that ends each instance that applies it."""
    url = "/pollenlb/v1/operator/configuration"
    nested = b"[" * depth + b"]" * depth
    body = b'{"changes":{"routes.shop.timeout_s":' + nested + b"}}"
    status, error = await _post(system, url, data=body)
    assert (status, error["outcome"]) == (400, "not-run")
    change = {"changes": {"routes.shop.timeout_s": 7}}
    async with system.session.post(system.url(0, url), json=change) as response:
        assert response.status == 200


async def test_change_that_cannot_be_stored_is_refused(system):
    url = "/pollenlb/v1/operator/configuration"
    for key, value in (
        ("routes.shop.priority", 10**30),
        ("routes.shop.timeout_s" + ".a" * 5000, 1),
    ):
        status, error = await _post(system, url, json={"changes": {key: value}})
        assert (status, error["field"]) == (400, "changes")


async def test_completion_with_a_number_too_large_is_refused(system):
    for value in (10**30, [[10**30]]):
        body = {"prompt": "x", "max_tokens": 4, "more": value}
        status, error = await _post(system, "/v1/completions", json=body)
        assert (status, error["field"]) == (400, "body")
