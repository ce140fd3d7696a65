"""Small stand-ins for the systems around pollenlb, for tests and the demo."""
