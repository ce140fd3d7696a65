"""Pages of results that trainers read."""

from __future__ import annotations

import json

from pollenlb.connection.control_api import BatchJobRead, CallStatus
from pollenlb.durable.batch_job_commands import ItemResult
from pollenlb.ids import Address, ItemId
from pollenlb.platform.batch_jobs import encode_results_page

_MAX_PAGE_BYTES = 1_000_000  # of the platform's protocol


def _read(count: int, content: bytes) -> BatchJobRead:
    results = [
        ItemResult.completed(ItemId(f"item-{number}"), content, [1])
        for number in range(count)
    ]
    return BatchJobRead(CallStatus.DONE, Address(""), count, results)


def test_page_of_repetitive_texts_has_its_greatest_size():
    """Guards against a page that is as large as the memory of an entry."""
    read = _read(60, b"\x01 once more " * 8_000)
    position = 0
    while position < 60:
        rest = BatchJobRead(read.status, read.leader, 60, read.results[position:])
        page = encode_results_page(rest, position)
        assert len(page) <= _MAX_PAGE_BYTES
        decoded = json.loads(page)
        ids = [result["id"] for result in decoded["results"]]
        position += len(ids)
        assert ids and ids[-1] == f"item-{position - 1}"
        assert (decoded["next"], decoded["total"]) == (position, 60)


def test_a_result_larger_than_a_page_comes_alone():
    page = json.loads(encode_results_page(_read(3, b"again " * 400_000), 0))
    assert [result["id"] for result in page["results"]] == ["item-0"]
    assert page["next"] == 1
