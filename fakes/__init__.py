"""Fakes of the systems around pollenlb, for tests, the soak and the demo."""
