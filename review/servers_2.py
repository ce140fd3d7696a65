"""Stand-ins of backend servers: an engine and a plain service, over raw sockets."""

from __future__ import annotations

import asyncio
import time

from aiohttp import web


class Engine:
    """Model engine that answers a request with numbered events.

    The body of a request is the number of its events.
    """

    def __init__(self, name: str, service: str, zone: str, record, event_s=0.02):
        self.name, self.service, self.zone = name, service, zone
        self.record = record
        self.event_s = event_s
        self.runs: list[tuple[float, str]] = []
        self.version = 1
        self.running = 0
        self.runner: web.AppRunner | None = None
        self.address = ""
        self.born = int(time.time() * 1000)

    async def start(self, port: int = 0) -> None:
        application = web.Application(client_max_size=1 << 30)
        application.router.add_get("/-/report", self._report)
        application.router.add_get("/healthz", self._health)
        application.router.add_post("/{path:.*}", self._run)
        self.runner = web.AppRunner(
            application, handler_cancellation=True, access_log=None
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", port)
        await site.start()
        self.address = "127.0.0.1:%d" % self.runner.addresses[0][1]

    async def stop(self) -> None:
        if self.runner is not None:
            await self.runner.cleanup()

    @property
    def check_in_body(self) -> dict:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "stage": "both",
            "models": self._models(),
            "born": self.born,
        }

    def _models(self):
        return [{"name": "model-a", "version": self.version, "adapters": []}]

    async def _report(self, request):
        return web.json_response(
            {
                "stage": "both",
                "models": self._models(),
                "busy": False,
                "seq": 0,
                "num_waiting": 0,
                "num_running": 0,
                "kv_used": 0,
                "kv_total": 90000,
                "handles": 0,
                "born": self.born,
            }
        )

    async def _health(self, request):
        return web.Response(
            headers={"X-Instance-Id": self.name, "X-Load-Report": "0,0,8"}
        )

    async def _run(self, request):
        if request.headers.get("X-Expect-Instance", self.name) != self.name:
            return web.Response(status=421, headers={"X-Not-Executed": "1"})
        body = await request.read()
        item = request.headers["X-Request-Id"]
        count = int(body[:10].split(b" ")[0])
        after = int(request.headers.get("Last-Event-Id", "-1"))
        self.runs.append((time.monotonic(), item))
        self.record.add(f"server {self.name} runs {item} from event {after + 1}")
        response = web.StreamResponse(
            headers={
                "X-Request-Id": item,
                "X-Weight-Versions": str(self.version),
                "X-Server-Stamp": f"stamp-{item}",
                "X-Load-Report": "1,0,8",
            }
        )
        response.content_type = "text/event-stream"
        await response.prepare(request)
        self.running += 1
        try:
            for number in range(after + 1, count):
                await asyncio.sleep(self.event_s)
                event = f"id: {number}\ndata: {item}.{number}\n\n"
                await response.write(event.encode())
        finally:
            self.running -= 1
        await response.write_eof()
        return response


class PlainService:
    """Plain service whose requests take a given time to run."""

    def __init__(self, name: str, service: str, zone: str, record, work_s=0.05):
        self.name, self.service, self.zone = name, service, zone
        self.record = record
        self.work_s = work_s
        self.ran: list[str] = []
        self.left: list[str] = []
        self.runner: web.AppRunner | None = None
        self.address = ""
        self.born = int(time.time() * 1000)

    async def start(self) -> None:
        application = web.Application(client_max_size=1 << 30)
        application.router.add_get("/healthz", self._health)
        application.router.add_route("*", "/{path:.*}", self._run)
        self.runner = web.AppRunner(
            application, handler_cancellation=True, access_log=None
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        self.address = "127.0.0.1:%d" % self.runner.addresses[0][1]

    async def stop(self) -> None:
        if self.runner is not None:
            await self.runner.cleanup()

    @property
    def check_in_body(self) -> dict:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "born": self.born,
        }

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(
            headers={"X-Instance-Id": self.name, "X-Load-Report": "0,0,6"}
        )

    async def _run(self, request: web.Request) -> web.Response:
        name = request.headers.get("X-Request-Id", "")
        if request.headers.get("X-Expect-Instance", self.name) != self.name:
            return web.Response(status=421, headers={"X-Not-Executed": "1"})
        body = await request.read()
        self.ran.append(name)
        self.record.add(f"server {self.name} runs {name}, body of {len(body)} bytes")
        try:
            await asyncio.sleep(self.work_s if request.path.endswith("/long") else 0.02)
        except asyncio.CancelledError:
            self.left.append(name)
            self.record.add(f"server {self.name} lost the connection of {name}")
            raise
        self.record.add(f"server {self.name} answers {name}")
        return web.Response(
            text=f"answer to {name}",
            headers={"X-Request-Id": name, "X-Server-Stamp": f"stamp-{name}"},
        )
