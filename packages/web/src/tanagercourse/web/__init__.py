"""HTTP serving shared by every process that answers HTTP."""
