"""Pure decisions: frozen values in, frozen values out.

Nothing here opens a socket, reads a clock, draws from a global random source
or starts a thread, so all of it can be fuzzed and measured alone.
"""
