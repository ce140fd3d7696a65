"""The ``status`` command: latencies of requests, merged over all entries."""

from __future__ import annotations

import asyncio

from hdrh.histogram import HdrHistogram

from ..connection.operator import OperatorConnection, QueryFailure
from ..process.metrics import MAX_LATENCY_US, MIN_LATENCY_US, SIGNIFICANT_DIGITS
from ..settings.ctl import CtlSettings
from .output import print_json, print_table, print_unreachable

_PERCENTILES = (50, 90, 99, 99.9)


def status(settings: CtlSettings, is_json: bool) -> None:
    """Print counts and latency percentiles by service and class.

    Parameters
    ----------
    settings : CtlSettings
        Addresses of the entries and the timeout of a query.
    is_json : bool
        Whether to print JSON instead of a table.
    """
    asyncio.run(_status(settings, is_json))


async def _status(settings: CtlSettings, is_json: bool) -> None:
    async with OperatorConnection(settings) as connection:
        entries = await connection.query_all("/operator/entry")
    merged: dict[str, HdrHistogram] = {}
    for entry in entries.values():
        if not isinstance(entry, QueryFailure):
            _merge(merged, entry["latencies"])
    rows = [
        (name, *_count_and_percentiles(histogram))
        for name, histogram in sorted(merged.items())
    ]
    if is_json:
        keys = ("count", "p50_ms", "p90_ms", "p99_ms", "p99_9_ms")
        print_json({name: dict(zip(keys, figures)) for name, *figures in rows})
        return
    header = ("service/class", "count", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms")
    print_table("latencies", header, rows)
    print_unreachable(entries)


def _merge(merged: dict[str, HdrHistogram], latencies: dict[str, str]) -> None:
    """Add the encoded histograms of one entry to the merged ones."""
    for name, encoded in latencies.items():
        if name not in merged:
            merged[name] = HdrHistogram(
                MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
        merged[name].decode_and_add(encoded)


def _count_and_percentiles(histogram: HdrHistogram) -> list[float]:
    """Return the number of requests and their latency percentiles in ms."""
    values = [
        histogram.get_value_at_percentile(percentile) / 1000
        for percentile in _PERCENTILES
    ]
    return [histogram.get_total_count(), *values]
