"""Text that encoders reject.

An escape in JSON can name half of a surrogate pair. Python reads it as a
character, but neither UTF-8 nor anything that is built on it has a form for it.
"""


def is_encodable(text: str) -> bool:
    """Whether a text can be encoded as UTF-8."""
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def escape(text: str, encoding: str = "utf-8") -> str:
    r"""Returns a text with escapes (\ud83d) for what can not be encoded."""
    if text.isascii():
        return text
    return text.encode(encoding, "backslashreplace").decode(encoding)
