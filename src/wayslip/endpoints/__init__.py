"""Endpoints: engines and plain services, and how to talk to them."""
