"""Output of items that owners save for the next ones."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from pollenlb.clock import deadline_in, now
from pollenlb.durable.batch_job_commands import BatchItem, BatchJobSpec
from pollenlb.exceptions import ControlError
from pollenlb.process.output_saver import OutputSaver, restore_output
from pollenlb.process.owned_job import OwnedJob
from pollenlb.request.dialect import NumberedEvent
from pollenlb.request.item import EventOutput
from pollenlb.request.item_progress import ItemProgress


class _Control:
    """Keeps what would be proposed, unless it fails."""

    def __init__(self) -> None:
        self.proposed: list = []
        self.is_failing = False

    async def propose(self, command, command_id, deadline) -> None:
        if self.is_failing:
            raise ControlError("no leader")
        self.proposed.append(command)

    def take_saved(self) -> list[tuple[int, bool]]:
        """Return number of events and completeness of outputs since the last call."""
        commands, self.proposed = self.proposed, []
        return [
            (len(output.event_data), output.is_generated)
            for command in commands
            for output in command.outputs
        ]


def _progress() -> ItemProgress:
    item = BatchItem("item", "/item", {}, b"")
    spec = BatchJobSpec("job", "engines", "host", [item])
    return ItemProgress(item, spec, deadline_in(60.0), EventOutput(), saved_at=now())


def _generate(progress: ItemProgress, events: int, is_generated: bool = False) -> None:
    """Let the output have a number of events, and be complete or not."""
    for number in range(progress.output.events, events):
        progress.output.add(NumberedEvent(number, f"{number}.1"), 1, "v1")
    progress.output.is_generated = is_generated


@pytest.fixture
def control():
    """Return the control plane that the saver writes to."""
    return _Control()


@pytest.fixture
def progress():
    """Return the item whose output is saved."""
    return _progress()


@pytest.fixture
def saver(control, progress):
    """Return a saver of the output of the item."""
    job = OwnedJob(progress.spec, deadline_in(30.0), progress.expires_at)
    job.add(progress)
    context = SimpleNamespace(
        control=control,
        identity=SimpleNamespace(boot="boot-1"),
        events=SimpleNamespace(record=lambda *_, **__: None),
    )
    return OutputSaver(context, {"job": job})


@pytest.mark.parametrize("saved_events", [5, 56, 57, 59, 60])
async def test_complete_output_is_saved_however_little_was_added(
    saver, control, progress, saved_events
):
    """Guards against an item that waits for its score and is generated again."""
    _generate(progress, saved_events)
    await saver.save()
    assert control.take_saved() == [(saved_events, False)]
    _generate(progress, 60, is_generated=True)
    await saver.save()
    assert control.take_saved() == [(60, True)]


async def test_complete_output_is_saved_once(saver, control, progress):
    _generate(progress, 60, is_generated=True)
    await saver.save()
    await saver.save()
    assert control.take_saved() == [(60, True)]


async def test_complete_output_that_could_not_be_saved_is_saved_later(
    saver, control, progress
):
    _generate(progress, 58)
    await saver.save()
    _generate(progress, 60, is_generated=True)
    control.is_failing = True
    await saver.save()
    control.is_failing = False
    await saver.save()
    assert control.take_saved() == [(58, False), (60, True)]


async def test_complete_output_is_not_saved_before_its_time(saver, control, progress):
    _generate(progress, 58)
    await saver.save()
    _generate(progress, 60, is_generated=True)
    await saver.save(unsaved_s=30.0)
    assert control.take_saved() == [(58, False)]


async def test_few_events_are_not_saved(saver, control, progress):
    _generate(progress, 58)
    await saver.save()
    _generate(progress, 62)
    await saver.save()
    assert control.take_saved() == [(58, False)]


async def test_short_output_is_not_saved(saver, control, progress):
    _generate(progress, 4, is_generated=True)
    await saver.save()
    assert control.take_saved() == []


@pytest.mark.parametrize("is_generated", [False, True])
async def test_restored_output_is_saved_again_only_when_it_is_completed(
    saver, control, progress, is_generated
):
    former = _progress()
    _generate(former, 58, is_generated)
    restore_output(progress, former.output.save("item"))
    await saver.save()
    assert control.take_saved() == []
    _generate(progress, 58, is_generated=True)
    await saver.save()
    assert control.take_saved() == ([] if is_generated else [(58, True)])
