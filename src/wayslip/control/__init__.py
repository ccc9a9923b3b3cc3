"""The control daemon: plans, memory ledgers and their execution."""
