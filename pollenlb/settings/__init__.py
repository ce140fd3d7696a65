"""Settings files: typed options, checked all at once."""
