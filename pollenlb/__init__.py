"""A rollout service for reinforcement learning with a replicated control plane."""

__version__ = "0.3.0"
