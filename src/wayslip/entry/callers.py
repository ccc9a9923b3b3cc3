"""Authentication of callers, and their requests in flight."""

from collections.abc import Iterator
import contextlib
import hmac
import threading

from wayslip import settings as settings_module
from wayslip.decisions import retry


class Callers:
    """Looks up callers by API key."""

    def __init__(self, callers: tuple[settings_module.Caller, ...]) -> None:
        self._callers = callers

    def find(self, header: str) -> settings_module.Caller | None:
        """Returns the caller of an Authorization header, None if unknown."""
        scheme, _, key = header.partition(" ")
        if scheme.lower() != "bearer":
            return None
        given = key.strip().encode()
        found = None
        for caller in self._callers:
            # Every key is compared, so that timing reveals nothing about them.
            if hmac.compare_digest(caller.key.encode(), given):
                found = caller
        return found


class InFlight:
    """Counts requests in flight and holds the retry budget. Thread-safe."""

    def __init__(self, retry_fraction: float) -> None:
        self._lock = threading.Lock()
        self._by_caller: dict[str, int] = {}
        self._total = 0
        self._budget = retry.Budget(retry_fraction)

    @property
    def total(self) -> int:
        """Number of requests in flight, of all callers."""
        return self._total

    def of(self, caller: str) -> int:
        """Returns the number of a caller's requests in flight."""
        return self._by_caller.get(caller, 0)

    def begin(self, caller: str) -> None:
        """Counts a request that starts."""
        with self._lock:
            self._total += 1
            self._by_caller[caller] = self._by_caller.get(caller, 0) + 1

    def end(self, caller: str) -> None:
        """Removes a request that ended from the counts."""
        with self._lock:
            self._total -= 1
            self._by_caller[caller] -= 1

    @contextlib.contextmanager
    def counted(self, caller: str) -> Iterator[None]:
        """Counts a request as in flight during a `with` block."""
        self.begin(caller)
        try:
            yield
        finally:
            self.end(caller)

    # The retry budget

    def earn_retry(self) -> None:
        """Adds the share of a retry that each first attempt earns."""
        with self._lock:
            self._budget = self._budget.earn()

    def spend_retry(self) -> bool:
        """Takes a retry from the budget; returns False if it has none."""
        with self._lock:
            spent = self._budget.spend()
            if spent is None:
                return False
            self._budget = spent
            return True
