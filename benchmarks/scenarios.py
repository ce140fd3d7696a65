"""What is measured, and the targets that bound it."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.requests import Kind, Load
from benchmarks.trainer import StepLoad
from pollenlb.request.caller_request import RequestClass

WORK_S = 0.020
MEAN_WORK_S = WORK_S * 1.133  # mean of the log-normal work with sigma 0.5
LONG_WORK_S = 0.6
MEAN_LONG_WORK_S = LONG_WORK_S * 1.133
SLOWDOWN = 10.0
SPELLS = [(5.0 + 6 * n, 8.0 + 6 * n, SLOWDOWN) for n in range(6)]
STEP_SPELLS = [(5.0 + 14 * n, 8.0 + 14 * n, SLOWDOWN) for n in range(20)]

INTERACTIVE = RequestClass.INTERACTIVE


@dataclass(frozen=True)
class Place:
    """Sizes of one user's plain service.

    Attributes
    ----------
    servers, slots : int
        Backend servers and the slots of each.
    """

    name: str
    servers: int
    slots: int = 4

    def interactive(self, load: float, timeout_s: float = 30.0) -> Kind:
        """Return interactive requests that take a share of the capacity."""
        rate = load * self.servers * self.slots / MEAN_WORK_S
        return Kind(INTERACTIVE, rate, WORK_S, timeout_s=timeout_s)


FILO = Place("filo", 3)
KITAMI = Place("kitami", 4)


def _mixed(total: float, is_alone: bool = False) -> Load:
    servers, slots, short = 6, 8, 0.2
    capacity = servers * slots
    kinds = [Kind(INTERACTIVE, short * capacity / MEAN_WORK_S, WORK_S)]
    if not is_alone:
        rate = (total - short) * capacity / MEAN_LONG_WORK_S
        kinds.append(Kind(RequestClass.LONG, rate, LONG_WORK_S, timeout_s=120))
    return Load(servers, slots, kinds, duration_s=25, long_share=0.75)


def _of(place: Place, load: float, timeout_s: float = 30.0, **options) -> Load:
    kinds = [place.interactive(load, timeout_s)]
    return Load(place.servers, place.slots, kinds, **options)


REQUESTS = {
    "calm filo": _of(FILO, 0.57, duration_s=25),
    "calm kitami": _of(KITAMI, 0.57, duration_s=25),
    "slowed filo": _of(FILO, 0.57, spells=SPELLS),
    "slowed kitami": _of(KITAMI, 0.57, spells=SPELLS),
    "short alone": _mixed(0.2, is_alone=True),
    "short beside long 70%": _mixed(0.7),
    "short beside long 90%": _mixed(0.9),
    "load 100%": _of(FILO, 1.0, timeout_s=1.0, duration_s=20),
    "overload 150%": _of(FILO, 1.5, timeout_s=1.0, duration_s=20),
    "crash": _of(FILO, 0.57, duration_s=20, crash_at_s=8),
}

STEPS = {
    "steps calm": StepLoad(),
    "steps with swaps": StepLoad(swaps=True),
    "steps slowed, one crash each": StepLoad(spells=STEP_SPELLS, crashes=True),
    "small steps (256 samples)": StepLoad(prompts=32, steps=3),
}
