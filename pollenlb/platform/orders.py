"""Reports of the platform's engines, and orders to them to change weights."""

from __future__ import annotations

import aiohttp
import msgspec

from ..connection.bodies import read_body
from ..durable.configuration_commands import Announcement
from ..external_data import Count, json_decoder
from ..version.order_channel import (
    ORDER_ERRORS,
    EngineReport,
    OrderOutcome,
    SwapOrder,
)
from .announcements import LoadedModel, versions_by_model
from .names import (
    EXPECTED_SERVER_HEADER,
    ORDER_PATH,
    REPORT_PATH,
    close_answer_of_request,
)

_REPORT_TIMEOUT_S = 0.5
_MAX_REPORT_BYTES = 65_536
_ORDER_TIMEOUT_S = 1.0
_ACCEPTED_STATUS = 202
_ALREADY_SERVED_STATUS = 200


class _Report(msgspec.Struct):
    """Report of an engine.

    Attributes
    ----------
    busy : bool
        Whether the engine carries out an order; running requests do not count.
    seq : int
        Number of orders accepted since the start of the engine's process.
    """

    models: list[LoadedModel]
    busy: bool
    seq: Count


class _Order(msgspec.Struct):
    """Order to an engine to change its weights.

    Attributes
    ----------
    holder : str
        Control instance that sends the order.
    fence : int
        Fencing number, higher than that of any order before.
    expected : int or None
        Value of ``seq`` at which the engine carries out the order; None for any.
    """

    model: str
    version: int
    mode: str
    holder: str
    fence: int
    expected: int | None
    op: str = "version"


_decode_report = json_decoder(_Report)


class PlatformOrderChannel:
    """Reads engine reports and sends orders; satisfies ``OrderChannel``."""

    async def fetch_report(
        self, session: aiohttp.ClientSession, server: Announcement
    ) -> EngineReport | None:
        """Return the report of an engine; None without a valid answer in time."""
        timeout = aiohttp.ClientTimeout(total=_REPORT_TIMEOUT_S)
        url = f"http://{server.address}{REPORT_PATH}"
        headers = {EXPECTED_SERVER_HEADER: server.server}
        try:
            async with session.get(url, timeout=timeout, headers=headers) as response:
                if close_answer_of_request(response) or response.status != 200:
                    return None
                body = await read_body(response.content, _MAX_REPORT_BYTES)
                report = _decode_report(body)
        except (*ORDER_ERRORS, msgspec.MsgspecError):
            return None
        return EngineReport(versions_by_model(report.models), report.seq, report.busy)

    async def send_order(
        self, session: aiohttp.ClientSession, order: SwapOrder
    ) -> OrderOutcome:
        """Send an order and return its outcome.

        The outcome is ``UNKNOWN`` when the connection fails or no answer comes in
        time, since the engine may have accepted the order.
        """
        body = _Order(
            model=order.model,
            version=order.version,
            mode=order.mode.value,
            holder=order.holder,
            fence=order.fencing,
            expected=order.expected_orders,
        )
        timeout = aiohttp.ClientTimeout(total=_ORDER_TIMEOUT_S)
        headers = {
            EXPECTED_SERVER_HEADER: order.server.server,
            "Content-Type": "application/json",
        }
        url = f"http://{order.server.address}{ORDER_PATH}"
        try:
            async with session.post(
                url, data=msgspec.json.encode(body), timeout=timeout, headers=headers
            ) as response:
                if close_answer_of_request(response):
                    return OrderOutcome.UNKNOWN
                status = response.status
        except ORDER_ERRORS:
            return OrderOutcome.UNKNOWN
        if status == _ACCEPTED_STATUS:
            return OrderOutcome.ACCEPTED
        return (
            OrderOutcome.ALREADY_SERVED
            if status == _ALREADY_SERVED_STATUS
            else OrderOutcome.REFUSED
        )
