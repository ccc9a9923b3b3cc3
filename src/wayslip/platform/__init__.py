"""What the users' platform speaks: names, formats and calls.

Nothing here decides. Everything is decoded once into the types of
`wayslip.decisions` and `wayslip.gateway`; only start-up code imports this
package, which `tests/platform/test_boundary.py` checks.
"""
