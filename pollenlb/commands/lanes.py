"""A picture of a time line: one lane for each process."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING
from xml.etree import ElementTree

if TYPE_CHECKING:
    from .timeline import Event

_LANE_PX = 26
_LEFT_PX = 170
_WIDTH_PX = 1100
_TOP_PX = 34
_TICKS = 10
_RADIUS_PX = 4
_MICROSECONDS = 1e6
_COLOURS = ("#4269d0", "#efb118", "#ff725c", "#6cc5b0", "#3ca951", "#a463f2", "#9c6b4e")


def draw_lanes(events: Sequence[Event]) -> bytes:
    """Return an SVG document with a lane for each process.

    An event is a dot, or a bar when it tells how many seconds it took; a
    pointer that rests on it shows what the event tells.

    Parameters
    ----------
    events : sequence of Event
        In causal order.
    """
    lanes = sorted({event.process for event in events})
    kinds = sorted({event.kind for event in events})
    height = _TOP_PX + _LANE_PX * (len(lanes) + 1) + _LANE_PX * len(kinds)
    svg = ElementTree.Element(
        "svg",
        xmlns="http://www.w3.org/2000/svg",
        width=str(_LEFT_PX + _WIDTH_PX + 20),
        height=str(height),
    )
    ElementTree.SubElement(svg, "style").text = "text{font:12px sans-serif}"
    start_us = min((_began_us(each) for each in events), default=0.0)
    end_us = max((float(each.at.wall_us) for each in events), default=1.0)
    scale = _WIDTH_PX / max(1.0, end_us - start_us)
    _draw_axis(svg, (end_us - start_us) / _MICROSECONDS, _LANE_PX * len(lanes))
    for number, lane in enumerate(lanes):
        y = _TOP_PX + _LANE_PX * number + _LANE_PX // 2
        _draw_text(svg, 4, y + 4, lane)
        _draw_line(svg, (_LEFT_PX, y), (_LEFT_PX + _WIDTH_PX, y))
    for event in events:
        y = _TOP_PX + _LANE_PX * lanes.index(event.process) + _LANE_PX // 2
        first = _LEFT_PX + (_began_us(event) - start_us) * scale
        last = _LEFT_PX + (event.at.wall_us - start_us) * scale
        _draw_event(svg, event, (first, last), y, _colour(kinds.index(event.kind)))
    for number, kind in enumerate(kinds):
        y = _TOP_PX + _LANE_PX * (len(lanes) + 1 + number)
        ElementTree.SubElement(
            svg, "circle", cx="12", cy=str(y), r=str(_RADIUS_PX), fill=_colour(number)
        )
        _draw_text(svg, 24, y + 4, kind)
    return ElementTree.tostring(svg, encoding="utf-8", xml_declaration=True)


def _began_us(event: Event) -> float:
    seconds = event.fields.get("seconds", 0.0)
    is_number = isinstance(seconds, (int, float))
    return event.at.wall_us - (seconds * _MICROSECONDS if is_number else 0.0)


def _colour(number: int) -> str:
    return _COLOURS[number % len(_COLOURS)]


def _draw_event(
    svg: ElementTree.Element,
    event: Event,
    span: tuple[float, float],
    y: int,
    colour: str,
) -> None:
    first, last = span
    shape = ElementTree.SubElement(
        svg,
        "rect",
        {
            "x": f"{first - _RADIUS_PX:.1f}",
            "y": str(y - _RADIUS_PX),
            "width": f"{last - first + 2 * _RADIUS_PX:.1f}",
            "height": str(2 * _RADIUS_PX),
            "rx": str(_RADIUS_PX),
            "fill": colour,
            "fill-opacity": "0.7",
        },
    )
    ElementTree.SubElement(shape, "title").text = event.sentence


def _draw_axis(svg: ElementTree.Element, length_s: float, height: int) -> None:
    for number in range(_TICKS + 1):
        x = _LEFT_PX + _WIDTH_PX * number // _TICKS
        _draw_line(svg, (x, _TOP_PX - 6), (x, _TOP_PX + height))
        _draw_text(svg, x - 12, _TOP_PX - 12, f"{length_s * number / _TICKS:.2f} s")


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
