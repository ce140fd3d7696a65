"""Settings of duties, which the platform hands over as environment variables.

The fields exist only on installations with duties, and a template of a settings file
cannot leave out a key without naming its field. ``deploy/system.toml`` names the fields
in the environment instead, where a missing one is an empty text.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

_TEXTS = {
    "POLLENLB_DUTY_ADDRESS": "duty_address",
    "POLLENLB_DUTIES": "duties",
}
_NUMBERS = {
    "POLLENLB_DUTY_PER_S": "duty_per_s",
    "POLLENLB_DUTY_LEASE_MS": "duty_lease_ms",
    "POLLENLB_USAGE_WINDOW_S": "usage_window_s",
    "POLLENLB_USAGE_LATE_S": "usage_late_s",
}


def read_duty_settings(environment: Mapping[str, str]) -> dict[str, Any]:
    """Return the settings of a control instance that the environment holds.

    A variable that is missing, empty or still a placeholder has no effect; placeholders
    are left where something else than the platform starts the program.

    Parameters
    ----------
    environment : mapping
        Environment variables by name.

    Raises
    ------
    ValueError
        When a number is not one.
    """
    given = {
        name: text
        for name, text in environment.items()
        if text and not text.startswith("{{")
    }
    settings: dict[str, Any] = {
        key: given[name] for name, key in _TEXTS.items() if name in given
    }
    settings |= {
        key: float(given[name]) for name, key in _NUMBERS.items() if name in given
    }
    return settings
