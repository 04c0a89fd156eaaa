"""Parsing of times, versions and JSON in configurations. Each error names the field."""

import re
from typing import Any

import msgspec

from crowseam.configuration.errors import ConfigurationError

MILLISECONDS = 1000.0  # per second

_TIME = re.compile(r"(\d+(?:\.\d+)?)(ms|s)", re.ASCII)
_VERSION = re.compile(r"[0-9a-fA-F]{8}", re.ASCII)
_ERROR_PATH = re.compile(r"^(.*) - at `\$(.*)`$", re.DOTALL)  # how msgspec reports the path of an error


def seconds(text: str, field: str = "") -> float:
    """Parse a time such as `1500ms` or `2.5s`, and return its seconds.

    Raises ConfigurationError (400), naming `field`, for any other text.
    """
    match = _TIME.fullmatch(text)
    if match is None:
        raise ConfigurationError(400, field, f"{text!r} is not a time, such as 1500ms or 2.5s")
    value = float(match[1])
    return value / MILLISECONDS if match[2] == "ms" else value


def version(text: str, field: str = "ver") -> int:
    """Return the number of a version written as eight hexadecimal digits. Raises ConfigurationError (400)."""
    if _VERSION.fullmatch(text) is None:
        raise ConfigurationError(400, field, f"{text!r} is not a version of eight hexadecimal digits")
    return int(text, 16)


def version_text(number: int) -> str:
    """Return a version's eight hexadecimal digits."""
    return f"{number:08x}"


def decode(decoder: msgspec.json.Decoder, data: bytes | msgspec.Raw, field: str) -> Any:
    """Decode JSON. Raises ConfigurationError (400), naming the path below `field`."""
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        text = str(error) or type(error).__name__
        match = _ERROR_PATH.match(text)
        if match is not None:
            text, field = match[1], (field + match[2]).lstrip(".")
        raise ConfigurationError(400, field, text) from None
