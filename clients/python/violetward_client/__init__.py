"""Statements through violetward's gateways.

A statement gives rows, or ends as Refused (a further try is harmless, and when), Failed (it may have run), Declined (the
statement itself is wrong) or, what only a library can know, Unknown (the connection broke and nobody can say).

By default the gateway alone makes attempts. What this library may send again is the table resend.json, the same as that of
the library for Rust.
"""

from .endings import Declined, Ending, Failed, Refused, Unknown
from .resend import KEYED, ONCE, REPEATABLE, Budget, Case, Table
from .choice import Choice
from .statement import Client, Query, Rows

__all__ = [
    "Budget", "Case", "Choice", "Client", "Declined", "Ending", "Failed", "KEYED", "ONCE", "Query", "REPEATABLE", "Refused",
    "Rows", "Table", "Unknown", "KernelClient",
]


def __getattr__(name):
    # The kernel protocol needs jupyter_client, which not everyone has.
    if name == "KernelClient":
        from .kernel import KernelClient

        return KernelClient
    raise AttributeError(name)
