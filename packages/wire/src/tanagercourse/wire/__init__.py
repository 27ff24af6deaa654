"""Message encodings and HTTP clients for callers, entry instances and upstreams."""
