"""The same endings over the notebook kernel protocol, by a connection file. Needs jupyter_client."""

import time

from jupyter_client import BlockingKernelClient

from .endings import Declined, Failed, Refused, Unknown
from .statement import Rows


class KernelClient:
    """A client of one kernel. It sends nothing again: a cell whose reply does not come ends as Unknown."""

    def __init__(self, connection_file, patience=60.0):
        self.patience = patience
        self.client = BlockingKernelClient(connection_file=connection_file)
        self.client.load_connection_file()
        self.client.start_channels()
        self.client.wait_for_ready(timeout=20)

    def run(self, query):
        deadline = query.deadline or self.patience
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
        until = time.monotonic() + deadline + 1.0
        while True:
            try:
                reply = self.client.get_shell_msg(timeout=max(until - time.monotonic(), 0.001))
            except Exception as e:  # queue.Empty, or a closed channel
                raise Unknown(f"no reply: {e!r}")
            if reply["parent_header"].get("msg_id") == message["header"]["msg_id"]:
                break
        content, rows = reply["content"], Rows(sends=1)
        if content["status"] == "ok":
            data = self._result(message["header"]["msg_id"])
            table = data.get("application/vnd.violetward.table+json") or {}
            rows.columns, rows.rows, rows.text = table.get("columns", []), table.get("rows", []), data.get("text/plain", "")
            return rows
        name, text = content.get("ename", ""), content.get("evalue", "")
        if name == "STATEMENT_REFUSED":
            raise Refused(text, content.get("retry_after_millis", 0) / 1e3)
        if name == "STATEMENT_FAILED":
            raise Failed(text)
        raise Declined(name or content["status"], text)

    def _result(self, msg_id):
        """The result's data by type, from iopub."""
        data = {}
        while True:
            try:
                message = self.client.get_iopub_msg(timeout=2)
            except Exception:
                return data
            if message["parent_header"].get("msg_id") != msg_id:
                continue
            if message["msg_type"] == "execute_result":
                data = message["content"]["data"]
            if message["msg_type"] == "status" and message["content"]["execution_state"] == "idle":
                return data

    def close(self):
        self.client.stop_channels()
