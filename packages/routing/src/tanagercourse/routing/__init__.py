"""Where a request goes: pure decisions over what is known, without I/O."""
