"""Connections of callers and upstreams, carried by h11 over anyio streams."""
