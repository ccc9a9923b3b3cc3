"""The entry daemon: serves callers' requests, from admission to last token."""
