"""Wayslip serves many bursty models on fewer accelerators."""

__version__ = "0.1.0"
