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
from .resend import ONCE, POLL, SEND, UNKNOWN, Budget, Case, Table


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

    def run(self, query):
        """Runs a statement to its end: Rows, or an exception of `endings`."""
        now = time.monotonic()
        case = Case(
            effect=query.effect, marked=query.mark is not None, first_sent=now,
            due=now + (query.deadline or self.patience), may_resend=self.may_resend,
        )
        with self._lock:
            self.budget.begin(now)
        last = None
        while True:
            with self._lock:
                which = self.choice.pick(time.monotonic(), [random.random(), random.random()], last)
            if which is None:
                raise Refused("no gateway is configured")
            last, case.sends, begun, stopped = which, case.sends + 1, time.monotonic(), None
            try:
                rows = self._send(which, query, case)
            except _Stopped as caught:
                stopped = caught
            sick = stopped is not None and stopped.stop in ("not_written", "turned_away", "post_unanswered", "lost")
            now = time.monotonic()
            with self._lock:
                self.choice.done(which, now, now - begun, not sick)
                if stopped is not None:
                    case.advice = stopped.advice
                    verdict, after = self.table.decide(stopped.stop, case, now, self.budget, random.random())
            if stopped is None:
                rows.sends = case.sends
                return rows
            if verdict == SEND:
                time.sleep(after)
                continue
            if verdict in (UNKNOWN, POLL):
                raise Unknown(str(stopped.ending))
            raise stopped.ending

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

    def _send(self, which, query, case):
        left = max(case.due - time.monotonic(), 0.001)
        headers = {
            "X-Trino-User": self.user, "X-Trino-Source": self.source, "X-Trino-Client-Tags": ",".join(query.tags()),
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
            with self._lock:
                self._idle[which].clear()
        try:
            connection = self._connection(which, left + 0.5)
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
        rows = Rows()
        while True:
            try:
                results = json.loads(body)
            except ValueError as e:
                raise _Stopped("lost", Unknown(f"an answer that can't be read: {e}"))
            error = results.get("error")
            if error:
                self._put(which, connection)
                raise stopped(error)
            if results.get("columns") and not rows.columns:
                rows.columns = [c["name"] for c in results["columns"]]
            rows.rows += results.get("data") or []
            if results.get("updateType"):
                rows.update = (results["updateType"], results.get("updateCount"))
            if not results.get("nextUri"):
                self._put(which, connection)
                return rows
            path = results["nextUri"][results["nextUri"].index("/v1/"):]
            connection, body = self._poll(which, connection, path, case)

    def _poll(self, which, connection, path, case):
        case.broken_polls = 0
        while True:
            left = max(case.due - time.monotonic(), 0.001)
            try:
                if connection is None:
                    connection = self._connection(which, left + 0.5)
                connection.request("GET", path)
                response = connection.getresponse()
                body = response.read()
                if response.status == 200:
                    return connection, body
                raise _Stopped("lost", Unknown(f"{response.status} to a poll: {body.decode(errors='replace').strip()}"))
            except (OSError, http.client.HTTPException) as e:
                connection = None
                verdict, after = self.table.decide("poll_broken", case, time.monotonic(), Budget(0, 0, 0), random.random())
                if verdict != POLL:
                    raise _Stopped("lost", Unknown(f"a poll broke: {e!r}"))
                case.broken_polls += 1
                time.sleep(after)


def stopped(error):
    """What an error of the service means."""
    name, message = error.get("errorName", ""), error.get("message", "")
    if name == "STATEMENT_REFUSED":
        advice = (error.get("failureInfo") or {}).get("retryAfterMillis", 0) / 1e3
        return _Stopped("refused", Refused(message, advice), advice)
    if name == "STATEMENT_FAILED":
        return _Stopped("failed", Failed(message))
    return _Stopped("declined", Declined(name, message))
