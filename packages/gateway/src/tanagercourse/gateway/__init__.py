"""HTTP connections with callers and upstreams, with h11 over anyio streams."""
