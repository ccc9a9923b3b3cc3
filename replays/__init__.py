"""Replays of load patterns against the real decisions, in simulated time."""
