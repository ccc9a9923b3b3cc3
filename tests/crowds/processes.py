"""The system's own processes, and what the kernel says of them."""

import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).parent.parent.parent
_KILOBYTE = 1024


class Process:
    """A process of the system; a `with` block ends it."""

    def __init__(self, log, *args, **environment):
        self._log = log
        path = os.pathsep.join([str(ROOT / "src"), str(ROOT), *sys.path])
        with log.open("wb") as file:
            self._popen = subprocess.Popen(
                [sys.executable, *args],
                env={**os.environ, "PYTHONPATH": path, **environment},
                stdout=file,
                stderr=subprocess.STDOUT,
            )

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        self._popen.kill()
        self._popen.wait()

    @property
    def is_alive(self):
        return self._popen.poll() is None

    @property
    def log(self):
        return self._log.read_text(errors="replace")

    @property
    def peak_mb(self):
        """The most memory that was resident, 10^6 bytes."""
        return self._read_status("VmHWM")

    @property
    def resident_mb(self):
        """The memory that is resident, 10^6 bytes."""
        return self._read_status("VmRSS")

    @property
    def descriptors(self):
        """The number of open descriptors."""
        return len(os.listdir(f"/proc/{self._popen.pid}/fd"))

    def _read_status(self, name):
        status = pathlib.Path(f"/proc/{self._popen.pid}/status").read_text()
        kilobytes = re.search(rf"^{name}:\s+(\d+) kB$", status, re.MULTILINE)
        assert kilobytes, status
        return int(kilobytes[1]) * _KILOBYTE / 1e6
