"""The error of this package."""


class ConfigurationError(Exception):
    """A configuration or a change that is rejected.

    status: the HTTP status of the answer: 400 if it is invalid, 412 if another version is current.
    field: path of the invalid field, as `objs[3].spec.timeout` or `routes.NAME.svc`; empty for the whole body.
    text: the reason, in one line.
    """

    def __init__(self, status: int, field: str, text: str):
        super().__init__(f"{field}: {text}" if field else text)
        self.status = status
        self.field = field
        self.text = text
