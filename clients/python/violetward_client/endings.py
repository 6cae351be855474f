"""How a statement ends without rows."""


class Ending(Exception):
    """Any ending without rows."""


class Refused(Ending):
    """Refused: a further try is harmless, best after `retry_after` seconds."""

    def __init__(self, message, retry_after=0.0):
        super().__init__(message)
        self.retry_after = retry_after


class Failed(Ending):
    """Failed: it may have run."""


class Declined(Ending):
    """The statement itself is wrong."""

    def __init__(self, name, message):
        super().__init__(f"{name}: {message}")
        self.name = name


class Unknown(Ending):
    """The connection broke, and nobody can say whether it ran."""
