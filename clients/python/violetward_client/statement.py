"""The client over the statement protocol (the public client REST protocol of Trino)."""

import http.client
import json
import random
import threading
import time
from dataclasses import dataclass, field
from typing import List, Optional
from urllib.parse import quote

from .choice import Choice
from .endings import Declined, Failed, Refused, Unknown
from .resend import ONCE, POLL, SEND, UNKNOWN, Budget, Case, Pace, Table


@dataclass
class Query:
    """A statement. Times are seconds, memory is bytes."""

    sql: str
    effect: str = ONCE
    deadline: Optional[float] = None
    klass: Optional[str] = None
    key: Optional[str] = None
    mark: Optional[str] = None
    cpu: Optional[float] = None
    memory: Optional[int] = None

    def tags(self):
        tags = [self.klass] if self.klass else []
        tags += [f"key={self.key}"] if self.key else []
        return tags + ([f"repeat={self.mark}"] if self.mark else [])


@dataclass
class Rows:
    columns: List[str] = field(default_factory=list)
    rows: List[list] = field(default_factory=list)
    update: Optional[tuple] = None
    sends: int = 0


class _Stopped(Exception):
    def __init__(self, stop, ending, advice=0.0):
        self.stop, self.ending, self.advice = stop, ending, advice


class Client:
    """A client of several gateways, each `(host, port)`. May be shared by threads."""

    def __init__(self, gateways, user="violetward", source="violetward-client", may_resend=False, patience=60.0, budget=None):
        self.gateways = list(gateways)
        self.user, self.source, self.may_resend, self.patience = user, source, may_resend, patience
        self.table, self.budget, self.choice = Table(), budget or Budget(), Choice(len(self.gateways))
        self._lock = threading.Lock()
        self._idle = [[] for _ in self.gateways]

    def open(self, query):
        """A statement whose rows are read as they come: iterate over what this returns, or take its batches. Nothing is
        sent before they are asked for."""
        now = time.monotonic()
        case = Case(
            effect=query.effect, marked=query.mark is not None, first_sent=now,
            due=now + (query.deadline or self.patience), may_resend=self.may_resend,
        )
        with self._lock:
            self.budget.begin(now)
        return Running(self, query, case)

    def run(self, query):
        """Runs a statement to its end: Rows, or an exception of `endings`."""
        running, rows = self.open(query), Rows()
        while True:
            batch = running._page()
            if batch is None:
                return rows
            if rows.sends != running.case.sends:
                rows = Rows(sends=running.case.sends)  # what came of an earlier try is not part of this one's result
            rows.columns = rows.columns or batch.columns
            rows.rows += batch.rows
            rows.update = batch.update or rows.update

    def _connection(self, which, timeout):
        with self._lock:
            idle = self._idle[which].pop() if self._idle[which] else None
        if idle is not None:
            idle.sock.settimeout(timeout)
            return idle
        host, port = self.gateways[which]
        connection = http.client.HTTPConnection(host, port, timeout=timeout)
        connection.connect()
        return connection

    def _put(self, which, connection):
        with self._lock:
            if connection.sock is not None and len(self._idle[which]) < 32:
                self._idle[which].append(connection)

    def _delete(self, which, path):
        try:
            connection = self._connection(which, 2.0)
            connection.request("DELETE", path)
            connection.getresponse().read()
            self._put(which, connection)
        except (OSError, http.client.HTTPException):
            pass


@dataclass
class Batch:
    """Rows that came together; columns stand in the first batch that has any."""

    columns: List[str] = field(default_factory=list)
    rows: List[list] = field(default_factory=list)
    update: Optional[tuple] = None


STOPPED, LATE = "stopped", "late"


class Running:
    """A statement whose rows are read as they come. `cancel` may be called from another thread."""

    def __init__(self, client, query, case):
        self.client, self.query, self.case = client, query, case
        self._state, self._which, self._connection, self._next, self._begun = "fresh", None, None, None, 0.0
        self._last, self._named, self._pace = None, False, Pace()
        self._cancelled, self._at = False, None
        self.columns = []

    def __iter__(self):
        while True:
            batch = self.batch()
            if batch is None:
                return
            yield from batch.rows

    def batch(self):
        """The next rows; None once it has ended well. The deadline is that of the first rows, or of an ending without."""
        while True:
            batch = self._page()
            if batch is None or batch.columns or batch.rows or batch.update:
                if batch is not None:
                    self.columns = self.columns or batch.columns
                    self.case.delivered = self.case.delivered or bool(batch.rows)
                return batch

    def cancel(self):
        """Asks for the end; the reader then sees it (Declined, USER_CANCELED). Not taken yet, it is cancelled once it is."""
        self._cancelled, at = True, self._at
        if at is not None:
            self.client._delete(*at)

    def stop(self):
        """Cancels what this thread reads, and says what came of that: STOPPED, or LATE if it had ended before."""
        if self._state != "open":
            return STOPPED if self._state == "fresh" else LATE
        self.cancel()
        try:
            while self._page() is not None:
                pass
        except Declined as ending:
            return STOPPED if ending.name == "USER_CANCELED" else LATE
        except (Refused, Failed):
            return LATE
        return LATE

    def _page(self):
        client = self.client
        while True:
            if self._state == "over":
                return None
            try:
                return self._begin() if self._state == "fresh" else self._follow()
            except _Stopped as caught:
                stop = caught
            good = stop.stop not in ("not_written", "turned_away", "post_unanswered", "lost")
            self._close(good)
            self.case.advice, self.case.cancelled, now = stop.advice, self._cancelled, time.monotonic()
            with client._lock:
                verdict, after = client.table.decide(stop.stop, self.case, now, client.budget, random.random())
            if verdict == SEND:
                self._state, self._named = "fresh", False
                time.sleep(after)
                continue
            if verdict in (UNKNOWN, POLL):
                raise Unknown(str(stop.ending))
            raise stop.ending

    def _close(self, good):
        client, now, self._at = self.client, time.monotonic(), None
        if self._which is not None:
            with client._lock:
                client.choice.done(self._which, now, now - self._begun, good)
            if good and self._next is None and self._connection is not None:
                client._put(self._which, self._connection)
            elif self._connection is not None:
                self._connection.close()
        self._state, self._which, self._connection = "over", None, None

    def _left(self):
        left = self.client.patience if self.case.delivered else self.case.due - time.monotonic()
        return max(left, 0.001)

    def _begin(self):
        client, query, case = self.client, self.query, self.case
        with client._lock:
            which = client.choice.pick(time.monotonic(), [random.random(), random.random()], self._last)
        if which is None:
            raise _Stopped("declined", Refused("no gateway is configured"))
        self._which = self._last = which
        case.sends, self._begun = case.sends + 1, time.monotonic()
        left = max(case.due - time.monotonic(), 0.001)
        headers = {
            "X-Trino-User": client.user, "X-Trino-Source": client.source, "X-Trino-Client-Tags": ",".join(query.tags()),
            "X-Trino-Session": "query_max_run_time=" + quote(f"{max(int(left * 1000), 1)}ms"),
            "Content-Type": "text/plain; charset=utf-8",
        }
        estimates = [f"CPU_TIME={query.cpu * 1000:.3f}ms"] if query.cpu else []
        estimates += [f"PEAK_MEMORY={query.memory}B"] if query.memory else []
        if estimates:
            headers["X-Trino-Resource-Estimate"] = ",".join(estimates)
        if query.mark:
            headers["X-Trino-Trace-Token"] = query.mark
        # A statement that is not safe to repeat gets a fresh connection: a used one may be dead without our knowing.
        if query.effect != "repeatable":
            with client._lock:
                client._idle[which].clear()
        try:
            connection = client._connection(which, left + 0.5)
        except OSError as e:
            raise _Stopped("not_written", Refused(f"no connection: {e}"))
        try:
            connection.request("POST", "/v1/statement", query.sql.encode(), headers)
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException) as e:
            raise _Stopped("post_unanswered", Unknown(f"the post was not answered: {e!r}"))
        if response.status in (429, 503):
            raise _Stopped("turned_away", Refused(body.decode(errors="replace").strip()))
        if response.status != 200:
            raise _Stopped("declined", Declined(f"HTTP {response.status}", body.decode(errors="replace").strip()))
        window = response.headers.get("X-Violetward-Repeat-Window-Millis")
        if window is not None:
            case.window = int(window) / 1e3
        case.anywhere = response.headers.get("X-Violetward-Any-Gateway") == "true"
        self._state, self._connection = "open", connection
        batch = self._take(body)
        if self._cancelled and self._at is not None:
            client._delete(*self._at)
        return batch

    def _follow(self):
        client, case = self.client, self.case
        if self._next is None:
            self._close(True)
            return None
        case.broken_polls, asked = 0, time.monotonic()
        while True:
            try:
                if self._connection is None:
                    self._connection = client._connection(self._which, self._left() + 0.5)
                self._connection.sock.settimeout(self._left() + 0.5)
                self._connection.request("GET", self._next)
                response = self._connection.getresponse()
                body = response.read()
                if case.anywhere and response.status in (502, 503, 504):
                    raise OSError(body.decode(errors="replace").strip())
                if response.status != 200:
                    raise _Stopped("lost", Unknown(f"{response.status} to a poll: {body.decode(errors='replace').strip()}"))
                break
            except (OSError, http.client.HTTPException, AttributeError) as e:
                self._connection = None
                verdict, after = client.table.decide("poll_broken", case, time.monotonic(), Budget(0, 0, 0), random.random())
                if verdict != POLL:
                    raise _Stopped("lost", Unknown(f"a poll broke: {e!r}"))
                case.broken_polls += 1
                time.sleep(after)
                if case.anywhere and case.broken_polls > 1:
                    self._elsewhere()
        batch = self._take(body)
        pause = self._pace.pause(time.monotonic() - asked, bool(batch.rows), random.random())
        if self._next is not None and pause > 0:
            time.sleep(pause)
        return batch

    def _elsewhere(self):
        """The next gateway of the list has it as well."""
        client, now = self.client, time.monotonic()
        with client._lock:
            client.choice.done(self._which, now, now - self._begun, False)
            self._which = (self._which + 1) % len(client.gateways)
            client.choice.join(self._which)

    def _take(self, body):
        try:
            results = json.loads(body)
        except ValueError as e:
            raise _Stopped("lost", Unknown(f"an answer that can't be read: {e}"))
        self._next = None
        if results.get("error"):
            raise stopped(results["error"])
        uri = results.get("nextUri")
        if uri:
            self._next = uri[uri.index("/v1/"):]
            self._at = (self._which, self._next)
        batch = Batch(rows=results.get("data") or [])
        if results.get("columns") and not self._named:
            self._named, batch.columns = True, [c["name"] for c in results["columns"]]
        if results.get("updateType"):
            batch.update = (results["updateType"], results.get("updateCount"))
        return batch


def stopped(error):
    """What an error of the service means."""
    name, message = error.get("errorName", ""), error.get("message", "")
    if name == "STATEMENT_REFUSED":
        advice = (error.get("failureInfo") or {}).get("retryAfterMillis", 0) / 1e3
        return _Stopped("refused", Refused(message, advice), advice)
    if name == "STATEMENT_FAILED":
        return _Stopped("failed", Failed(message))
    return _Stopped("declined", Declined(name, message))
