"""What may be sent again, when and how many times: a table, a deadline and a budget. No I/O, no clock; times are seconds."""

import bisect
import json
import os
from dataclasses import dataclass
from typing import Optional

REPEATABLE, KEYED, ONCE = "repeatable", "keyed", "once"

SEND, POLL, END, UNKNOWN = "send", "poll", "end", "unknown"


@dataclass
class Case:
    """What is known of a statement when a try of it stops."""

    effect: str = ONCE
    marked: bool = False
    window: Optional[float] = None
    first_sent: float = 0.0
    sends: int = 0
    broken_polls: int = 0
    due: float = 0.0
    advice: float = 0.0
    delivered: bool = False  # rows have been handed to the caller: a further try would give some of them twice
    cancelled: bool = False
    anywhere: bool = False  # the service said that any of its gateways gives the statement's pages
    may_resend: bool = False


class Budget:
    """Further sends of a whole process: within any window a few, and a share of the statements begun in it."""

    def __init__(self, free=5.0, share=0.1, window=5.0):
        self.free, self.share, self.window = free, share, window
        self._begun, self._made = [], []

    def begin(self, now):
        self._tidy(now)
        self._begun.append(now)

    def take(self, now):
        self._tidy(now)
        left = self.free + self.share * len(self._begun) - len(self._made)
        if left >= 1.0:
            self._made.append(now)
        return left >= 1.0

    def _tidy(self, now):
        del self._begun[: bisect.bisect_right(self._begun, now - self.window)]
        del self._made[: bisect.bisect_left(self._made, now - self.window)]


class Table:
    """The table that both libraries share."""

    def __init__(self):
        with open(os.path.join(os.path.dirname(__file__), "resend.json"), encoding="utf-8") as file:
            table = json.load(file)
        self.rows = {row["stop"]: row for row in table["rows"]}
        self.gateway_alone = set(table["gateway_alone"])
        self.polls_again, self.sends_most = table["polls_again"], table["sends_most"]
        self.polls_anywhere, self.anywhere = table["polls_anywhere"], table["pause_anywhere_millis"] / 1e3
        self.first, self.longest = table["pause_first_millis"] / 1e3, table["pause_longest_millis"] / 1e3

    def decide(self, stop, case, now, budget, dice):
        """What to do, and after how many seconds. `dice` is drawn evenly from 0 to 1, for the jitter of pauses."""
        verdict = self.rows[stop][case.effect]
        over = UNKNOWN if stop in ("post_unanswered", "lost", "poll_broken") else END
        if verdict in (END, UNKNOWN):
            return verdict, 0.0
        if verdict == POLL:
            after, most = self._pause(case.broken_polls, dice), self.polls_again
            if case.anywhere:  # while one takes it over from another it is worth asking on
                after, most = min(after, self.anywhere), self.polls_anywhere
            if case.broken_polls < most and now + after < case.due:
                return POLL, after
            return self.decide("lost", case, now, budget, dice)
        after = max(self._pause(max(case.sends - 1, 0), dice), case.advice)
        known = case.window is not None and now + after < case.first_sent + case.window
        allowed = verdict == "again" or case.marked and known
        allowed = allowed and not case.delivered and not case.cancelled
        ours = case.may_resend or stop not in self.gateway_alone
        if allowed and ours and case.sends < self.sends_most and now + after < case.due and budget.take(now):
            return SEND, after
        return over, 0.0

    def _pause(self, before, dice):
        return min(self.first * 2 ** min(before, 16), self.longest) * (0.5 + 0.5 * min(max(dice, 0.0), 1.0))


class Pace:
    """How long to wait before the next poll: not at all where the service holds polls or gives rows; where it answers empty
    pages at once, a pause that doubles, with jitter."""

    QUICK, FIRST, LONGEST = 0.02, 0.01, 0.5

    def __init__(self):
        self._idle = 0

    def pause(self, took, rows, dice):
        if rows or took >= self.QUICK:
            self._idle = 0
            return 0.0
        self._idle += 1
        if self._idle == 1:
            return 0.0  # the first page is always empty: it says that the statement was taken
        return min(self.FIRST * 2 ** min(self._idle - 2, 16), self.LONGEST) * (0.5 + 0.5 * min(max(dice, 0.0), 1.0))
