"""Measure the scheduling decisions of entry processes in virtual time.

Each scenario runs with the product's own policy, with baseline policies and with an
oracle that knows the true state of every server.
"""

from __future__ import annotations

import json
import os
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from benchmarks.policies import POLICIES, pollenlb, random_two
from benchmarks.requests import measure_requests
from benchmarks.scenarios import INTERACTIVE, REQUEST_SCENARIOS, STEP_SCENARIOS
from benchmarks.trainer import measure_steps

SEEDS = (1, 2, 3)
STEP_SEEDS = (1, 2)
PERCENTILES = (50, 90, 99, 99.9)
OUTPUT = Path("build/bench.json")

Figures = dict[str, float]


def run_request_scenario(job: tuple) -> Figures:
    """Run one request scenario with one policy and one seed.

    Parameters
    ----------
    job : tuple
        Scenario name, policy factory and seed.

    Returns
    -------
    dict
        Figures of the interactive requests by name, as written to the report.
    """
    name, policy, seed = job
    result = measure_requests(REQUEST_SCENARIOS[name], policy, seed)
    interactive = result.statistics[INTERACTIVE]
    figures = {
        f"p{percentile:g}_ms": interactive.percentile_ms(percentile)
        for percentile in PERCENTILES
    }
    figures["sent"] = interactive.sent
    figures["in_time"] = interactive.in_time
    figures["refused"] = interactive.refused
    figures["failed"] = interactive.failed
    figures["extra_load"] = max(0.0, result.extra_load)
    if interactive.refused:
        figures["refusal_p50_ms"] = (
            interactive.refusal_latencies.get_value_at_percentile(50) / 1000
        )
    return figures


def run_step_scenario(job: tuple) -> Figures:
    """Run one trainer scenario with one policy and one seed.

    Parameters
    ----------
    job : tuple
        Scenario name, policy factory and seed.

    Returns
    -------
    dict
        ``step_ratio``, step time divided by its lower bound, and ``wasted``, the number
        of stale samples divided by that of accepted and stale samples.
    """
    name, policy, seed = job
    result = measure_steps(STEP_SCENARIOS[name], policy, seed)
    wasted = result.wasted_samples / max(
        1, result.accepted_samples + result.wasted_samples
    )
    return {"step_ratio": result.ratio, "wasted": wasted}


def summarize(runs: list[Figures]) -> dict[str, dict[str, float]]:
    """Return the median, the minimum and the maximum of each figure over the seeds."""
    keys = {key for figures in runs for key in figures}
    return {
        key: {
            "median": statistics.median(figures.get(key, 0.0) for figures in runs),
            "least": min(figures.get(key, 0.0) for figures in runs),
            "most": max(figures.get(key, 0.0) for figures in runs),
        }
        for key in sorted(keys)
    }


def main() -> None:
    """Run all scenarios, write the figures to ``OUTPUT`` and print the report."""
    workers = max(1, (os.cpu_count() or 2) - 2)
    jobs = [
        (run, name, policy, seed)
        for run, scenarios, policies, seeds in (
            (run_request_scenario, REQUEST_SCENARIOS, POLICIES, SEEDS),
            (run_step_scenario, STEP_SCENARIOS, (pollenlb, random_two), STEP_SEEDS),
        )
        for name in scenarios
        for policy in policies
        for seed in seeds
    ]
    results: dict[str, dict[str, list[Figures]]] = {}
    with ProcessPoolExecutor(workers) as pool:
        futures = [(job, pool.submit(job[0], job[1:])) for job in jobs]
        for number, ((_, name, policy, _), future) in enumerate(futures, 1):
            runs = results.setdefault(name, {}).setdefault(policy.__name__, [])
            runs.append(future.result())
            print(f"\r{number} of {len(jobs)} runs", end="", file=sys.stderr)
    print(file=sys.stderr)
    report = {
        name: {policy: summarize(runs) for policy, runs in by_policy.items()}
        for name, by_policy in results.items()
    }
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(report, indent=2))
    print_report(report)


def print_report(report: dict) -> None:
    """Print the figures of each scenario by policy, then the targets."""
    for name in REQUEST_SCENARIOS:
        print(f"\n{name}")
        for policy, figures in report[name].items():
            cells = [
                f"{key} {figures[key]['median']:.1f}"
                for key in ("p50_ms", "p99_ms", "p99.9_ms")
            ]
            counts = [
                f"{key} {figures[key]['median']:.0f}"
                for key in ("sent", "in_time", "refused", "failed")
            ]
            extra = f"extra {figures['extra_load']['most']:.3f}"
            print(f"  {policy:20} {'  '.join(cells + counts)}  {extra}")
    for name in STEP_SCENARIOS:
        print(f"\n{name}")
        for policy, figures in report[name].items():
            ratio, wasted = figures["step_ratio"], figures["wasted"]
            print(
                f"  {policy:20} step time / bound {ratio['median']:.2f} "
                f"({ratio['least']:.2f} to {ratio['most']:.2f})  "
                f"wasted {wasted['most']:.3f}"
            )
    print("\ntargets")
    for text, value, bound, is_met in evaluate_targets(report):
        print(f"  {'met   ' if is_met else 'MISSED'} {text}: {value:.3f} ({bound})")


def evaluate_targets(report: dict) -> list[tuple[str, float, str, bool]]:
    """Compare the figures with the targets.

    Returns
    -------
    list of tuple
        For each target its description, the measured value, the bound as text and
        whether the value meets the bound.
    """

    def median(name: str, policy: str, key: str) -> float:
        return report[name][policy][key]["median"]

    def at_most(text: str, value: float, bound: float) -> tuple[str, float, str, bool]:
        return text, value, f"at most {bound:g}", value <= bound

    rows = []
    for service in ("filo", "kitami"):
        name = f"slowed {service}"
        p99_ms = median(name, "pollenlb", "p99_ms")
        rows.append(
            at_most(
                f"{name}: p99 / oracle", p99_ms / median(name, "oracle", "p99_ms"), 1.3
            )
        )
        baseline_ms = median(name, "round_robin", "p99_ms")
        rows.append(at_most(f"{name}: p99 / round robin", p99_ms / baseline_ms, 1 / 3))
    alone_ms = median("short alone", "pollenlb", "p99_ms")
    for load in ("70%", "90%"):
        mixed_ms = median(f"short beside long {load}", "pollenlb", "p99_ms")
        rows.append(
            at_most(f"short beside long {load}: p99 / alone", mixed_ms / alone_ms, 1.5)
        )
    for name, bound in (
        ("steps calm", 1.15),
        ("steps with swaps", 1.15),
        ("steps slowed, one crash each", 1.4),
        ("small steps (256 samples)", 1.15),
    ):
        ratio = median(name, "pollenlb", "step_ratio")
        rows.append(at_most(f"{name}: step time / lower bound", ratio, bound))
        wasted = report[name]["pollenlb"]["wasted"]["most"]
        rows.append(at_most(f"{name}: samples wasted", wasted, 0.03))
    at_capacity = median("load 100%", "pollenlb", "in_time")
    useful = median("overload 150%", "pollenlb", "in_time") / at_capacity
    rows.append(("overload: useful / at 100%", useful, "at least 0.95", useful >= 0.95))
    refusal_ms = median("overload 150%", "pollenlb", "refusal_p50_ms")
    rows.append(at_most("overload: refusal p50, ms (virtual)", refusal_ms, 5))
    for name in REQUEST_SCENARIOS:
        extra = report[name]["pollenlb"]["extra_load"]["most"]
        rows.append(at_most(f"{name}: extra load", extra, 0.1))
    return rows


if __name__ == "__main__":
    main()
