"""Leases, configuration spread and membership over the platform's object API."""
