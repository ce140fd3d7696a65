"""When a window of usage is sealed, for entries that report late or never."""

from __future__ import annotations

import pytest

from pollenlb.scheduling.usage_seal import Reporter, SealAction, decide_seal

END_S = 1000.0
LATE_S = 10.0
ALL = [Reporter("a", END_S + 0.5), Reporter("b", END_S)]
ONE_BEHIND = [Reporter("a", END_S + 0.5), Reporter("b", END_S - 0.1)]


@pytest.mark.parametrize(
    "elapsed_s, reporters, is_settled, action",
    [
        (-1.0, ALL, True, SealAction.WAIT),
        (2.9, ALL, True, SealAction.WAIT),
        (3.0, ALL, True, SealAction.SEAL),
        (3.0, [], True, SealAction.SEAL),
        (3.0, ALL, False, SealAction.WAIT),
        (3.0, ONE_BEHIND, True, SealAction.WAIT),
        (5.9, ONE_BEHIND, True, SealAction.WAIT),
        (6.0, ONE_BEHIND, True, SealAction.SEAL),
        (9.9, ONE_BEHIND, False, SealAction.WAIT),
        (10.0, ALL, True, SealAction.SKIP),
        (10.0, ALL, False, SealAction.SKIP),
    ],
)
def test_seal_waits_for_entries_that_may_still_report(
    elapsed_s, reporters, is_settled, action
):
    """Guards against counts that are fixed before a live entry has reported."""
    decision = decide_seal(END_S, END_S + elapsed_s, LATE_S, reporters, is_settled)
    assert decision.action is action


def test_seal_names_the_entries_whose_counts_are_unknown():
    """Guards against lost counts that nobody learns of."""
    decision = decide_seal(END_S, END_S + 6.5, LATE_S, ONE_BEHIND, True)
    assert decision.missing == ["b"]
