"""One instance: everything that a process on one machine runs."""
