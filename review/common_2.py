"""Configurations, batch jobs and calls that the scripts of the second review share."""

from __future__ import annotations

import asyncio
import base64
import json

import aiohttp
from harness_2 import HOST

MODEL = "model-a"
ROLLOUT_ROUTE = {
    "name": "r-rollouts",
    "host": HOST,
    "path_prefix": "/rollouts/",
    "kind": "rollout",
    "timeout_ms": 10000,
    "target_latency_ms": 400,
    "priority": 1,
    "service": "engines",
    "max_attempts": 3,
    "max_queue_s": 40.0,
    "due_ms": 7500,
    "single_version": False,
    "sticky": True,
    "resumable": True,
}
ENGINES = {
    "name": "engines",
    "health_path": "/healthz",
    "max_conns": 150,
    "protocol": "h1",
    "tls": False,
    "engine": {"slots": 8, "models": [{"name": MODEL}]},
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 33554432,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def configuration(
    version: int = 1, routes: tuple = (ROLLOUT_ROUTE,), services: tuple = (ENGINES,)
) -> dict:
    """Return a configuration in the platform's format."""
    return {
        "version": version,
        "routes": list(routes),
        "services": list(services),
        "limits": LIMITS,
    }


def batch_job(lengths: dict[str, int], item_bytes: int = 0) -> dict:
    """Return a batch job of items with a number of events each.

    The body of an item is the number of its events, filled up with spaces.
    """
    return {
        "step": 0,
        "model": MODEL,
        "min_version": 1,
        "group_count": 1,
        "requests": [
            {
                "id": item,
                "path": f"/rollouts/{item}",
                "headers": {
                    "X-Model": MODEL,
                    "X-Token-Count": f"16,{length}",
                    "X-Prefix-Hash": "9c2e41:16",
                },
                "body": base64.b64encode(b"%-*d" % (item_bytes, length)).decode(),
                "tokens": 16 + length,
                "group": "g1",
            }
            for item, length in lengths.items()
        ],
    }


async def call(
    method: str, url: str, body: object = None, timeout_s: float = 5.0, **headers: str
) -> tuple[int | None, bytes]:
    """Make a call on a new connection; the status is None without an answer."""
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    data = None if body is None else json.dumps(body).encode()
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.request(
                method, url, data=data, headers={"Host": HOST, **fields}
            ) as response:
                return response.status, await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return None, repr(error).encode()


async def submit(url: str, name: str, body: dict) -> int | None:
    """Submit a batch job at an entry and return the status."""
    status, _ = await call(
        "POST",
        f"{url}/rollouts/{name}",
        body,
        X_Request_Id=name,
        X_Deadline_Ms="9000",
    )
    return status


async def cancel_all(tasks: list[asyncio.Task]) -> None:
    """Cancel tasks and wait for their ends."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
