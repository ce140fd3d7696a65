"""Stand-ins and helpers that the cases share."""
