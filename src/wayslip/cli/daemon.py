"""What the two daemons' programs share: settings, logs and signals."""

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
        """Starts all parts."""

    def stop(self) -> None:
        """Carries out the planned stop."""


def run(usage: str, make: Callable[[settings_module.Settings], Daemon]) -> int:
    """Runs a daemon from its command line; returns the exit code."""
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
            f"an address can not be used: {e}; free it or change the settings",
            file=sys.stderr,
            flush=True,
        )
        # Threads of the parts that did start would keep the process alive.
        os._exit(EXIT_SETTINGS)
    _wait(daemon)
    daemon.stop()
    return 0


def _start(daemon: Daemon) -> None:
    def on_signal(number: int, frame: object) -> None:
        # Only a flag: the stop itself runs in the main thread, and a second
        # signal changes nothing.
        daemon.stopping.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    daemon.start()


def _wait(daemon: Daemon) -> None:
    # A wait with a time-out lets Python run the signal handlers.
    while not daemon.stopping.wait(0.5):
        pass
