"""Connections to other processes: protocols, clients and per-server state."""
