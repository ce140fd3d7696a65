"""Handling of requests in the entry process: routing, retries and HTTP handlers."""
