"""The gateway daemon: serves callers and places models, one per instance."""
