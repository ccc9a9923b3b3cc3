"""Wayslip serves many models to callers on fewer accelerators."""

__version__ = "0.1.0"
