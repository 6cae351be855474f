"""The same endings over the notebook kernel protocol, by connection files. Needs jupyter_client."""

import queue
import random
import threading
import time

from jupyter_client import BlockingKernelClient

from .choice import Choice
from .endings import Declined, Failed, Refused, Unknown
from .resend import REPEATABLE, SEND, UNKNOWN, Budget, Case, Table
from .statement import Rows


class KernelClient:
    """One session of one kernel. It sends nothing again: a cell whose reply does not come ends as Unknown."""

    def __init__(self, connection_file, patience=60.0):
        self.patience = patience
        self.client = BlockingKernelClient(connection_file=connection_file)
        self.client.load_connection_file()
        self.client.start_channels()
        # What is published for other sessions is not ours to read.
        socket = self.client.iopub_channel.socket
        socket.subscribe(self.client.session.session.encode())
        socket.unsubscribe(b"")
        try:
            self.client.wait_for_ready(timeout=min(patience, 20))
        except Exception:
            self.close()
            raise
        # A socket of this protocol reconnects without a word: only the heartbeat tells that the kernel is gone.
        self.client.hb_channel.unpause()

    def run(self, query):
        try:
            return self._attempt(query, query.deadline or self.patience)
        except _Stopped as stopped:
            raise stopped.ending

    def interrupt(self):
        """Stops what runs in this session and drops what waits there. May be called from another thread."""
        self.client.control_channel.send(self.client.session.msg("interrupt_request", {}))

    def answers(self, within):
        """Whether the kernel still answers."""
        message = self.client.session.msg("kernel_info_request", {})
        self.client.shell_channel.send(message)
        return self._reply(message, time.monotonic() + within) is not None

    def _reply(self, message, until):
        missed = 0
        while True:
            left = until - time.monotonic()
            try:
                reply = self.client.get_shell_msg(timeout=max(min(left, 0.5), 0.001))
            except queue.Empty:
                missed = 0 if self.client.hb_channel.is_beating() else missed + 1
                if left <= 0.5 or missed >= 3:
                    return None
                continue
            except Exception:  # a closed channel
                return None
            if reply["parent_header"].get("msg_id") == message["header"]["msg_id"]:
                return reply

    def _attempt(self, query, deadline):
        terms = {"tags": query.tags(), "max_run_millis": max(int(deadline * 1000), 1)}
        if query.cpu:
            terms["cpu_millis"] = int(query.cpu * 1000)
        if query.memory:
            terms["memory_bytes"] = query.memory
        if query.mark:
            terms["trace"] = query.mark
        content = {"code": query.sql, "silent": False, "store_history": True, "stop_on_error": False}
        message = self.client.session.msg("execute_request", content, metadata={"violetward": terms})
        self.client.shell_channel.send(message)
        reply = self._reply(message, time.monotonic() + deadline + 1.0)
        if reply is None:
            raise _Stopped("post_unanswered", Unknown("no reply by the deadline"))
        content, rows = reply["content"], Rows(sends=1)
        if content["status"] == "ok":
            data = self._result(message["header"]["msg_id"])
            if data is None:
                raise _Stopped("failed", Failed("it ran, but its result did not come"))
            table = data.get("application/vnd.violetward.table+json") or {}
            rows.columns, rows.rows, rows.text = table.get("columns", []), table.get("rows", []), data.get("text/plain", "")
            return rows
        name, text = content.get("ename", ""), content.get("evalue", "")
        if name == "STATEMENT_REFUSED":
            raise _Stopped("refused", Refused(text, content.get("retry_after_millis", 0) / 1e3))
        if name == "STATEMENT_FAILED":
            raise _Stopped("failed", Failed(text))
        raise _Stopped("declined", Declined(name or content["status"].upper(), text))

    def _result(self, msg_id):
        """The result's data by type, from iopub; None if it did not come to its end."""
        data, until = {}, time.monotonic() + 2.0
        while time.monotonic() < until:
            try:
                message = self.client.get_iopub_msg(timeout=max(until - time.monotonic(), 0.001))
            except Exception:
                return None
            if message["parent_header"].get("msg_id") != msg_id:
                continue
            if message["msg_type"] == "execute_result":
                data = message["content"]["data"]
            if message["msg_type"] == "status" and message["content"]["execution_state"] == "idle":
                return data
        return None

    def close(self):
        self.client.stop_channels()


class _Stopped(Exception):
    def __init__(self, stop, ending):
        self.stop, self.ending = stop, ending


class Kernels:
    """Sessions over the kernels of several gateways, by the same table and budget. May be shared by threads."""

    def __init__(self, connection_files, may_resend=False, patience=60.0, budget=None):
        self.files, self.may_resend, self.patience = list(connection_files), may_resend, patience
        self.table, self.budget, self.choice = Table(), budget or Budget(), Choice(len(self.files))
        self._lock, self._idle, self.sent = threading.Lock(), [[] for _ in self.files], 0

    def run(self, query):
        now = time.monotonic()
        case = Case(
            effect=query.effect, marked=query.mark is not None, first_sent=now,
            due=now + (query.deadline or self.patience), may_resend=self.may_resend,
        )
        last = None
        with self._lock:
            self.budget.begin(now)
        while True:
            with self._lock:
                which = self.choice.pick(time.monotonic(), [random.random(), random.random()], last)
            if which is None:
                raise Declined("NO_GATEWAY", "none is configured")
            last, case.sends, begun, stopped, rows = which, case.sends + 1, time.monotonic(), None, None
            try:
                rows = self._attempt(which, query, max(case.due - begun, 0.001))
                rows.sends = case.sends
            except _Stopped as caught:
                stopped = caught
            now = time.monotonic()
            with self._lock:
                good = stopped is None or stopped.stop not in ("not_written", "post_unanswered")
                self.choice.done(which, now, now - begun, good)
                if stopped is None:
                    return rows
                case.advice = getattr(stopped.ending, "retry_after", 0.0)
                verdict, after = self.table.decide(stopped.stop, case, now, self.budget, random.random())
            if verdict == SEND:
                time.sleep(after)
            elif verdict == UNKNOWN:
                raise Unknown(str(stopped.ending))
            else:
                raise stopped.ending

    def _attempt(self, which, query, left):
        with self._lock:
            client = self._idle[which].pop() if self._idle[which] else None
        # A kept session may be dead without our knowing; what must not run twice is not sent on a guess.
        if client is not None and query.effect != REPEATABLE and not client.answers(min(left, 2.0)):
            client.close()
            client = None
        try:
            client = client or KernelClient(self.files[which], patience=min(left, 5.0))
        except Exception as e:
            raise _Stopped("not_written", Refused(f"no kernel to talk to: {e!r}"))
        with self._lock:
            self.sent += 1
        try:
            rows = client._attempt(query, left)
        except _Stopped as stopped:
            if stopped.stop == "post_unanswered":
                client.close()  # its reply may still come; it is not used again
            else:
                self._keep(which, client)
            raise
        self._keep(which, client)
        return rows

    def _keep(self, which, client):
        with self._lock:
            self._idle[which].append(client)

    def close(self):
        with self._lock:
            for idle in self._idle:
                while idle:
                    idle.pop().close()
