"""One attempt at a request: send it, and pass the endpoint's answer on."""

from collections.abc import Callable
import logging

from wayslip import addresses
from wayslip import clock
from wayslip import errors
from wayslip import logs
from wayslip import metrics as metrics_module
from wayslip.decisions import fleet
from wayslip.decisions import retry
from wayslip.decisions import selection
from wayslip.gateway import dialect as dialect_module
from wayslip.gateway import jobs
from wayslip.gateway import permit_broker as permit_broker_module
from wayslip.gateway import quarantine as quarantine_module
from wayslip.gateway import view as view_module
from wayslip.http1 import client
from wayslip.http1 import messages
from wayslip.http1 import pool as pool_module

_LOG = logging.getLogger(__name__)
# Connecting inside a region takes 2 ms; a dropped packet is sent again after
# a few hundred. Beyond this the endpoint is taken as dark, seconds.
CONNECT_SECONDS = 0.4
# An answer up to this size is read whole before it is passed on, so that one
# that breaks off can be asked for again, bytes.
_WHOLE_BYTES = 256 * 1024


class Attempts:
    """Makes attempts. Used on the event loop only."""

    def __init__(
        self,
        dialect: dialect_module.Dialect,
        view: view_module.EndpointView,
        endings: jobs.Endings,
        metrics: metrics_module.Metrics,
        quarantine: quarantine_module.Quarantine,
        report_leaving: Callable[[fleet.Endpoint], None],
        permit_broker: permit_broker_module.PermitBroker,
    ) -> None:
        """Initializes without any connection.

        Args:
            dialect: Reads answers and writes headers.
            view: Of the endpoints.
            endings: End requests.
            metrics: Where outcomes are counted.
            quarantine: Knows requests that end endpoints.
            report_leaving: Is given an endpoint that says it takes no new work.
            permit_broker: Is told the limits that answers name.
        """
        self._permit_broker = permit_broker
        self._report_leaving = report_leaving
        self._quarantine = quarantine
        self._dialect = dialect
        self._view = view
        self._endings = endings
        self._metrics = metrics
        self.pool = pool_module.Pool(CONNECT_SECONDS)

    async def make(
        self, job: jobs.Job, choice: selection.Choice
    ) -> retry.Failure | None:
        """Sends a request to one endpoint; returns None once answered."""
        job.endpoint = choice.name
        tracked = self._view.tracked[choice.name]
        use = self._view.begin(choice.name, job.traits, job.rank)
        depth = self._find_depth(job)
        connection = self.pool.take(choice.name)
        is_reused = connection is not None
        try:
            if connection is None:
                address = addresses.split_address(tracked.endpoint.address)
                connection = await self.pool.open(address)
            return await self._exchange(job, use, connection, is_reused)
        except errors.NotSentError:
            self._view.note_miss(use)
            return retry.Failure.NOT_SENT
        except errors.EndpointError as e:
            self._view.note_miss(use)
            logs.event(
                _LOG,
                "attempt_unclear",
                request=job.traits.request_id,
                endpoint=choice.name,
                content=job.content.hex(),
                reused=is_reused,
                reason=e.reason,
            )
            job.breaks += 1
            self._quarantine.note_broken_attempt(
                tracked.endpoint, job.content, depth, self.pool.open
            )
            return retry.Failure.UNCLEAR
        finally:
            self._view.end(use)
            if connection is not None and not connection.is_pooled:
                connection.close()

    def _find_depth(self, job: jobs.Job) -> int:
        """Returns how deep a request is in suspicion as it is sent."""
        if not self._quarantine:
            return job.breaks
        return max(self._quarantine.find_depth(job.content), job.breaks)

    async def _exchange(
        self,
        job: jobs.Job,
        use: view_module.Use,
        connection: client.Connection,
        is_reused: bool,
    ) -> retry.Failure | None:
        traits = job.traits
        endpoint = use.tracked.endpoint.name
        order = dialect_module.Order(
            endpoint=endpoint,
            seconds_left=job.deadline - clock.now(),
            priority=job.rank,
            last_event_id=job.splitter.last_id,
            organisation=job.caller.name if job.caller else "",
        )
        if job.sent_after is None:
            job.sent_after = clock.now() - job.began
        job.is_sent = True
        sent_at = clock.now()
        connection.send(
            self._dialect.format_request(job.exchange.request, order),
            self._dialect.match_answer(traits.request_id, is_reused),
        )
        head = await connection.read_head()
        self._view.hear(use)
        answer = self._dialect.read_answer(head)
        if answer.is_leaving:
            self._report_leaving(use.tracked.endpoint)
        if answer.limit is not None or answer.is_genuine:
            # What is not the endpoint's own tells of no end.
            self._permit_broker.note_answer(
                use.tracked.endpoint, answer.limit, sent_at
            )
        if answer.is_refusal:
            await self._read_rest(connection)
            logs.event(
                _LOG,
                "endpoint_refused",
                request=traits.request_id,
                endpoint=endpoint,
                status=head.status,
                load=answer.load,
                rest="" if answer.rest is None else f"{answer.rest:.2f}",
            )
            self._note_refusal(job, use, answer)
            self._keep(endpoint, connection, head)
            return retry.Failure.REFUSED
        if not answer.is_genuine:
            raise errors.EndpointUnclearError(
                f"{endpoint} sent an answer that is not its own",
                "see the endpoint's log",
            )
        if answer.is_stream and head.status < 300:
            failure = await self._relay(job, use, connection, head)
        else:
            failure = await self._pass_on(job, use, connection, head)
        if failure is None:
            self._keep(endpoint, connection, head)
        self._quarantine.note_answer(job.content)
        return failure

    def _note_refusal(
        self, job: jobs.Job, use: view_module.Use, answer: dialect_module.Answer
    ) -> None:
        traits = job.traits
        if answer.rest is not None:
            self._view.note_backoff(use, answer.rest)
        if answer.is_misdirected and traits.model:
            self._view.tell(
                use.tracked.endpoint.name, traits.model, traits.adapter, False
            )
        elif answer.is_misdirected:
            self._view.note_miss(use)

    def _keep(
        self, endpoint: str, connection: client.Connection, head: messages.Head
    ) -> None:
        connection.is_pooled = True
        self.pool.give_back(endpoint, connection, head.header(b"keep-alive"))

    async def _read_rest(self, connection: client.Connection) -> bytes:
        parts = []
        while part := await connection.read():
            parts.append(part)
        return b"".join(parts)

    # Answers

    async def _pass_on(
        self,
        job: jobs.Job,
        use: view_module.Use,
        connection: client.Connection,
        head: messages.Head,
    ) -> retry.Failure | None:
        """Passes an answer on, whole where it is small."""
        headers = messages.find_end_to_end(head.headers)
        parts: list[bytes] = []
        size = 0
        while part := await connection.read():
            parts.append(part)
            size += len(part)
            if size > _WHOLE_BYTES:
                await self._pass_on_large(job, connection, head, parts)
                self._view.note_answer(use, False)
                return None
        body = b"".join(parts)
        is_failure = head.status >= 500
        self._view.note_answer(use, is_failure)
        if is_failure and job.route.may_repeat:
            job.fallback = (head, body)
            return retry.Failure.UNCLEAR
        job.relayed = True
        self._endings.end_job(job, "answered", head.status)
        job.exchange.answer(head.status, headers, body)
        return None

    async def _pass_on_large(
        self,
        job: jobs.Job,
        connection: client.Connection,
        head: messages.Head,
        parts: list[bytes],
    ) -> None:
        job.relayed = True
        headers = messages.find_end_to_end(head.headers)
        job.exchange.start(head.status, headers, head.length)
        await job.exchange.send(b"".join(parts))
        while part := await connection.read():
            await job.exchange.send(part)
        self._endings.end_job(job, "answered", head.status)
        job.exchange.finish()

    async def _relay(
        self,
        job: jobs.Job,
        use: view_module.Use,
        connection: client.Connection,
        head: messages.Head,
    ) -> retry.Failure | None:
        """Passes a stream on, event by event.

        The head is held back until the first event, so that a stream that
        breaks off before can still be answered or sent elsewhere.
        """
        job.splitter.drop_rest()
        while part := await connection.read():
            self._view.hear(use)
            whole = job.splitter.feed(part)
            if not whole:
                continue
            self._start_stream(job, head)
            await job.exchange.send(whole)
        self._view.note_answer(use, False)
        self._start_stream(job, head)
        await job.exchange.send(job.splitter.rest)
        self._endings.end_job(job, "answered", head.status)
        job.exchange.finish()
        return None

    def _start_stream(self, job: jobs.Job, head: messages.Head) -> None:
        if job.relayed:
            return
        job.relayed = True
        job.first_after = clock.now() - job.began
        self._metrics.latency("first_event").observe(job.first_after)
        headers = messages.find_end_to_end(head.headers)
        job.exchange.start(head.status, headers, None)
