"""The instance process: wiring, listeners and graceful shutdown."""
