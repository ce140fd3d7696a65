"""Timelines from event files and from the standard output of processes."""

from __future__ import annotations

from xml.etree import ElementTree

import pytest

from pollenlb.commands.timeline import merge_events, select_events, timeline
from pollenlb.exceptions import PollenError

_LINE = (
    '{"batch_job":"job-1","item":"%s","seconds":0.5,"message_type":"item.run_ended",'
    '"process":"%s","hlc":"%d.0","timestamp":1.0}\n'
)


@pytest.fixture
def folder(tmp_path):
    """Return a folder with the standard output of two processes."""
    first = _LINE % ("item-1", "entry-1", 2_000_000)
    (tmp_path / "entry-1.log").write_text("not an event\n" + first)
    # A log collector prefixes each line with the time and the process.
    second = "  1.0000 entry-2 " + _LINE % ("item-2", "entry-2", 1_000_000)
    (tmp_path / "entry-2.log").write_text(second)
    return tmp_path


def test_events_of_all_processes_are_merged_in_causal_order(folder):
    assert [event.process for event in merge_events([folder])] == ["entry-2", "entry-1"]
    events = select_events(merge_events([folder / "entry-1.log"]), None, None)
    assert [event.fields["item"] for event in events] == ["item-1"]


def test_select_events_finds_events_of_an_item_or_batch_job(folder):
    assert len(select_events(merge_events([folder]), "job-1", None)) == 2
    assert len(select_events(merge_events([folder]), "item-2", None)) == 1


def test_a_folder_without_events_is_an_error(tmp_path):
    with pytest.raises(PollenError, match="no events"):
        merge_events([tmp_path])


def test_svg_has_a_lane_per_process_and_a_bar_per_event(folder, capsys):
    target = folder / "lanes.svg"
    timeline([folder], "job-1", None, target, False)
    assert "2 events are drawn" in capsys.readouterr().out
    svg = ElementTree.parse(target).getroot()
    names = {"svg": "http://www.w3.org/2000/svg"}
    texts = [text.text for text in svg.findall("svg:text", names)]
    assert {"entry-1", "entry-2", "item.run_ended"} <= set(texts)
    bars = svg.findall("svg:rect", names)
    assert len(bars) == 2
    assert "item-2" in bars[0].find("svg:title", names).text
    widths = [float(bar.attrib["width"]) for bar in bars]
    assert widths[0] == widths[1] > 100
