"""Benchmarks; each script prints a table."""
