"""A randomized run of the real programs under faults from outside."""
