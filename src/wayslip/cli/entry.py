"""The entry daemon.

Usage:
  wayslip-entry --settings FILE [--check]
  wayslip-entry --help

Options:
  --settings FILE  The instance's settings, TOML.
  --check          Check the settings and exit.
  --help           Show this text.

Exit codes: 0 after a planned stop, 2 for unusable settings.
"""

import sys

from wayslip.cli import daemon
from wayslip.entry import daemon as entry_daemon


def main() -> None:
    """Runs the program."""
    assert __doc__ is not None
    sys.exit(daemon.run(__doc__, entry_daemon.EntryDaemon))


if __name__ == "__main__":
    main()
