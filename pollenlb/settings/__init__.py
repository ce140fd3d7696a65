"""Settings: typed options whose problems are all reported at once."""
