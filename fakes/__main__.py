"""Command line that runs one fake as a separate process."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
from pathlib import Path

from .balancer import FakeBalancer
from .engine import FakeEngine
from .load import FakeLoad
from .plain_service import FakePlainService
from .trainer import FakeTrainer


def main() -> None:
    """Run the fake that the command line selects.

    A trainer ends by itself; the other fakes run until SIGTERM. An engine then
    writes its generated tokens to the file given with ``--log``.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument(
        "kind", choices=["engine", "plain", "balancer", "load", "trainer"]
    )
    parser.add_argument("--name", default="fake")
    parser.add_argument("--service", default="fake")
    parser.add_argument("--failure-domain", default="local")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--balancer", default="")
    parser.add_argument("--entries", default="")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--token-s", type=float, default=0.01)
    parser.add_argument("--work-s", type=float, default=0.005)
    parser.add_argument("--report", type=Path)
    parser.add_argument("--log", type=Path)
    asyncio.run(_run(parser.parse_args()))


async def _run(arguments: argparse.Namespace) -> None:
    if arguments.kind == "trainer":
        await FakeTrainer(arguments.balancer, arguments.report).run()
        return
    fake = _create_fake(arguments)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    await fake.start()
    await stopped.wait()
    if isinstance(fake, FakeEngine) and arguments.log is not None:
        arguments.log.write_text(json.dumps(fake.generated_tokens))
    await fake.stop()


def _create_fake(arguments: argparse.Namespace):
    if arguments.kind == "balancer":
        return FakeBalancer(arguments.port, arguments.entries.split(","))
    if arguments.kind == "load":
        return FakeLoad(arguments.balancer, arguments.report)
    common = (
        arguments.name,
        arguments.service,
        arguments.failure_domain,
        arguments.port,
        arguments.balancer.split(","),
        arguments.slots,
    )
    if arguments.kind == "engine":
        return FakeEngine(*common, token_s=arguments.token_s)
    return FakePlainService(*common, processing_s=arguments.work_s)


if __name__ == "__main__":
    main()
