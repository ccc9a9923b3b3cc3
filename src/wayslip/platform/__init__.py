"""Adapter to the users' platform: names, formats and calls.

It makes no decisions. Input is decoded once into the types of
`wayslip.decisions` and `wayslip.gateway`. Only start-up code imports this
package, which `tests/platform/test_boundary.py` checks.
"""
