"""Routing decisions: pure functions of the observed state, without I/O."""
