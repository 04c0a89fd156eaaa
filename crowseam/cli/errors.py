"""Exit codes of the command line, and the errors that lead to them."""

DONE, FAILED, BAD_INPUT, REFUSED = 0, 1, 2, 3


class CommandError(Exception):
    """A command failed. `code` is the exit code; the message is a single line."""

    code = FAILED


class BadInputError(CommandError):
    """An argument or a file is invalid; `field` names the option or the field."""

    code = BAD_INPUT

    def __init__(self, field: str, text: str):
        super().__init__(f"{field}: {text}" if field else text)
        self.field = field


class RefusedError(CommandError):
    """The system definitely refused the request with this HTTP status."""

    code = REFUSED

    def __init__(self, status: int, text: str):
        super().__init__(f"refused with {status}: {text}" if text else f"refused with {status}")
        self.status = status


class UnclearError(CommandError):
    """No definite answer arrived in time, so the request may or may not have taken effect."""
