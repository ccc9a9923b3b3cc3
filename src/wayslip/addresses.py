"""Parsing of addresses of the form "IP:PORT"."""


def split_address(address: str) -> tuple[str, int]:
    """Returns the IP address and the port of "IP:PORT"."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
