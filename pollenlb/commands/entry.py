"""Run an entry instance."""
