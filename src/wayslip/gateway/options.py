"""What a gateway is told by its instance, and its own constants.

Times are seconds. An instance's facts come from the platform's settings file,
decoded by the adapter.
"""

import dataclasses

from wayslip.decisions import quota

# Shares of the time in which a configuration must be in force: how long the
# lease holder's watch waits, and how old its word may get. What is left is
# for an instance to read for itself.
_WATCH_SHARE = 0.3
_STALENESS_SHARE = 0.65
# Share for which an instance that lacks a change asks others for it. Of 3 s
# that leaves 2.2 s to read the store; 1 MB takes 1.7 s of a link of 5 Mbit/s.
_COPIES_SHARE = 0.25


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Promises to the platform's operators that decisions must respect.

    Attributes:
        grace: Time between SIGTERM and SIGKILL.
        lease: Two holders' orders to one engine keep this far apart.
        budget_ratio: Repeats allowed for each request to a service.
        budget_window: Window over which repeats are counted.
        budget_slack: Repeats allowed on top, over all instances.
        load_window: Window over which loads from the weight store count.
        config_apply: A configuration is in force after this.
        load_over: Factor by which loads may exceed the store's rate.
        revocation: A key that was taken away stops after this at every
            instance, in touch with the store or not; None if only at those in
            touch, after `config_apply`.
        allowance: What organisations may send beyond their quotas.
    """

    grace: float = 8.0
    lease: float = 3.0
    budget_ratio: float = 0.2
    budget_window: float = 10.0
    budget_slack: float = 50.0
    load_window: float = 5.0
    load_over: float = 1.0
    config_apply: float = 2.0
    revocation: float | None = None
    allowance: quota.Allowance = quota.Allowance()

    @property
    def watch(self) -> float:
        """How long a watch may wait; one that a cut silenced ends then."""
        return self.config_apply * _WATCH_SHARE

    @property
    def max_staleness(self) -> float:
        """How old the lease holder's word of the store may get."""
        return self.config_apply * _STALENESS_SHARE

    @property
    def copies(self) -> float:
        """How long other instances are asked before the store is read."""
        return self.config_apply * _COPIES_SHARE


@dataclasses.dataclass(frozen=True)
class Options:
    """An instance's facts.

    Attributes:
        callers: Address for callers, "IP:PORT"; so are the next three.
        readiness: Where the balancer asks whether we are ready.
        store: The platform's store.
        peers: Where this instance hears its peers (UDP).
        metrics_port: Port for operators; 0 for none.
        cores: Processor time that the instance has, cores of usual speed.
        bytes_per_s: Of the instance's link.
        urgency: How priorities are put together; see `decisions.urgency`.
        max_wait: How long requests wait for models; see `decisions.waiting`.
    """

    name: str
    ip: str
    data_hall: str
    callers: str
    readiness: str
    store: str
    peers: str
    metrics_port: int
    bounds: Bounds = Bounds()
    cores: float = 1.0
    bytes_per_s: float = 125e6
    urgency: str = "both"
    max_wait: str = "target"
