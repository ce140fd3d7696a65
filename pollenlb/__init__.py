"""A rollout service for reinforcement learning and its coordination parts."""

__version__ = "0.1.0"
