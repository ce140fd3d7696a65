"""What outlives every process: the replicated log and its state."""
