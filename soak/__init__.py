"""Randomized runs of the real programs under injected faults."""
