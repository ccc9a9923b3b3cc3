"""Clients to endpoints: model engines and plain services."""
