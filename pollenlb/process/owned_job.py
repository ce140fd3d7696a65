"""A batch job that an entry process runs."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from ..clock import Deadline
from ..durable.batch_job_commands import BatchJobSpec, ItemResult
from ..ids import GroupName, ItemId
from ..request.item_progress import ItemProgress


@dataclass
class OwnedJob:
    """A batch job that this process runs.

    Attributes
    ----------
    items : dict
        Items without a result, by name.
    tasks : dict
        Tasks of the items that run, by name of the item.
    results : list of ItemResult
        Results that are not yet part of a commit.
    committing : set of ItemId
        Items whose result has not been committed yet.
    has_results : asyncio.Event
        Set when results wait to be committed.
    missing_items : Counter of GroupName
        Number of items without a result by group.
    """

    spec: BatchJobSpec
    due_at: Deadline
    expires_at: Deadline
    items: dict[ItemId, ItemProgress] = field(default_factory=dict)
    tasks: dict[ItemId, asyncio.Task] = field(default_factory=dict)
    results: list[ItemResult] = field(default_factory=list)
    committing: set[ItemId] = field(default_factory=set)
    has_results: asyncio.Event = field(default_factory=asyncio.Event)
    commit_task: asyncio.Task | None = None
    missing_items: Counter[GroupName] = field(default_factory=Counter)

    def add(self, progress: ItemProgress) -> None:
        """Add an item that has no result."""
        self.items[progress.item.item] = progress
        self.missing_items[progress.item.group] += 1

    def remove(self, progress: ItemProgress) -> None:
        """Remove an item that now has a result."""
        if self.items.pop(progress.item.item, None) is not None:
            self.missing_items[progress.item.group] -= 1
