"""The entry daemon: callers' requests, from admission to the last token."""
