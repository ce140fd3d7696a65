"""The demo: a whole system on one machine."""
