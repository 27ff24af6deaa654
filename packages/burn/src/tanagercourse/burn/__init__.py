"""Service-level burn: recorded by entry instances, merged and reported here."""
