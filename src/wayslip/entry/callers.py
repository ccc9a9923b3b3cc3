"""Who calls, and what each caller and class has in flight."""

from collections.abc import Iterator
import contextlib
import hmac
import threading

from wayslip import settings as settings_module
from wayslip.decisions import retry


class Callers:
    """Finds the caller behind a key."""

    def __init__(self, callers: tuple[settings_module.Caller, ...]) -> None:
        self._callers = callers

    def find(self, header: str) -> settings_module.Caller | None:
        """Returns the caller of an Authorization header, None if none fits."""
        scheme, _, key = header.partition(" ")
        if scheme.lower() != "bearer":
            return None
        given = key.strip().encode()
        found = None
        for caller in self._callers:
            # All are compared, so the time says nothing about the key.
            if hmac.compare_digest(caller.key.encode(), given):
                found = caller
        return found


class InFlight:
    """Counts requests under way; the lock is taken here only."""

    def __init__(self, retry_fraction: float) -> None:
        self._lock = threading.Lock()
        self._by_caller: dict[str, int] = {}
        self._total = 0
        self._budget = retry.Budget(retry_fraction)

    @property
    def total(self) -> int:
        """Requests of all callers."""
        return self._total

    def of(self, caller: str) -> int:
        """Returns a caller's requests."""
        return self._by_caller.get(caller, 0)

    def begin(self, caller: str) -> None:
        """Counts a request in."""
        with self._lock:
            self._total += 1
            self._by_caller[caller] = self._by_caller.get(caller, 0) + 1

    def end(self, caller: str) -> None:
        """Counts a request out."""
        with self._lock:
            self._total -= 1
            self._by_caller[caller] -= 1

    @contextlib.contextmanager
    def counted(self, caller: str) -> Iterator[None]:
        """Counts a request for the length of a block."""
        self.begin(caller)
        try:
            yield
        finally:
            self.end(caller)

    # The retry budget

    def earn_retry(self) -> None:
        """Counts a first attempt."""
        with self._lock:
            self._budget = self._budget.earn()

    def spend_retry(self) -> bool:
        """Takes a retry out of the budget; returns whether there was one."""
        with self._lock:
            spent = self._budget.spend()
            if spent is None:
                return False
            self._budget = spent
            return True
