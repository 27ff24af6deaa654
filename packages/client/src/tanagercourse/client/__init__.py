"""The client library for callers: look up entry instances, send and fail over."""
