"""Fakes, protocol models and load for tests, measurements and the demo."""
