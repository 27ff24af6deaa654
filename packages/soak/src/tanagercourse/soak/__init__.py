"""Randomized soak test of real processes with externally injected faults."""
