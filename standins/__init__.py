"""Stand-ins for external systems, used by tests, benches and `make run`."""
