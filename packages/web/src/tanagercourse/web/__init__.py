"""HTTP serving shared by all processes with an HTTP server."""
