"""Statements through violetward's gateways.

A statement gives rows, or ends as Refused (a further try is harmless, and when), Failed (it may have run), Declined (the
statement itself is wrong) or, what only a library can know, Unknown (the connection broke and nobody can say).

By default the gateway alone makes attempts. What this library may send again is the table resend.json, the same as that of
the library for Rust.
"""

from .endings import Declined, Ending, Failed, Refused, Unknown
from .resend import KEYED, ONCE, REPEATABLE, Budget, Case, Pace, Table
from .choice import Choice
from .statement import LATE, STOPPED, Batch, Client, Query, Rows, Running

__all__ = [
    "Batch", "Budget", "Case", "Choice", "Client", "Declined", "Ending", "Failed", "KEYED", "LATE", "ONCE", "Pace", "Query",
    "REPEATABLE", "Refused", "Rows", "Running", "STOPPED", "Table", "Unknown", "KernelClient", "Kernels",
]


def __getattr__(name):
    # The kernel protocol needs jupyter_client, which not everyone has.
    if name in ("KernelClient", "Kernels"):
        from . import kernel

        return getattr(kernel, name)
    raise AttributeError(name)
