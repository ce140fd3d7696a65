"""The example backend server of the user guide works as printed."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path

from ..local_system import SERVICES, free_ports, wait_until

_PAGE = Path(__file__).parents[2] / "docs/user-guide/backend-servers.md"


def _read_program() -> str:
    text = _PAGE.read_text()
    return text.split("```python\n")[1].split("```")[0]


async def test_backend_server_of_the_user_guide_answers_requests(
    start_system, tmp_path
):
    services = {**SERVICES, "example": {"kind": "plain"}}
    system = await start_system(entries=2, services=services)
    await system.change_configuration(
        {"routes.example.service": "example", "routes.example.path_prefix": "/example"}
    )
    program = tmp_path / "backend.py"
    program.write_text(_read_program())
    (port,) = free_ports(1)
    process = subprocess.Popen([sys.executable, str(program), system.url(0), str(port)])
    try:
        name = f"example-{port}"
        await wait_until(lambda: name in system.entries[0].context.directory.servers)
        await system.wait_until_usable([name])
        url = system.url(1, "/example/hello")
        async with system.session.post(url, data=b"four") as response:
            assert await response.text() == "POST /example/hello: 4 bytes"
            assert response.headers["Pollenlb-Outcome"] == "ran"
    finally:
        process.kill()
        await asyncio.to_thread(process.wait)
