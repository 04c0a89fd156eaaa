"""The errors of this layer."""


class ConfigurationError(Exception):
    """A configuration or a change that is not taken.

    status: the HTTP status that says so: 400 for an invalid one, 412 where another version is current.
    field: the place of the fault, as `objs[3].spec.timeout` or `routes.NAME.svc`; empty for the whole body.
    text: the reason, in one line.
    """

    def __init__(self, status: int, field: str, text: str):
        super().__init__(f"{field}: {text}" if field else text)
        self.status = status
        self.field = field
        self.text = text
