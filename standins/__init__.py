"""Stand-ins for the outside systems, for tests, benches and `make run`."""
