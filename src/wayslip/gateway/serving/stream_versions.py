"""Keeps streams at the software version of the endpoint that began them.

A stream that may be taken up is recorded before its first event, and one that
is taken up goes to endpoints of its version only. If no instance remembers that
version, it is known only where the service never had another one. Otherwise the
stream is refused: another version, or a new beginning, would spoil what the
client has.
"""

import asyncio
from collections.abc import Callable
import dataclasses

from wayslip import clock
from wayslip import errors
from wayslip.decisions import fleet
from wayslip.decisions import manifest
from wayslip.decisions import stream_origins
from wayslip.gateway.serving import jobs
from wayslip.gateway.sharing import stream_registry
from wayslip.gateway.sharing import version_records as version_records_module
from wayslip.gateway.sharing import view as view_module

# Time until an instance that was silent, or the store, may tell who began a
# stream.
_UNKNOWN_RETRY_SECONDS = 0.5
# Time until a route may lead again to the service that began a stream.
_NO_SERVICE_RETRY_SECONDS = 1.0
# Interval of looks whether the list of endpoints is current.
_LIST_PERIOD_SECONDS = 0.25


class StreamVersions:
    """Versions of this instance's streams. Used on the event loop only."""

    def __init__(
        self,
        view: view_module.EndpointView,
        registry: stream_registry.StreamRegistry,
        version_records: version_records_module.VersionRecords,
        is_list_current: Callable[[], bool],
        find_service: Callable[[manifest.Route, str], manifest.Service | None],
        responder: jobs.Responder,
    ) -> None:
        """Initializes without streams.

        Args:
            view: What this instance knows of the endpoints.
            registry: Tells and asks other instances.
            version_records: Knows the versions that services ever had.
            is_list_current: Returns whether the list of endpoints is known to
                be current.
            find_service: Returns a service by name if a route may lead to it.
            responder: Answers requests that are refused.
        """
        self._view = view
        self._registry = registry
        self._version_records = version_records
        self._is_list_current = is_list_current
        self._find_service = find_service
        self._responder = responder

    async def run(self) -> None:
        """Observes whether the list is current, until cancelled."""
        while True:
            self._note_list()
            await asyncio.sleep(_LIST_PERIOD_SECONDS)

    def _note_list(self) -> None:
        self._view.versions.note_list(self._is_list_current(), clock.now())

    async def bind(self, job: jobs.Job) -> bool:
        """Binds a stream that a client takes up to the version that began it.

        Returns:
            Whether it may be served; if not, it has been refused.
        """
        traits = job.traits
        is_taken_up = traits.resumes or traits.last_event_id
        if not is_taken_up or not _may_be_taken_up(job):
            return True
        finding = await self._find_origin(job)
        origin = finding.origin
        if origin is None:
            wait = _UNKNOWN_RETRY_SECONDS
            if finding.is_settled:
                # Nobody will know it later; a retry would be in vain.
                wait = job.deadline - clock.now()
            self._responder.refuse_job(job, "origin_unknown", wait)
            return False
        service = self._find_service(job.route, origin.service)
        if service is None:
            self._responder.refuse_job(
                job, "no_version", _NO_SERVICE_RETRY_SECONDS
            )
            return False
        job.service = service
        _bind_to(job, origin.version)
        return True

    async def _find_origin(self, job: jobs.Job) -> stream_registry.Finding:
        is_settled = True
        if job.traits.resumes:
            finding = await self._registry.find(job.traits.resumes)
            if finding.origin is not None:
                return finding
            is_settled = finding.is_settled
        if len(job.route.splits) > 1:
            return stream_registry.Finding(None, is_settled)
        service = job.service.name
        self._note_list()
        only = await self._version_records.find_only(service)
        if only is not None:
            origin = stream_origins.Origin(service, only)
            return stream_registry.Finding(origin, True)
        is_settled = is_settled and self._view.versions.is_current
        return stream_registry.Finding(None, is_settled)

    def note_sent(self, job: jobs.Job, endpoint: fleet.Endpoint) -> None:
        """Records to which version a stream is about to be sent."""
        if _may_be_taken_up(job):
            self._registry.note_sent(
                _find_id(job), job.service.name, endpoint.version
            )

    async def begin(self, job: jobs.Job, endpoint: fleet.Endpoint) -> None:
        """Binds a stream to the version whose first event is to be forwarded.

        Raises:
            StreamNotKeptError: Another instance may name another version.
        """
        is_kept = not _may_be_taken_up(job) or await self._registry.confirm(
            _find_id(job)
        )
        if not is_kept:
            raise errors.StreamNotKeptError(
                "instances that keep its version did not acknowledge it",
                "the client may send it again",
            )
        _bind_to(job, endpoint.version)

    def note_ended(self, job: jobs.Job) -> None:
        """Records that this instance has answered a request."""
        if _may_be_taken_up(job):
            self._registry.note_ended(_find_id(job))


def _may_be_taken_up(job: jobs.Job) -> bool:
    """Whether clients may take up an answer that broke off."""
    is_stream = job.route.kind is manifest.RequestKind.STREAM
    return is_stream and job.route.may_repeat


def _find_id(job: jobs.Job) -> str:
    """Returns the id of the request that began a job's stream."""
    return job.traits.resumes or job.traits.request_id


def _bind_to(job: jobs.Job, version: str) -> None:
    job.traits = dataclasses.replace(job.traits, version=version)
