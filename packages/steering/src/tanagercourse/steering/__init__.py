"""Pure steering decisions over typed data: no I/O, no clock of their own."""
