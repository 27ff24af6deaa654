"""Encoding of the messages between callers, entry instances and upstreams."""
