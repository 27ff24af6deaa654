"""Quotas of tenants over all instances; without I/O."""
