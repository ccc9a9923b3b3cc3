"""Measurements; each script prints a table."""
