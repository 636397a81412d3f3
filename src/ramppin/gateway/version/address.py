"""Parsing of the addresses in entries: an IP address and a port.

Host names are rejected, because resolving one would block all requests.
"""

from __future__ import annotations

from ipaddress import ip_address

MAX_PORT = 65_535
"""Highest port of TCP and UDP."""


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and the port of ``IP:PORT``, or ``[IP]:PORT``.

    Raises:
        ValueError: the text has another form; the message names the fault.
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdecimal() and 0 < int(port[:9]) <= MAX_PORT):
        raise ValueError(f"{port[:20]!r} is not a port from 1 to {MAX_PORT}")
    return check_host(host.removeprefix("[").removesuffix("]")), int(port)


def check_host(text: str) -> str:
    """Validate an IP address and return it unchanged.

    Raises:
        ValueError: the text is not an IP address.
    """
    ip_address(text)
    return text
