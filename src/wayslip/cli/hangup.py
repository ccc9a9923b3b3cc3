"""Ignores SIGHUP from its import on.

SIGHUP ends a process that has no handler for it. The programs set theirs once
they run; until then they load their libraries, a few hundred milliseconds in
which the platform may already tell them that their settings have changed.
So this module is imported before anything else that takes time.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
