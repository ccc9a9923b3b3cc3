"""Refuses requests over their organisation's share before they queue."""

import logging

from wayslip import logs
from wayslip.decisions import fair_share
from wayslip.decisions import selection
from wayslip.gateway.serving import jobs
from wayslip.gateway.sharing import fair_shares as fair_shares_module

_LOG = logging.getLogger(__name__)


class ShareGate:
    """Counts requests in their shares. Used on the event loop only."""

    def __init__(
        self,
        fair_shares: fair_shares_module.FairShares,
        responder: jobs.Responder,
    ) -> None:
        self._fair_shares = fair_shares
        self._responder = responder

    def may_queue(self, job: jobs.Job, choice: selection.Choice) -> bool:
        """Refuses a request over its share that would wait in a long queue.

        Only the first attempt is judged and counted, and only once: a request
        that was sent or held before keeps its turn.
        """
        if job.caller is None or job.progress.attempts or job.tried:
            return True
        if job.share_units:
            return True
        service, caller = job.service.name, job.caller.name
        traits = job.traits
        units = fair_share.measure(traits.prompt_tokens, traits.output_tokens)
        # Only here, because a request that no endpoint can serve asks for no
        # room in a queue.
        self._fair_shares.note_asked(service, caller, units)
        if self._fair_shares.is_judged(service, job.route.priority, choice):
            verdict = self._fair_shares.judge(service, caller, job.rank)
            if not verdict.is_admitted:
                self._refuse(job, verdict)
                return False
        job.share_units = units
        self._fair_shares.note_used(service, caller, units)
        return True

    def refund(self, job: jobs.Job) -> None:
        """Takes back the units of a request that was not run."""
        if job.caller is None:
            return
        self._fair_shares.refund(
            job.service.name, job.caller.name, job.share_units
        )

    def _refuse(
        self, job: jobs.Job, verdict: fair_shares_module.Verdict
    ) -> None:
        assert verdict.share is not None
        logs.event(
            _LOG,
            "over_share",
            request=job.traits.request_id,
            service=job.service.name,
            organisation=job.caller.name if job.caller else "",
            share=round(verdict.share.rate),
            demand=round(verdict.share.demand),
            age=f"{verdict.age:.2f}",
            wait=f"{verdict.wait:.2f}",
        )
        self._responder.refuse_job(job, "over_share", verdict.wait)
