"""Draws events as an SVG chart with one lane per process."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING
from xml.etree import ElementTree

if TYPE_CHECKING:
    from .timeline import Event

_LANE_HEIGHT_PX = 26
_LEFT_MARGIN_PX = 170
_CHART_WIDTH_PX = 1100
_TOP_MARGIN_PX = 34
_TICK_COUNT = 10
_MARKER_RADIUS_PX = 4
_MICROSECONDS_PER_SECOND = 1e6
_COLOURS = ("#4269d0", "#efb118", "#ff725c", "#6cc5b0", "#3ca951", "#a463f2", "#9c6b4e")


def draw_lanes(events: Sequence[Event]) -> bytes:
    """Return an SVG document with a lane for each process.

    An event is a dot, or a bar that ends at the event when a field holds how
    many seconds it took. Its tooltip is the description of the event.

    Parameters
    ----------
    events : sequence of Event
        In causal order.

    Returns
    -------
    bytes
        The document, encoded as UTF-8.
    """
    lanes = sorted({event.process for event in events})
    kinds = sorted({event.kind for event in events})
    height = (
        _TOP_MARGIN_PX
        + _LANE_HEIGHT_PX * (len(lanes) + 1)
        + _LANE_HEIGHT_PX * len(kinds)
    )
    svg = ElementTree.Element(
        "svg",
        xmlns="http://www.w3.org/2000/svg",
        width=str(_LEFT_MARGIN_PX + _CHART_WIDTH_PX + 20),
        height=str(height),
    )
    ElementTree.SubElement(svg, "style").text = "text{font:12px sans-serif}"
    start_us = min((_started_at_us(event) for event in events), default=0.0)
    end_us = max((float(event.at.wall_us) for event in events), default=1.0)
    px_per_us = _CHART_WIDTH_PX / max(1.0, end_us - start_us)
    _draw_axis(
        svg,
        (end_us - start_us) / _MICROSECONDS_PER_SECOND,
        _LANE_HEIGHT_PX * len(lanes),
    )
    for number, lane in enumerate(lanes):
        y = _TOP_MARGIN_PX + _LANE_HEIGHT_PX * number + _LANE_HEIGHT_PX // 2
        _draw_text(svg, 4, y + 4, lane)
        _draw_line(svg, (_LEFT_MARGIN_PX, y), (_LEFT_MARGIN_PX + _CHART_WIDTH_PX, y))
    for event in events:
        y = (
            _TOP_MARGIN_PX
            + _LANE_HEIGHT_PX * lanes.index(event.process)
            + _LANE_HEIGHT_PX // 2
        )
        start_x = _LEFT_MARGIN_PX + (_started_at_us(event) - start_us) * px_per_us
        end_x = _LEFT_MARGIN_PX + (event.at.wall_us - start_us) * px_per_us
        _draw_event(svg, event, (start_x, end_x), y, _colour(kinds.index(event.kind)))
    for number, kind in enumerate(kinds):
        y = _TOP_MARGIN_PX + _LANE_HEIGHT_PX * (len(lanes) + 1 + number)
        ElementTree.SubElement(
            svg,
            "circle",
            cx="12",
            cy=str(y),
            r=str(_MARKER_RADIUS_PX),
            fill=_colour(number),
        )
        _draw_text(svg, 24, y + 4, kind)
    return ElementTree.tostring(svg, encoding="utf-8", xml_declaration=True)


def _started_at_us(event: Event) -> float:
    """Return when what the event reports began, in microseconds of wall time."""
    seconds = event.fields.get("seconds", 0.0)
    is_number = isinstance(seconds, (int, float))
    return event.at.wall_us - (seconds * _MICROSECONDS_PER_SECOND if is_number else 0.0)


def _colour(number: int) -> str:
    return _COLOURS[number % len(_COLOURS)]


def _draw_event(
    svg: ElementTree.Element,
    event: Event,
    span: tuple[float, float],
    y: int,
    colour: str,
) -> None:
    start_x, end_x = span
    shape = ElementTree.SubElement(
        svg,
        "rect",
        {
            "x": f"{start_x - _MARKER_RADIUS_PX:.1f}",
            "y": str(y - _MARKER_RADIUS_PX),
            "width": f"{end_x - start_x + 2 * _MARKER_RADIUS_PX:.1f}",
            "height": str(2 * _MARKER_RADIUS_PX),
            "rx": str(_MARKER_RADIUS_PX),
            "fill": colour,
            "fill-opacity": "0.7",
        },
    )
    ElementTree.SubElement(shape, "title").text = event.description


def _draw_axis(svg: ElementTree.Element, length_s: float, height: int) -> None:
    for number in range(_TICK_COUNT + 1):
        x = _LEFT_MARGIN_PX + _CHART_WIDTH_PX * number // _TICK_COUNT
        _draw_line(svg, (x, _TOP_MARGIN_PX - 6), (x, _TOP_MARGIN_PX + height))
        _draw_text(
            svg, x - 12, _TOP_MARGIN_PX - 12, f"{length_s * number / _TICK_COUNT:.2f} s"
        )


def _draw_line(
    svg: ElementTree.Element, start: tuple[int, int], end: tuple[int, int]
) -> None:
    ElementTree.SubElement(
        svg,
        "line",
        x1=str(start[0]),
        y1=str(start[1]),
        x2=str(end[0]),
        y2=str(end[1]),
        stroke="#ccc",
    )


def _draw_text(svg: ElementTree.Element, x: int, y: int, text: str) -> None:
    ElementTree.SubElement(svg, "text", x=str(x), y=str(y)).text = text
