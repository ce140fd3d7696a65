"""Requests on a route of prefix "/" that have the paths of the entry's own pages.

Also a path with an escaped slash, which begins with the prefix of one route as sent and
with that of another route once it is unescaped.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from review.common.case import CaseNotRunError, run_case  # noqa: E402
from review.common.peers import Server, call, configuration  # noqa: E402

_PLAIN_PATHS = ["/orders/4711", "/safe/admin/4711"]
_PATHS = ["/metrics", "/healthz", "/-/ready", "/safe/admin%2F4711"]


async def case(deployment, client, record, is_disrupted) -> bool:
    servers = [
        Server(
            f"{service}-{number}",
            service,
            f"127.0.{2 + part}.{number + 11}",
            deployment.control_addresses,
            record,
            False,
        )
        for part, service in enumerate(("desk", "admin"))
        for number in range(2)
    ]
    for server in servers:
        await server.start()
    document = configuration(2)
    desk = document["routes"][1]
    document["routes"] += [
        {**desk, "name": "r-root", "path_prefix": "/"},
        {**desk, "name": "r-admin", "path_prefix": "/safe/admin/", "service": "admin"},
    ]
    document["services"].append({**document["services"][1], "name": "admin"})
    if not await client.configure(document):
        raise CaseNotRunError("no acknowledgement of the configuration")
    if not await client.is_served(len(deployment.entries)):
        raise CaseNotRunError("safe requests are not served")
    is_held = True
    for number, path in enumerate(_PATHS if is_disrupted else _PLAIN_PATHS):
        headers = {"X-Request-Id": f"q-{number}", "X-Deadline-Ms": "1500"}
        answer = await call(deployment.front_addresses[0], "GET", path, b"", headers)
        if answer is None:
            raise CaseNotRunError(f"no answer to {path}")
        stamp = answer.headers.get("x-server-stamp")
        record.write(f"GET {path} -> {answer.status} stamp={stamp}")
        if answer.status == 200 and stamp is None:
            record.write(f"MIXED: {path} has a success without a server's stamp")
            is_held = False
        # As sent, this path begins with /safe/ and not with /safe/admin/.
        if "%2F" in path and stamp is not None and "admin-" in stamp:
            record.write(f"ROUTE: {path} was run by the service of /safe/admin/")
            is_held = False
    for server in servers:
        await server.crash()
    return is_held


if __name__ == "__main__":
    run_case(
        case,
        record_path=Path(__file__).with_name("record.txt"),
        is_disrupted=os.environ.get("TROUBLE", "1") != "0",
    )
