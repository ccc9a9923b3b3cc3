"""Decisions as pure functions of immutable values.

Nothing here opens a socket, reads a clock, uses a global random generator or
starts a thread, so each module can be fuzzed and benchmarked in isolation.
"""
