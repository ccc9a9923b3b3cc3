"""The control daemon.

Usage:
  wayslip-control --settings FILE [--check]
  wayslip-control --help

Options:
  --settings FILE  The instance's settings, TOML.
  --check          Check the settings and exit.
  --help           Show this text.

Exit codes: 0 after a planned stop, 2 for unusable settings.
"""

import sys

from wayslip.cli import daemon
from wayslip.control import daemon as control_daemon


def main() -> None:
    """Runs the program."""
    assert __doc__ is not None
    sys.exit(daemon.run(__doc__, control_daemon.ControlDaemon))


if __name__ == "__main__":
    main()
