"""Measure the decisions of entries against baselines and an oracle."""

from __future__ import annotations

import json
import os
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from benchmarks.policies import POLICIES, pollenlb, random_two
from benchmarks.requests import measure
from benchmarks.scenarios import INTERACTIVE, REQUESTS, STEPS
from benchmarks.trainer import measure_steps

SEEDS = (1, 2, 3)
STEP_SEEDS = (1, 2)
PERCENTILES = (50, 90, 99, 99.9)
OUTPUT = Path("build/bench.json")

Figures = dict[str, float]


def run_requests(job: tuple) -> Figures:
    """Run one scenario of requests with one policy and one seed."""
    name, policy, seed = job
    result = measure(REQUESTS[name], policy, seed)
    seen = result.seen[INTERACTIVE]
    figures = {f"p{each:g}_ms": seen.percentile_ms(each) for each in PERCENTILES}
    figures["sent"] = seen.sent
    figures["in_time"] = seen.in_time
    figures["refused"] = seen.refused
    figures["failed"] = seen.failed
    figures["extra_load"] = max(0.0, result.extra_load)
    if seen.refused:
        figures["refusal_p50_ms"] = seen.refusals.get_value_at_percentile(50) / 1000
    return figures


def run_steps(job: tuple) -> Figures:
    """Run one scenario of a trainer with one policy and one seed."""
    name, policy, seed = job
    result = measure_steps(STEPS[name], policy, seed)
    wasted = result.wasted / max(1, result.samples + result.wasted)
    return {"step_ratio": result.ratio, "wasted": wasted}


def summarize(runs: list[Figures]) -> dict[str, dict[str, float]]:
    """Return the median and the spread of each figure over the seeds."""
    keys = {key for each in runs for key in each}
    return {
        key: {
            "median": statistics.median(each.get(key, 0.0) for each in runs),
            "least": min(each.get(key, 0.0) for each in runs),
            "most": max(each.get(key, 0.0) for each in runs),
        }
        for key in sorted(keys)
    }


def main() -> None:
    """Run all scenarios, write the figures and print the table of ratios."""
    workers = max(1, (os.cpu_count() or 2) - 2)
    jobs = [
        (run, name, policy, seed)
        for run, scenarios, policies, seeds in (
            (run_requests, REQUESTS, POLICIES, SEEDS),
            (run_steps, STEPS, (pollenlb, random_two), STEP_SEEDS),
        )
        for name in scenarios
        for policy in policies
        for seed in seeds
    ]
    found: dict[str, dict[str, list[Figures]]] = {}
    with ProcessPoolExecutor(workers) as pool:
        futures = [(job, pool.submit(job[0], job[1:])) for job in jobs]
        for number, ((_, name, policy, _), future) in enumerate(futures, 1):
            runs = found.setdefault(name, {}).setdefault(policy.__name__, [])
            runs.append(future.result())
            print(f"\r{number} of {len(jobs)} runs", end="", file=sys.stderr)
    print(file=sys.stderr)
    report = {
        name: {policy: summarize(runs) for policy, runs in by_policy.items()}
        for name, by_policy in found.items()
    }
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(report, indent=2))
    print_report(report)


def print_report(report: dict) -> None:
    """Print latencies by policy, then the targets."""
    for name in REQUESTS:
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
    for name in STEPS:
        print(f"\n{name}")
        for policy, figures in report[name].items():
            ratio, wasted = figures["step_ratio"], figures["wasted"]
            print(
                f"  {policy:20} step time / bound {ratio['median']:.2f} "
                f"({ratio['least']:.2f} to {ratio['most']:.2f})  "
                f"wasted {wasted['most']:.3f}"
            )
    print("\ntargets")
    for text, value, bound, is_met in targets(report):
        print(f"  {'met   ' if is_met else 'MISSED'} {text}: {value:.3f} ({bound})")


def targets(report: dict) -> list[tuple[str, float, str, bool]]:
    """Return each stated target with its figure."""

    def median(name: str, policy: str, key: str) -> float:
        return report[name][policy][key]["median"]

    def most(key: str, value: float, bound: float) -> tuple[str, float, str, bool]:
        return key, value, f"at most {bound:g}", value <= bound

    rows = []
    for place in ("filo", "kitami"):
        name = f"slowed {place}"
        own = median(name, "pollenlb", "p99_ms")
        rows.append(
            most(f"{name}: p99 / oracle", own / median(name, "oracle", "p99_ms"), 1.3)
        )
        baseline = median(name, "round_robin", "p99_ms")
        rows.append(most(f"{name}: p99 / round robin", own / baseline, 1 / 3))
    alone = median("short alone", "pollenlb", "p99_ms")
    for load in ("70%", "90%"):
        beside = median(f"short beside long {load}", "pollenlb", "p99_ms")
        rows.append(most(f"short beside long {load}: p99 / alone", beside / alone, 1.5))
    for name, bound in (
        ("steps calm", 1.15),
        ("steps with swaps", 1.15),
        ("steps slowed, one crash each", 1.4),
        ("small steps (256 samples)", 1.15),
    ):
        ratio = median(name, "pollenlb", "step_ratio")
        rows.append(most(f"{name}: step time / lower bound", ratio, bound))
        wasted = report[name]["pollenlb"]["wasted"]["most"]
        rows.append(most(f"{name}: samples wasted", wasted, 0.03))
    served = median("load 100%", "pollenlb", "in_time")
    useful = median("overload 150%", "pollenlb", "in_time") / served
    rows.append(("overload: useful / at 100%", useful, "at least 0.95", useful >= 0.95))
    refusal = median("overload 150%", "pollenlb", "refusal_p50_ms")
    rows.append(most("overload: refusal p50, ms (virtual)", refusal, 5))
    for name in REQUESTS:
        extra = report[name]["pollenlb"]["extra_load"]["most"]
        rows.append(most(f"{name}: extra load", extra, 0.1))
    return rows


if __name__ == "__main__":
    main()
