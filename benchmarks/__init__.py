"""Measurements, as ratios within one run."""
