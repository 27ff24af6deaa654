"""Messages and connections between callers, entry instances and upstreams."""
