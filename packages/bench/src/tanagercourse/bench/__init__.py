"""Benchmarks of the product against baseline versions."""
