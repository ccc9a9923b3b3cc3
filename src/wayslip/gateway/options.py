"""What a gateway is told by its instance, and its own constants.

Times are seconds. An instance's facts come from the platform's settings file,
decoded by the adapter.
"""

import dataclasses

# For finding a watch silent, connecting anew and reading the list, seconds.
_WATCH_MARGIN = 1.0


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
        contact: An instance that was cut off counts again after this.
        config_apply: A configuration is in force after this.
        load_over: Factor by which loads may exceed the store's rate.
    """

    grace: float = 8.0
    lease: float = 3.0
    budget_ratio: float = 0.2
    budget_window: float = 10.0
    budget_slack: float = 50.0
    load_window: float = 5.0
    load_over: float = 1.0
    contact: float = 3.0
    config_apply: float = 2.0

    @property
    def watch(self) -> float:
        """How long a watch may wait.

        One that a cut has silenced is found out after it, and what it missed
        must be in force when the instance counts again.
        """
        return max(self.contact + self.config_apply - _WATCH_MARGIN, 1.0)


@dataclasses.dataclass(frozen=True)
class Options:
    """An instance's facts.

    Attributes:
        callers: Address for callers, "IP:PORT"; so are the next three.
        readiness: Where the balancer asks whether we are ready.
        store: The platform's store.
        peers: Where this instance hears its peers (UDP).
        metrics_port: Port for operators; 0 for none.
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
