"""Leases, replication of settings, membership and slot shares of entry instances."""
