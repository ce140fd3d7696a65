"""Durable state: the replicated log and the state machine that it drives."""
