"""Replays of load patterns against production code, in simulated time."""
