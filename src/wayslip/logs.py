"""Logging of events, one line of key=value pairs each.

Modules keep the customary `logging.getLogger(__name__)` and call `event` on
it, so an event's fields stay data until a line is printed. Fields whose names
look like secrets are masked here, in one place.
"""

import logging
import sys
from typing import Any
from typing import TextIO

_SECRET_WORDS = ("key", "token", "secret", "authorization", "password")
_MASK = "***"


def event(
    logger: logging.Logger, name: str, level: int = logging.INFO, **fields: Any
) -> None:
    """Logs one event with its fields."""
    if logger.isEnabledFor(level):
        logger.log(level, name, extra={"fields": fields})


def mask(name: str, value: Any) -> Any:
    """Returns the value, or a mask where the field's name is a secret's."""
    lowered = name.lower()
    if any(word in lowered.split("_") for word in _SECRET_WORDS):
        return _MASK
    return value


class KeyValueFormatter(logging.Formatter):
    """Formats a record as one line of key=value pairs."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line of a record, with any traceback on the same line."""
        pairs = [
            ("time", f"{record.created:.3f}"),
            ("level", record.levelname.lower()),
            ("logger", record.name),
            ("event", record.getMessage()),
        ]
        fields = getattr(record, "fields", {})
        pairs += [(name, mask(name, value)) for name, value in fields.items()]
        if record.exc_info:
            pairs.append(("traceback", self.formatException(record.exc_info)))
        return " ".join(f"{name}={_quote(value)}" for name, value in pairs)


def _quote(value: Any) -> str:
    text = str(value)
    if text and not any(c in text for c in ' "=\n'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n") + '"'


def configure_logging(level: str, stream: TextIO = sys.stderr) -> None:
    """Sends all of the process's logs to a stream as key=value lines."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(KeyValueFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # Libraries report each connection at INFO; that would drown our events.
    for noisy in ("urllib3", "websockets", "cheroot"):
        logging.getLogger(noisy).setLevel(logging.ERROR)
