"""Options of an instance, and the bounds that its decisions respect.

Times are in seconds. The options come from the platform's settings file, which
the platform's adapter decodes.
"""

import dataclasses

from wayslip.decisions import quota

# Shares of the time within which a configuration must be in force: how long the
# watch of the lease holder waits, and how old its progress may become. The rest
# is left for an instance to read the store itself.
_WATCH_SHARE = 0.3
_STALENESS_SHARE = 0.65
# Share of that time for which an instance that lacks a change asks others for
# it. Of 3 s this leaves 2.2 s to read the store; 1 MB takes 1.7 s of a link of
# 5 Mbit/s.
_COPIES_SHARE = 0.25


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Guarantees to the platform's operators that decisions must respect.

    Attributes:
        grace: Time between SIGTERM and SIGKILL.
        lease: Least time between orders of two lease holders to one engine.
        budget_ratio: Retries allowed for each request to a service.
        budget_window: Window over which retries are counted.
        budget_slack: Retries allowed on top, over all instances.
        load_window: Window over which loads from the weight store count.
        config_apply: A configuration is in force after this.
        load_over: Factor by which loads may exceed the store's rate.
        revocation: A removed key stops working after this at every instance,
            whether or not it reaches the store; None if only instances that
            reach it guarantee this, after `config_apply`.
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
        """How long a watch may wait; one that a cut link silences ends then."""
        return self.config_apply * _WATCH_SHARE

    @property
    def max_staleness(self) -> float:
        """How old the store's state from the lease holder may become."""
        return self.config_apply * _STALENESS_SHARE

    @property
    def copies(self) -> float:
        """How long other instances are asked before the store is read."""
        return self.config_apply * _COPIES_SHARE


@dataclasses.dataclass(frozen=True)
class Options:
    """Options of one instance.

    Attributes:
        callers: Address for callers, "IP:PORT"; so are the next three.
        readiness: Address at which the balancer asks for readiness.
        store: Address of the platform's store.
        peers: Address for datagrams from other instances (UDP).
        metrics_port: Port for operators; 0 for none.
        cores: Processor time available to the instance, in cores of usual
            speed.
        bytes_per_s: Bandwidth of the instance's link.
        descriptors: Descriptors that its process may have open, 0 if unknown.
        memory_mb: Memory that its process may use, 10^6 bytes; 0 if unknown.
        urgency: How priorities are combined; see `decisions.urgency`.
        max_wait: How long requests wait for models; see
            `decisions.wait_policies`.
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
    descriptors: int = 0
    memory_mb: float = 0.0
    urgency: str = "both"
    max_wait: str = "target"
