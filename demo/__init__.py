"""The demo: a complete system on one machine."""
