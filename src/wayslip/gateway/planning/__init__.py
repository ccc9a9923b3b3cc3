"""The lease holder's work: decide which engine loads what, and order it.

`planner.Planner` is the entry point; the other modules are its steps.
"""
