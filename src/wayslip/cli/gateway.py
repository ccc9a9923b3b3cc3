"""The gateway.

Usage:
  wayslip-gateway [--check]
  wayslip-gateway --help

The platform sets an environment variable to the path of the settings file.

Options:
  --check  Check the settings and exit.
  --help   Show this text.

Exit codes: 0 after a planned stop, 2 for unusable settings.
"""

from wayslip.cli import hangup  # noqa: F401  # before slow imports

# isort: split

import asyncio
import sys

import docopt

from wayslip import addresses
from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip.gateway import daemon
from wayslip.gateway import options as options_module
from wayslip.platform import dialect
from wayslip.platform import engines
from wayslip.platform import kinds
from wayslip.platform import settings
from wayslip.platform import store

EXIT_SETTINGS = 2


def make_platform(options: options_module.Options) -> daemon.Platform:
    """Returns the platform adapter for an instance."""
    address = addresses.split_address(options.store)
    return daemon.Platform(
        store=store.PlatformStore(address),
        dialect=dialect.PlatformDialect(),
        engines=engines.PlatformEngines(),
        configuration=kinds.CONFIGURATION,
        configuration_name=kinds.CONFIGURATION_NAME,
        endpoints=kinds.ENDPOINTS,
    )


async def _run(options: options_module.Options) -> None:
    await daemon.Gateway(options, make_platform(options)).run()


def run() -> int:
    """Runs the gateway; returns the exit code."""
    assert __doc__ is not None
    arguments = docopt.docopt(__doc__)
    path = settings.find_path()
    try:
        options = settings.load(path)
    except errors.SettingsError as e:
        print(e, file=sys.stderr)
        return EXIT_SETTINGS
    if arguments["--check"]:
        print(f"{path}: the settings are valid")
        return 0
    writer = logs.configure_bounded("info", sys.stdout)
    try:
        with asyncio.Runner(loop_factory=clock.Loop) as runner:
            runner.run(_run(options))
    except OSError as e:
        print(
            f"an address cannot be used: {e}; free it or change the settings",
            file=sys.stderr,
        )
        return EXIT_SETTINGS
    finally:
        writer.close()
    return 0


def main() -> None:
    """Runs the program."""
    sys.exit(run())


if __name__ == "__main__":
    main()
