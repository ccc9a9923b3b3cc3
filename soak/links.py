"""Links between a gateway and its endpoints, which a test can cut.

Every connection of the gateway to an endpoint passes through a proxy of its
own, so that other gateways reach the same endpoint all the while.
"""

import asyncio
import enum

from soak import proxy
from wayslip import errors
from wayslip.http1 import client


class State(enum.Enum):
    """What a cut does to connections.

    Attributes:
        WHOLE: Nothing.
        RESET: Open connections are reset, new ones are refused.
        KEPT: Open connections live on, new ones are refused.
        SILENT: Open connections carry nothing, new ones get no answer.
        SEVERED: Open connections carry nothing, new ones are refused.
    """

    WHOLE = "whole"
    RESET = "reset"
    KEPT = "kept"
    SILENT = "silent"
    SEVERED = "severed"


_FAULTS = {
    State.RESET: proxy.LinkFault.RESET,
    State.SILENT: proxy.LinkFault.STALL,
    State.SEVERED: proxy.LinkFault.STALL,
}


# Cuts under which new connections are refused.
_REFUSING = (State.RESET, State.KEPT, State.SEVERED)


class Links:
    """The links of one gateway.

    Attributes:
        state: What happens to all of them.
        opened: Addresses to which connections were opened.
    """

    def __init__(self) -> None:
        self.state = State.WHOLE
        self.opened: list[tuple[str, int]] = []
        self._lock = asyncio.Lock()
        self._proxies: dict[tuple[str, int], proxy.Proxy] = {}
        self._addresses: dict[tuple[str, int], tuple[str, int]] = {}

    def cut(self, state: State) -> None:
        """Cuts all links, or heals them with `State.WHOLE`."""
        self.state = state
        for link in self._proxies.values():
            link.set_fault(_FAULTS.get(state, proxy.LinkFault.NONE))

    async def connect(
        self, address: tuple[str, int], timeout: float
    ) -> client.Connection:
        """Stands in for `client.connect`.

        Raises:
            NobodyListensError: The link refuses new connections.
            NotSentError: The link is silent.
        """
        if self.state in _REFUSING:
            raise errors.NobodyListensError("refused by a cut link", "heal it")
        if self.state is State.SILENT:
            await asyncio.sleep(timeout)
            raise errors.NotSentError("a cut link is silent", "heal it")
        self.opened.append(address)
        return await client.connect(await self._find_proxy(address), timeout)

    async def connect_tunnel(
        self, protocol: asyncio.Protocol, address: tuple[str, int]
    ) -> None:
        """Stands in for the connector of `tunnels.Server`.

        Raises:
            ConnectionRefusedError: The link refuses new connections.
        """
        if self.state in _REFUSING:
            raise ConnectionRefusedError("refused by a cut link")
        if self.state is State.SILENT:
            # The caller's time limit ends this.
            await asyncio.Event().wait()
        loop = asyncio.get_running_loop()
        await loop.create_connection(
            lambda: protocol, *await self._find_proxy(address)
        )

    async def _find_proxy(self, address: tuple[str, int]) -> tuple[str, int]:
        async with self._lock:
            if address not in self._addresses:
                host, port = address
                link = proxy.Proxy(f"{host}:{port}")
                listening = await link.start()
                host, _, text = listening.rpartition(":")
                self._proxies[address] = link
                self._addresses[address] = (host, int(text))
        return self._addresses[address]

    def close(self) -> None:
        """Closes all proxies."""
        for link in self._proxies.values():
            link.close()
