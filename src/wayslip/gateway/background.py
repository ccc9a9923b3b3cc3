"""Background tasks whose failures are logged."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import logging
from typing import Any

_LOG = logging.getLogger(__name__)


class BackgroundTasks:
    """Tasks that are not awaited. Used on the event loop only."""

    def __init__(
        self, failure: str, on_end: Callable[[], None] = lambda: None
    ) -> None:
        """Initializes without any task.

        Args:
            failure: Name of the event that is logged when a task fails.
            on_end: Called when a task has ended, failed or was cancelled.
        """
        self._failure = failure
        self._on_end = on_end
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Starts a coroutine; returns its task."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._end)
        return task

    def _end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._on_end()
        if not task.cancelled() and task.exception() is not None:
            _LOG.error(self._failure, exc_info=task.exception())

    def cancel(self) -> None:
        """Cancels all running tasks."""
        for task in list(self._tasks):
            task.cancel()
