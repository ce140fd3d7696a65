"""Socket addresses in the one form in which they are stored and compared."""

from __future__ import annotations

import functools
import ipaddress

from yarl import URL

from .ids import Address

# More than an IPv6 address in brackets with its port has.
_MAX_CHARACTERS = 64


@functools.lru_cache(maxsize=4096)
def parse_address(text: str) -> Address:
    """Return a text as an address that every part of the process can read.

    An IPv6 address stands in brackets. Other spellings of an address are refused,
    since addresses are compared as text.

    Raises
    ------
    ValueError
        When the text is no IP address with a port from 1 to 65535, or is not in its
        canonical form.
    """
    problem = f"{text[:_MAX_CHARACTERS]!r} must be IP:PORT, for example 10.0.0.5:7000"
    if len(text) > _MAX_CHARACTERS:
        raise ValueError(problem)
    try:
        # The HTTP client reads addresses with the same parser.
        url = URL.build(scheme="http", authority=text)
        host = ipaddress.ip_address(url.host or "")
    except ValueError as error:
        raise ValueError(problem) from error
    if getattr(host, "scope_id", None) or not url.port:
        raise ValueError(problem)
    canonical = f"[{host}]:{url.port}" if host.version == 6 else f"{host}:{url.port}"
    if text != canonical:
        raise ValueError(f"{text!r} must be IP:PORT, written as {canonical}")
    return Address(text)


def split_address(address: str) -> tuple[str, int]:
    """Return the host of an address, without brackets, and its port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
