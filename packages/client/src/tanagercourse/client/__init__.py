"""The callers' library: look up an entry instance, send a request, fail over."""
