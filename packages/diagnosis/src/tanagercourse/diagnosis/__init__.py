"""Explain requests and load from the logs of instances."""
