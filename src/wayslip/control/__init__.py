"""The control daemon: plans, the memory ledgers and their execution."""
