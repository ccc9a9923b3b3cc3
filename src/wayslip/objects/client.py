"""Client for the object API.

It follows the public conventions of Kubernetes-style APIs: objects carry a
`resourceVersion`, an update names the version it replaces and fails with 409
if that is not the newest, and a watch starts after a listed version and fails
with 410 if that is too old.

The HTTP client's own retries are off: a write whose response was lost may have
taken effect, and only the caller can find out whether it did.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import json
from typing import Any
from typing import Generic
from typing import TypeVar

import urllib3

from wayslip import documents
from wayslip import errors
from wayslip import fields
from wayslip import metrics as metrics_module
from wayslip import refusals
from wayslip import settings
from wayslip.objects import kinds

T = TypeVar("T")

_PREFIX = "/apis/wayslip.io/v1"
_MAX_TRIES = 32
_POOL_SIZE = 16


@dataclasses.dataclass(frozen=True)
class Stored(Generic[T]):
    """An object's content and the version that was read."""

    name: str
    version: str
    value: T


@dataclasses.dataclass(frozen=True)
class Listing(Generic[T]):
    """The objects of a kind and the version to watch from."""

    items: tuple[Stored[T], ...]
    version: str


@dataclasses.dataclass(frozen=True)
class Event(Generic[T]):
    """A change reported by a watch.

    Attributes:
        version: The version from which to resume an interrupted watch.
        stored: The object, None for a bookmark or a malformed object.
        is_deleted: Whether the object was deleted.
    """

    version: str
    stored: Stored[T] | None
    is_deleted: bool = False


class ObjectClient:
    """Reads and conditionally writes objects. Thread-safe."""

    def __init__(
        self,
        options: settings.Objects,
        metrics: metrics_module.Metrics | None = None,
    ) -> None:
        self._options = options
        self._metrics = metrics or metrics_module.Metrics()
        self._http = urllib3.PoolManager(
            maxsize=_POOL_SIZE,
            retries=False,
            timeout=urllib3.Timeout(total=options.timeout),
        )

    # Reading

    def get(self, kind: kinds.Kind[T], name: str) -> Stored[T]:
        """Returns an object.

        Raises:
            ObjectMissingError: There is no object of that name.
            ObjectUnavailableError: The object API did not answer.
        """
        return self._parse(kind, self._call("GET", _path(kind, name)))

    def find(self, kind: kinds.Kind[T], name: str) -> Stored[T] | None:
        """Returns an object, None if there is no object of that name."""
        try:
            return self.get(kind, name)
        except errors.ObjectMissingError:
            return None

    def list(self, kind: kinds.Kind[T]) -> Listing[T]:
        """Returns all objects of a kind except malformed ones."""
        body = self._call("GET", _path(kind))
        items = []
        for raw in body["items"]:
            try:
                items.append(self._parse(kind, raw))
            except errors.ObjectError:
                self._metrics.count("objects_malformed", kind=kind.plural)
        return Listing(tuple(items), body["metadata"]["resourceVersion"])

    def watch(self, kind: kinds.Kind[T], version: str) -> Iterator[Event[T]]:
        """Yields the changes after a version until the watch times out.

        Raises:
            WatchExpiredError: The version is too old; list again.
            ObjectUnavailableError: The watch was interrupted.
        """
        seconds = self._options.watch_seconds
        url = (
            f"{self._options.url}{_path(kind)}?watch=true"
            f"&resourceVersion={version}&timeoutSeconds={seconds:g}"
        )
        timeout = urllib3.Timeout(
            connect=self._options.timeout, read=seconds + self._options.timeout
        )
        try:
            response = self._http.request(
                "GET",
                url,
                headers=self._headers(),
                preload_content=False,
                timeout=timeout,
            )
            _raise_for_status(response.status, "watch")
            for line in _iterate_lines(response):
                yield self._parse_event(kind, documents.parse(line))
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as e:
            raise _unavailable("watch", e) from e

    # Writing

    def create(self, kind: kinds.Kind[T], name: str, value: T) -> Stored[T]:
        """Creates an object.

        Raises:
            ObjectConflictError: An object of that name exists.
            ObjectUnavailableError: It may have been created.
        """
        raw = _envelope(kind, name, value, None)
        return self._parse(kind, self._call("POST", _path(kind), raw))

    def update(
        self, kind: kinds.Kind[T], stored: Stored[Any], value: T
    ) -> Stored[T]:
        """Replaces an object if it still has the version that was read.

        Raises:
            ObjectConflictError: It has changed since; nothing was written.
            ObjectUnavailableError: It may have been replaced.
        """
        raw = _envelope(kind, stored.name, value, stored.version)
        path = _path(kind, stored.name)
        return self._parse(kind, self._call("PUT", path, raw))

    def delete(self, kind: kinds.Kind[Any], name: str) -> None:
        """Deletes an object; it is no error if the object is missing."""
        try:
            self._call("DELETE", _path(kind, name))
        except errors.ObjectMissingError:
            return

    def change(
        self,
        kind: kinds.Kind[T],
        name: str,
        step: Callable[[T | None], T | refusals.Refusal],
    ) -> Stored[T] | refusals.Refusal:
        """Reads, computes and conditionally writes, repeated on conflicts.

        The step must return its argument unchanged if that already contains
        the step's own earlier write. A write whose response was lost is
        recognized in this way. A stale read only leads to a conflict and
        another read.

        Args:
            kind: The kind of object.
            name: The object's name.
            step: Computes the new content from the present one, which is None
                if there is no object.

        Returns:
            The stored object, or the step's refusal.

        Raises:
            ObjectUnavailableError: The object API did not answer, and the
                change may or may not have been made; or too many conflicts.
        """
        for _ in range(_MAX_TRIES):
            stored = self.find(kind, name)
            desired = step(stored.value if stored else None)
            if isinstance(desired, refusals.Refusal):
                return desired
            if stored is not None and desired == stored.value:
                return stored
            try:
                if stored is None:
                    return self.create(kind, name, desired)
                return self.update(kind, stored, desired)
            except errors.ObjectConflictError:
                self._metrics.count("object_conflicts", kind=kind.plural)
        raise errors.ObjectUnavailableError(
            f"{kind.plural}/{name} changed during all {_MAX_TRIES} tries",
            "try again; if it persists, look for writers in conflict",
        )

    # Calls

    def _call(self, method: str, path: str, body: Any = None) -> Any:
        self._metrics.count("object_calls", method=method)
        data = None if body is None else json.dumps(body).encode()
        try:
            response = self._http.request(
                method,
                self._options.url + path,
                body=data,
                headers=self._headers(),
            )
            _raise_for_status(response.status, f"{method} {path}")
            return documents.parse(response.data)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as e:
            self._metrics.count("object_failures", method=method)
            raise _unavailable(f"{method} {path}", e) from e

    def _headers(self) -> dict[str, str]:
        return {
            "Authorization": f"Bearer {self._options.token}",
            "Content-Type": "application/json",
        }

    def _parse(self, kind: kinds.Kind[T], raw: Any) -> Stored[T]:
        try:
            metadata = fields.read_object(raw["metadata"], "metadata")
            name = fields.read_text(metadata, "name")
            version = fields.read_text(metadata, "resourceVersion")
            spec = raw["spec"]
        except (KeyError, TypeError, fields.FieldError) as e:
            raise errors.ObjectError(
                f"a {kind.name} object lacks its metadata or spec",
                "restore the object or delete it",
            ) from e
        return Stored(name, version, kind.parse(spec))

    def _parse_event(self, kind: kinds.Kind[T], raw: Any) -> Event[T]:
        raw_object = raw["object"]
        if raw["type"] == "ERROR":
            _raise_for_status(raw_object.get("code", 500), "watch")
        version = raw_object["metadata"]["resourceVersion"]
        if raw["type"] == "BOOKMARK":
            return Event(version, None)
        try:
            stored = self._parse(kind, raw_object)
        except errors.ObjectError:
            self._metrics.count("objects_malformed", kind=kind.plural)
            return Event(version, None)
        return Event(version, stored, raw["type"] == "DELETED")


def _path(kind: kinds.Kind[Any], name: str = "") -> str:
    path = f"{_PREFIX}/{kind.plural}"
    return f"{path}/{name}" if name else path


def _envelope(
    kind: kinds.Kind[T], name: str, value: T, version: str | None
) -> Any:
    metadata = {"name": name}
    if version is not None:
        metadata["resourceVersion"] = version
    return {
        "apiVersion": "wayslip.io/v1",
        "kind": kind.name,
        "metadata": metadata,
        "spec": kind.dump(value),
    }


def _iterate_lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    remainder = b""
    for chunk in response.stream(None):
        *lines, remainder = (remainder + chunk).split(b"\n")
        yield from (line for line in lines if line)


def _raise_for_status(status: int, operation: str) -> None:
    if status < 400:
        return
    match status:
        case 404:
            raise errors.ObjectMissingError(
                f"{operation}: the object does not exist", "create it first"
            )
        case 409:
            raise errors.ObjectConflictError(
                f"{operation}: the object has changed", "read it again"
            )
        case 410:
            raise errors.WatchExpiredError(
                f"{operation}: the version is too old", "list again"
            )
        case 401 | 403:
            raise errors.ObjectError(
                f"{operation}: the object API refused the token",
                "check objects.token in the settings",
            )
        case 400 | 413 | 422:
            raise errors.ObjectError(
                f"{operation}: the object API rejected the object as invalid"
                f" ({status})",
                "see the object API's log",
            )
    raise errors.ObjectUnavailableError(
        f"{operation}: the object API answered {status}", "try again later"
    )


def _unavailable(
    operation: str, cause: Exception
) -> errors.ObjectUnavailableError:
    kind = type(cause).__name__
    return errors.ObjectUnavailableError(
        f"{operation}: the object API did not answer ({kind})",
        "check the platform's object API; requests are served without it",
    )
