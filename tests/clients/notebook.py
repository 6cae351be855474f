"""An unmodified public client (PyPI: jupyter_client) against the demo's notebook kernel."""

import os
import subprocess
import sys
import tempfile
import time

from jupyter_client import BlockingKernelClient

PROGRAM = sys.argv[1]


def main():
    folder = tempfile.mkdtemp()
    file, address = os.path.join(folder, "kernel.json"), os.path.join(folder, "address")
    process = subprocess.Popen(
        [PROGRAM, "demo", "--listen", "127.0.0.1:0", "--address-file", address, "--kernel", file],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    for _ in range(500):
        if os.path.exists(address) and os.path.exists(file):
            break
        time.sleep(0.02)
    assert os.stat(file).st_mode & 0o077 == 0, "the key is for its owner alone"

    def client():
        c = BlockingKernelClient(connection_file=file)
        c.load_connection_file()
        c.start_channels()
        c.wait_for_ready(timeout=20)
        return c

    def run(c, code, **more):
        seen = []
        reply = c.execute_interactive(code, timeout=30, output_hook=seen.append, **more)
        return reply["content"], {m["msg_type"]: m["content"] for m in seen}

    passed = 0
    try:
        a, b = client(), client()
        info = a.kernel_info(reply=True, timeout=10)["content"]
        assert info["protocol_version"].startswith("5.") and info["language_info"]["name"] == "sql"
        passed += 1

        reply, seen = run(a, "SELECT id, name FROM players ORDER BY id LIMIT 2")
        assert reply["status"] == "ok" and reply["execution_count"] == 1, reply
        data = seen["execute_result"]["data"]
        assert "Player 1 (1)" in data["text/plain"] and "<td>2</td>" in data["text/html"], data
        assert seen["execute_input"]["code"].startswith("SELECT id")
        passed += 1

        reply, seen = run(b, "SELECT * FROM nowhere")
        assert reply["status"] == "error" and reply["ename"] == "TABLE_NOT_FOUND", reply
        assert seen["error"]["ename"] == "TABLE_NOT_FOUND"
        passed += 1

        reply, _ = run(b, "INSERT INTO loads VALUES (3, 'from a notebook')")
        assert reply["status"] == "ok" and reply["execution_count"] == 3, reply
        passed += 1

        # No engine can answer this in time: refused, and it says that a retry is harmless.
        reply, _ = run(a, "SELECT 1 /*sim work=60000*/")
        assert reply["ename"] == "STATEMENT_REFUSED" and reply["retry_is_harmless"] is True, reply
        passed += 1

        started = time.time()
        ask = a.execute("SELECT 1 /*sim work=3500*/")
        time.sleep(0.4)
        message = a.session.msg("interrupt_request", {})
        a.control_channel.send(message)
        assert a.get_control_msg(timeout=10)["content"]["status"] == "ok"
        while True:
            reply = a.get_shell_msg(timeout=10)
            if reply["parent_header"].get("msg_id") == ask:
                break
        assert reply["content"]["status"] == "error" and time.time() - started < 3, reply["content"]
        passed += 1

        def content(sent):
            while True:
                reply = a.get_shell_msg(timeout=10)
                if reply["parent_header"].get("msg_id") == sent:
                    return reply["content"]

        assert content(a.is_complete("SELECT (1"))["status"] == "incomplete"
        assert content(a.is_complete("SELECT (1)"))["status"] == "complete"
        assert "SELECT" in content(a.complete("SEL"))["matches"]
        assert len(content(a.history(hist_access_type="tail", n=2))["history"]) == 2
        assert content(a.comm_info())["comms"] == {}
        passed += 1

        assert a.hb_channel.is_beating(), "the heartbeat is answered"
        passed += 1

        reply = a.shutdown(reply=True, timeout=10)["content"]
        assert reply["status"] == "ok"
        # The gateway stays: another client goes on with a new kernel.
        c = client()
        reply, _ = run(c, "SELECT 1")
        assert reply["status"] == "ok" and reply["execution_count"] == 1, reply
        passed += 1
        for x in (a, b, c):
            x.stop_channels()
    finally:
        process.terminate()
        process.wait(30)
    assert process.returncode == 0
    print(f"{passed} passed, 0 failed")


main()
