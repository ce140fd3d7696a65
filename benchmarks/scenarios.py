"""The scenarios of the benchmark: request workloads and trainer workloads."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.requests import RequestProfile, Workload
from benchmarks.trainer import StepWorkload
from pollenlb.request.caller_request import RequestClass

MEDIAN_WORK_S = 0.020
# The mean of a log-normal distribution with sigma 0.5 is 1.133 times its median.
MEAN_WORK_S = MEDIAN_WORK_S * 1.133
MEDIAN_LONG_WORK_S = 0.6
MEAN_LONG_WORK_S = MEDIAN_LONG_WORK_S * 1.133
SLOWDOWN_RATIO = 10.0
# Start and end in seconds of virtual time, and slowdown.
SLOW_PERIODS = [(5.0 + 6 * n, 8.0 + 6 * n, SLOWDOWN_RATIO) for n in range(6)]
STEP_SLOW_PERIODS = [(5.0 + 14 * n, 8.0 + 14 * n, SLOWDOWN_RATIO) for n in range(20)]

INTERACTIVE = RequestClass.INTERACTIVE


@dataclass(frozen=True)
class ServiceSize:
    """Size of one user's plain service.

    Attributes
    ----------
    server_count, slots_per_server : int
        Number of backend servers and of the slots of each.
    """

    name: str
    server_count: int
    slots_per_server: int = 4

    def interactive_requests(
        self, load: float, timeout_s: float = 30.0
    ) -> RequestProfile:
        """Return interactive requests that use a share ``load`` of the capacity."""
        rate_per_s = load * self.server_count * self.slots_per_server / MEAN_WORK_S
        return RequestProfile(
            INTERACTIVE, rate_per_s, MEDIAN_WORK_S, timeout_s=timeout_s
        )


FILO = ServiceSize("filo", 3)
KITAMI = ServiceSize("kitami", 4)


def _mixed_workload(total_load: float, is_alone: bool = False) -> Workload:
    """Return interactive load of 0.2 and, unless alone, long load up to the total."""
    server_count, slots_per_server, interactive_load = 6, 8, 0.2
    slot_count = server_count * slots_per_server
    profiles = [
        RequestProfile(
            INTERACTIVE, interactive_load * slot_count / MEAN_WORK_S, MEDIAN_WORK_S
        )
    ]
    if not is_alone:
        rate_per_s = (total_load - interactive_load) * slot_count / MEAN_LONG_WORK_S
        profiles.append(
            RequestProfile(
                RequestClass.LONG, rate_per_s, MEDIAN_LONG_WORK_S, timeout_s=120
            )
        )
    return Workload(
        server_count, slots_per_server, profiles, duration_s=25, long_share=0.75
    )


def _interactive_workload(
    size: ServiceSize, load: float, timeout_s: float = 30.0, **options
) -> Workload:
    profiles = [size.interactive_requests(load, timeout_s)]
    return Workload(size.server_count, size.slots_per_server, profiles, **options)


REQUEST_SCENARIOS = {
    "calm filo": _interactive_workload(FILO, 0.57, duration_s=25),
    "calm kitami": _interactive_workload(KITAMI, 0.57, duration_s=25),
    "slowed filo": _interactive_workload(FILO, 0.57, slow_periods=SLOW_PERIODS),
    "slowed kitami": _interactive_workload(KITAMI, 0.57, slow_periods=SLOW_PERIODS),
    "short alone": _mixed_workload(0.2, is_alone=True),
    "short beside long 70%": _mixed_workload(0.7),
    "short beside long 90%": _mixed_workload(0.9),
    "load 100%": _interactive_workload(FILO, 1.0, timeout_s=1.0, duration_s=20),
    "overload 150%": _interactive_workload(FILO, 1.5, timeout_s=1.0, duration_s=20),
    "crash": _interactive_workload(FILO, 0.57, duration_s=20, crash_at_s=8),
}

STEP_SCENARIOS = {
    "steps calm": StepWorkload(),
    "steps with swaps": StepWorkload(swaps_weights=True),
    "steps slowed, one crash each": StepWorkload(
        slow_periods=STEP_SLOW_PERIODS, crashes_engines=True
    ),
    "small steps (256 samples)": StepWorkload(prompts_per_step=32, step_count=3),
}
