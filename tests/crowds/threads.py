"""Runs a crowd beside a test that blocks."""

import asyncio
import concurrent.futures
import threading

# Parts of a crowd may be held up for as long as the server holds them.
_SENT_SECONDS = 20.0


class RunningCrowd:
    """A crowd on an event loop of its own; a `with` block has it leave."""

    def __init__(self, crowd):
        self._crowd = crowd
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self._sent = asyncio.run_coroutine_threadsafe(crowd.send(), self._loop)

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        self._sent.cancel()
        self._loop.call_soon_threadsafe(self._crowd.leave)
        # Lets the transports close before the loop ends.
        pause = asyncio.run_coroutine_threadsafe(asyncio.sleep(0.2), self._loop)
        pause.result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def wait_until_sent(self):
        """Waits until each client has sent all, is refused or held up."""
        concurrent.futures.wait([self._sent], _SENT_SECONDS)


def run_crowd(crowd):
    return RunningCrowd(crowd)
