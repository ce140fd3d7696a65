"""Saves the output of long items, so that another owner can go on from it."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from ..clock import deadline_in, now
from ..durable.batch_job_commands import SavedOutput, SaveOutputs
from ..exceptions import ControlError
from ..ids import BatchJobId, CommandId, new_id
from ..request.item_progress import ItemProgress
from .context import EntryContext
from .owned_job import OwnedJob

# Output is saved once it has taken so long to generate, and then again.
_UNSAVED_S = 1.5
# Output that has changed by fewer events is not saved again, unless it is now complete.
_MIN_SAVED_EVENT_COUNT = 5
_SAVING_INTERVAL_S = 0.25
_SAVING_TIMEOUT_S = 1.0


class OutputSaver:
    """Stores output of items without a result in the replicated log.

    Parameters
    ----------
    context : EntryContext
        Parts of the entry process.
    jobs : Mapping
        Batch jobs that this process runs, kept up to date by their owner.
    """

    def __init__(
        self, context: EntryContext, jobs: Mapping[BatchJobId, OwnedJob]
    ) -> None:
        self._context = context
        self._jobs = jobs
        self._woken = asyncio.Event()

    async def run(self) -> None:
        """Save output in time, and failed runs at once, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(_SAVING_INTERVAL_S):
                    await self._woken.wait()
            except TimeoutError:
                pass
            self._woken.clear()
            await self.save(_UNSAVED_S)

    def wake(self) -> None:
        """Save at once that a run has failed.

        Another owner must not run an item more often than its failures allow.
        """
        self._woken.set()

    async def save(self, unsaved_s: float = 0.0) -> None:
        """Save output that would take long to generate again.

        Parameters
        ----------
        unsaved_s : float
            Seconds since the last time before which it is not saved.
        """
        boot = self._context.identity.boot
        for name, job in list(self._jobs.items()):
            due = [
                progress
                for progress in job.items.values()
                if _has_changed(progress) and now() >= progress.saved_at + unsaved_s
            ]
            outputs = {
                progress.item.item: output
                for progress in due
                if (output := progress.output.save(progress.item.item)) is not None
            }
            failed = [
                progress
                for progress in job.items.values()
                if progress.failed_runs > progress.saved_failed_runs
            ]
            failed_runs = {
                progress.item.item: progress.failed_runs for progress in failed
            }
            if not outputs and not failed_runs:
                continue
            events = {progress.item.item: progress.output.events for progress in due}
            command = SaveOutputs(name, boot, list(outputs.values()), failed_runs)
            if not await self._propose(command):
                continue
            for progress in failed:
                progress.saved_failed_runs = failed_runs[progress.item.item]
            for progress in due:
                item = progress.item.item
                progress.saved_events = events[item]
                progress.is_saved_complete = (
                    item in outputs and outputs[item].is_generated
                )
                progress.saved_at = now()

    async def _propose(self, command: SaveOutputs) -> bool:
        try:
            await self._context.control.propose(
                command, CommandId(new_id("outputs")), deadline_in(_SAVING_TIMEOUT_S)
            )
        except ControlError as error:
            self._context.events.record(
                "outputs.not_saved", batch_job=command.batch_job, reason=str(error)
            )
            return False
        self._context.events.record(
            "outputs.saved",
            batch_job=command.batch_job,
            items=[output.item for output in command.outputs],
            failed_runs=command.failed_runs,
            bytes=sum(len(output.packed) for output in command.outputs),
        )
        return True


def _has_changed(progress: ItemProgress) -> bool:
    """Return whether output differs enough from what was saved to be saved again.

    Output that waits for its score grows no more, and would be continued, or even
    started over, by the next owner that does not know that it is complete.
    """
    output = progress.output
    if progress.saved_events and output.is_generated and not progress.is_saved_complete:
        return True
    return abs(output.events - progress.saved_events) >= _MIN_SAVED_EVENT_COUNT


def restore_output(progress: ItemProgress, saved: SavedOutput | None) -> None:
    """Continue from saved output unless this process has more of its own."""
    if saved is None or not saved.satisfies(progress.spec):
        return
    event_data = saved.event_data
    if len(event_data) > progress.output.events:
        progress.output.restore(saved)
        progress.saved_events = len(event_data)
        progress.is_saved_complete = saved.is_generated
        progress.saved_at = now()
