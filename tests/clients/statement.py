"""An unmodified public client (PyPI: trino) against the demo's gateway: what its users rely on."""

import os
import subprocess
import sys
import tempfile
import threading
import time

import trino

PROGRAM = sys.argv[1]


def start():
    file = os.path.join(tempfile.mkdtemp(), "address")
    process = subprocess.Popen(
        [PROGRAM, "demo", "--listen", "127.0.0.1:0", "--address-file", file],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    for _ in range(500):
        if os.path.exists(file):
            host, port = open(file).read().split(":")
            return process, host, int(port)
        time.sleep(0.02)
    raise SystemExit("the demo did not start")


def main():
    process, host, port = start()

    def cursor(**more):
        return trino.dbapi.connect(host=host, port=port, user="tester", catalog="league", schema="public", **more).cursor()

    def error(sql, **more):
        try:
            c = cursor(**more)
            c.execute(sql)
            c.fetchall()
        except trino.exceptions.TrinoQueryError as e:
            return e
        raise AssertionError(f"{sql} gave no error")

    passed = 0
    try:
        # Transactions by the client's own means, and a temporary table that stays with its connection.
        from trino.transaction import IsolationLevel
        connection = trino.dbapi.connect(
            host=host, port=port, user="tester", catalog="league", schema="public",
            isolation_level=IsolationLevel.READ_COMMITTED,
        )
        c = connection.cursor()
        c.execute("CREATE TEMPORARY TABLE mine AS SELECT 5 AS a")
        c.fetchall()
        for _ in range(5):
            c.execute("SELECT a FROM mine")
            assert c.fetchall() == [[5]]
        connection.commit()
        plain = trino.dbapi.connect(host=host, port=port, user="tester", catalog="league", schema="public")
        c = plain.cursor()
        c.execute("CREATE TEMPORARY TABLE other AS SELECT 6 AS a")
        c.fetchall()
        for _ in range(5):
            c = plain.cursor()
            c.execute("SELECT a FROM other")
            assert c.fetchall() == [[6]]
        assert error("SELECT a FROM other").error_name == "TABLE_NOT_FOUND", "another connection does not see it"
        passed += 1

        c = cursor()
        c.execute("SELECT id, name, price FROM players ORDER BY id LIMIT 3")
        assert [d.name for d in c.description] == ["id", "name", "price"]
        assert [d.type_code for d in c.description] == ["bigint", "varchar", "double"]
        assert [row[0] for row in c.fetchall()] == [1, 2, 3]
        passed += 1

        c.execute("SELECT player, round FROM points")
        assert len(c.fetchmany(10)) == 10
        assert len(c.fetchall()) == 6480 - 10
        passed += 1

        c.execute("SELECT count(*) FROM points WHERE player = ? AND round < ?", (7, 5))
        assert c.fetchone() == [4]
        passed += 1

        legacy = cursor(legacy_prepared_statements=True)
        legacy.execute("SELECT name FROM teams WHERE id = ?", (2,))
        assert len(legacy.fetchall()) == 1
        passed += 1

        c.execute("SET SESSION query_priority = '2'")
        c.fetchall()
        assert c.connection._client_session.properties["query_priority"] == "2"
        passed += 1

        e = error("SELECT * FROM nowhere")
        assert isinstance(e, trino.exceptions.TrinoUserError) and e.error_name == "TABLE_NOT_FOUND", e
        e = error("SELEKT 1")
        assert isinstance(e, trino.exceptions.TrinoUserError) and e.error_name == "SYNTAX_ERROR", e
        passed += 1

        # Nothing could answer this in the time its client allows: refused, and said to be harmless.
        e = error("SELECT 1 /*sim work=9000*/", session_properties={"query_max_run_time": "400ms"})
        assert e.error_name == "STATEMENT_REFUSED" and e.error_type == "INSUFFICIENT_RESOURCES", e
        assert e.failure_info["retryIsHarmless"] is True
        passed += 1

        c = cursor(client_tags=["load", "key=m1", "repeat=r1"])
        c.execute("INSERT INTO loads VALUES (1, 'a line')")
        c.fetchall()
        assert c.update_type == "INSERT" and c.rowcount == 1
        passed += 1

        c = cursor()
        ended = []

        def run():
            try:
                c.execute("SELECT 1 /*sim work=3000*/")
                c.fetchall()
                ended.append(None)
            except Exception as e:
                ended.append(e)

        thread = threading.Thread(target=run)
        thread.start()
        time.sleep(0.3)
        c.cancel()
        thread.join(10)
        assert ended and not thread.is_alive()
        passed += 1
    finally:
        process.terminate()
        process.wait(20)
    assert process.returncode == 0, "the demo did not stop in order"
    passed += 1
    print(f"{passed} passed, 0 failed")


main()
