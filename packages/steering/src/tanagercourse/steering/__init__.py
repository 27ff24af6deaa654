"""Pure steering decisions over typed data, without I/O and with time as an argument."""
