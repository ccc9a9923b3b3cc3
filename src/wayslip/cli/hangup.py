"""Ignores SIGHUP as soon as it is imported.

SIGHUP terminates a process that has no handler for it. A program installs its
handler only after it has imported its libraries. That takes a few hundred
milliseconds, in which the platform may already send SIGHUP to report changed
settings. So this module is imported before all slow imports.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
