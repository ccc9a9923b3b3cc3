"""The gateway daemon: one process an instance, for callers and placement."""
