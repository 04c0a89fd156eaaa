"""The errors of the command line, each with its exit code."""

DONE, FAILED, BAD_INPUT, REFUSED = 0, 1, 2, 3


class CommandError(Exception):
    """A command that did not succeed. `code` is the exit code; the text is one plain line."""

    code = FAILED


class BadInputError(CommandError):
    """An argument or a file that cannot be used; `field` names the place."""

    code = BAD_INPUT

    def __init__(self, field: str, text: str):
        super().__init__(f"{field}: {text}" if field else text)
        self.field = field


class RefusedError(CommandError):
    """The system gave a clear refusal, with this HTTP status."""

    code = REFUSED

    def __init__(self, status: int, text: str):
        super().__init__(f"refused with {status}: {text}" if text else f"refused with {status}")
        self.status = status


class UnclearError(CommandError):
    """No clear answer came in the time given; what was asked may have been done or not."""
