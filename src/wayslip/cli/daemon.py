"""Common code of the two daemons' programs: settings, logs, signals."""

from collections.abc import Callable
import os
import signal
import sys
import threading
from typing import Protocol

import docopt

from wayslip import errors
from wayslip import logs
from wayslip import settings as settings_module

EXIT_SETTINGS = 2


class Daemon(Protocol):
    """A daemon that runs until it is stopped."""

    stopping: threading.Event

    def start(self) -> None:
        """Starts all components."""

    def stop(self) -> None:
        """Runs the planned stop."""


def run(usage: str, make: Callable[[settings_module.Settings], Daemon]) -> int:
    """Runs a daemon until it is stopped.

    Args:
        usage: The usage text, by which docopt parses the command line.
        make: Creates the daemon.

    Returns:
        The exit code of the process.
    """
    options = docopt.docopt(usage)
    try:
        settings = settings_module.load_settings(options["--settings"])
    except errors.SettingsError as e:
        print(e, file=sys.stderr)
        return EXIT_SETTINGS
    if options["--check"]:
        print(f"{options['--settings']}: the settings are valid")
        return 0
    logs.configure_logging(settings.log_level)
    try:
        daemon = make(settings)
        _start(daemon)
    except errors.SettingsError as e:
        print(e, file=sys.stderr)
        return EXIT_SETTINGS
    except OSError as e:
        print(
            f"an address cannot be used: {e}; free it or change the settings",
            file=sys.stderr,
            flush=True,
        )
        # Threads of components already started would keep the process alive.
        os._exit(EXIT_SETTINGS)
    _wait(daemon)
    daemon.stop()
    return 0


def _start(daemon: Daemon) -> None:
    def on_signal(number: int, frame: object) -> None:
        # Only sets a flag: the stop itself runs in the main thread, and a
        # second signal has no effect.
        daemon.stopping.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    daemon.start()


def _wait(daemon: Daemon) -> None:
    # The time-out gives Python the opportunity to run signal handlers.
    while not daemon.stopping.wait(0.5):
        pass
