"""Benchmarks of pollenlb.

Results are ratios between policies or system sizes of the same run, so that they
depend little on the machine.
"""
