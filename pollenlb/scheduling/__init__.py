"""Decisions under load: who waits, who is refused, and where work goes."""
