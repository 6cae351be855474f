"""The same script through the library for Rust, and through that for Python over both protocols: the same endings. Then
faults that only a library sees, against sockets of this script's own."""

import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "clients", "python"))

from violetward_client import KEYED, ONCE, REPEATABLE, Budget, Case, Client, Declined, Ending, KernelClient, Kernels, LATE, Pace, Query, Table, Unknown

PROGRAM, OUTCOMES = sys.argv[1], sys.argv[2]
passed = 0


def word(run, query):
    try:
        run(query)
        return "served"
    except Declined as e:
        return f"declined {e.name}"
    except Ending as e:
        return type(e).__name__.lower()


def script():
    def load(mark):
        return Query("INSERT INTO loads VALUES (1, 'a line')", KEYED, klass="load", key="m1", mark=mark)

    def lookup(sql, deadline=4.0):
        return Query(sql, REPEATABLE, deadline=deadline, klass="lookup")

    return [
        lookup("SELECT id FROM players ORDER BY id LIMIT 3"),
        lookup("SELECT * FROM nowhere"),
        lookup("SELEKT 1"),
        lookup("SELECT 1 /*sim work=9000*/", 0.4),
        load("r1"),
        load("r1"),
        Query("INSERT INTO loads VALUES (2, 'once')", ONCE, klass="notice"),
    ]


def same_script():
    global passed
    folder = tempfile.mkdtemp()
    file, address = os.path.join(folder, "kernel.json"), os.path.join(folder, "address")
    process = subprocess.Popen(
        [PROGRAM, "demo", "--listen", "127.0.0.1:0", "--address-file", address, "--kernel", file],
        stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
    )
    try:
        while not (os.path.exists(address) and os.path.exists(file)):
            assert process.poll() is None
            time.sleep(0.02)
        time.sleep(0.3)
        where = open(address).read()
        host, port = where.split(":")
        def rust_run(*arguments):
            return subprocess.run([OUTCOMES, *arguments], capture_output=True, text=True, timeout=60).stdout.split("\n")[:-1]

        rust, rust_cells = rust_run(where), rust_run("--kernel", file)
        client, kernel = Client([(host, int(port))]), KernelClient(file)
        statement = [word(client.run, q) for q in script()]
        cells = [word(kernel.run, q) for q in script()]
        table = kernel.run(script()[0])
        assert (table.columns, table.rows) == (["id"], [[1], [2], [3]]), table
        beside = KernelClient(file)
        stuck = threading.Thread(target=lambda: stops.append(word(kernel.run, Query("SELECT 1 /*sim work=60000*/", klass="lookup"))))
        stops = []
        stuck.start()
        time.sleep(0.3)
        assert beside.run(script()[0]).rows == [[1], [2], [3]], "another session does not wait"
        kernel.interrupt()
        stuck.join(10)
        assert stops == ["declined USER_CANCELED"], stops
        beside.close()
        kernel.close()
        kernels = Kernels([os.path.join(folder, "none.json"), file])
        words = [word(kernels.run, Query(f"INSERT INTO loads VALUES ({n}, 'k')", ONCE, klass="notice")) for n in range(4)]
        assert words == ["served"] * 4 and kernels.sent == 4, words
        kernels.close()
        # Rows as they come; a cancel from another thread, and one that comes too late.
        many = Query("SELECT * FROM points LIMIT 950", REPEATABLE, klass="lookup")
        running = client.open(many)
        first = running.batch()
        assert first.columns and len(first.rows) < 950
        assert len(first.rows) + len(list(running)) == 950
        assert running.stop() == LATE
        running = client.open(Query("SELECT 1 /*sim work=60000*/", REPEATABLE, klass="lookup"))
        threading.Timer(0.2, running.cancel).start()
        assert word(lambda _: list(running), None) == "declined USER_CANCELED"
        passed += 3
        expected = ["served", "declined TABLE_NOT_FOUND", "declined SYNTAX_ERROR", "refused", "served", "served", "served"]
        assert rust == expected, rust
        assert statement == expected, statement
        assert cells == expected, cells
        assert rust_cells == expected, rust_cells
        rows = client.run(script()[0])
        assert rows.rows == [[1], [2], [3]] and rows.columns == ["id"] and rows.sends == 1
        passed += 4
    finally:
        process.terminate()
        process.wait(30)


def breaking_gateway(answers):
    """A gateway that takes posts and breaks: it answers each connection with one of `answers`, then closes."""
    listener = socket.create_server(("127.0.0.1", 0))
    posts = []

    def serve():
        for answer in answers:
            peer, _ = listener.accept()
            posts.append(peer.recv(65536))
            peer.sendall(answer)
            peer.close()
        listener.close()

    threading.Thread(target=serve, daemon=True).start()
    return listener.getsockname(), posts


def http(document, headers=""):
    body = json.dumps(document).encode()
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{headers}\r\n".encode() + body


def faults():
    global passed
    done = http({"id": "x", "stats": {}, "data": [[1]]})
    # The connection drops after the post: once is unknown, and never sent again.
    address, posts = breaking_gateway([b"", done])
    assert word(Client([address], may_resend=True).run, Query("INSERT", ONCE, deadline=2.0)) == "unknown" and len(posts) == 1
    passed += 1
    # Repeatable: again where the library may, within its budget; by default the gateway alone makes attempts.
    address, posts = breaking_gateway([b"", done])
    assert word(Client([address], may_resend=True).run, Query("SELECT 1", REPEATABLE, deadline=2.0)) == "served" and len(posts) == 2
    address, posts = breaking_gateway([b"", done])
    assert word(Client([address]).run, Query("SELECT 1", REPEATABLE, deadline=2.0)) == "unknown" and len(posts) == 1
    address, posts = breaking_gateway([b"", done])
    spent = Budget(0.0, 0.0, 5.0)
    assert word(Client([address], may_resend=True, budget=spent).run, Query("SELECT 1", REPEATABLE, deadline=2.0)) == "unknown"
    passed += 1
    # Keyed: only within the window that the service told, never by a guess.
    taken = {"id": "x", "stats": {}, "nextUri": "http://g/v1/statement/executing/x/y/0"}
    gone = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
    for told, expected in (("X-Violetward-Repeat-Window-Millis: 25000\r\n", "served"), ("", "unknown")):
        address, posts = breaking_gateway([http(taken, told), gone, done])
        query = Query("INSERT", KEYED, mark="m", deadline=3.0)
        got = word(Client([address], may_resend=True).run, query)
        assert got == expected, (told, got)
    passed += 1
    # Nothing was written: another gateway, without any leave.
    closed = socket.create_server(("127.0.0.1", 0))
    nowhere = closed.getsockname()
    closed.close()
    address, posts = breaking_gateway([done] * 8)
    client = Client([nowhere, address])
    for _ in range(8):
        assert word(client.run, Query("INSERT", ONCE, deadline=2.0)) == "served"
    assert len(posts) == 8
    passed += 1


def same_table():
    global passed
    mine = open(os.path.join(ROOT, "clients", "python", "violetward_client", "resend.json")).read()
    theirs = open(os.path.join(ROOT, "crates", "client", "resend.json")).read()
    assert mine == theirs, "the two libraries must share one table"
    case = Case(effect=KEYED, marked=True, window=25.0, sends=1, due=60.0, may_resend=True)
    assert Table().decide("lost", case, 1.0, Budget(), 0.5)[0] == "send"
    case.window = 1.01
    assert Table().decide("lost", case, 1.0, Budget(), 0.5)[0] == "unknown"
    case.window, case.delivered = 25.0, True
    assert Table().decide("lost", case, 1.0, Budget(), 0.5)[0] == "unknown", "the caller has some of its rows"
    case.delivered, case.cancelled = False, True
    assert Table().decide("lost", case, 1.0, Budget(), 0.5)[0] == "unknown"
    pace = Pace()
    assert [pace.pause(0.001, False, 1.0) for _ in range(4)] == [0.0, 0.01, 0.02, 0.04] and pace.pause(0.5, False, 1.0) == 0.0
    budget, made = Budget(2.0, 0.1, 5.0), 0
    for _ in range(20):
        budget.begin(1.0)
    for _ in range(1000):
        made += budget.take(1.0)
    assert made == 4
    passed += 1


same_table()
faults()
same_script()
print(f"{passed} passed, 0 failed")
