"""An unmodified public DNS library (PyPI: dnspython) against the demo's zone: it reads it, transfers it, and removes an engine
by a signed update; what is unsigned, wrongly signed or replayed does nothing."""

import os
import socket
import subprocess
import sys
import tempfile
import time

import dns.message
import dns.query
import dns.rcode
import dns.tsig
import dns.tsigkeyring
import dns.update
import dns.zone
import trino

PROGRAM = sys.argv[1]


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as s:
        return s.getsockname()[1]


file, port = os.path.join(tempfile.mkdtemp(), "address"), free_port()
process = subprocess.Popen(
    [PROGRAM, "demo", "--listen", "127.0.0.1:0", "--address-file", file, "--dns", f"127.0.0.1:{port}"],
    stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
)
passed = 0
try:
    while not os.path.exists(file):
        assert process.poll() is None, "the demo did not start"
        time.sleep(0.02)
    time.sleep(0.3)
    host, http = open(file).read().split(":")

    def ask(name, kind):
        return dns.query.udp(dns.message.make_query(name, kind), "127.0.0.1", port=port, timeout=5)

    answer = ask("e1.fleet.example.", "SRV")
    assert answer.rcode() == 0 and len(answer.answer[0]) == 1, answer
    assert ask("nothing.fleet.example.", "A").rcode() == dns.rcode.NXDOMAIN
    assert ask("else.", "A").rcode() == dns.rcode.REFUSED
    passed += 1

    zone = dns.zone.from_xfr(dns.query.xfr("127.0.0.1", "fleet.example.", port=port, timeout=5))
    assert {str(n) for n in zone.nodes} >= {"@", "ns", "host", "e1", "e2", "e3"}
    passed += 1

    ring = dns.tsigkeyring.from_text({"ops.": "c2l4dGVlbiBieXRlcyBhbmQgbW9yZQ=="})
    wrong = dns.tsigkeyring.from_text({"ops.": "YW5vdGhlciBzZWNyZXQgYWx0b2dldGhlcg=="})

    def update(keyring):
        u = dns.update.UpdateMessage(
            "fleet.example.", keyring=keyring, keyname="ops." if keyring else None, keyalgorithm=dns.tsig.HMAC_SHA256,
        )
        u.delete("e1")
        return u

    assert dns.query.udp(update(None), "127.0.0.1", port=port, timeout=5).rcode() == dns.rcode.REFUSED
    try:
        code = dns.query.udp(update(wrong), "127.0.0.1", port=port, timeout=5).rcode()
    except dns.exception.DNSException:
        code = dns.rcode.NOTAUTH
    assert code == dns.rcode.NOTAUTH
    assert ask("e1.fleet.example.", "SRV").rcode() == 0, "neither has done anything"
    passed += 1

    wire = update(ring)
    signed = wire.to_wire()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as s:
        s.settimeout(5)
        s.sendto(signed, ("127.0.0.1", port))
        first = s.recv(4096)
        s.sendto(signed, ("127.0.0.1", port))
        second = s.recv(4096)
    assert (first[3] & 15, second[3] & 15) == (dns.rcode.NOERROR, dns.rcode.REFUSED), "a replay does nothing"
    assert ask("e1.fleet.example.", "SRV").rcode() == dns.rcode.NXDOMAIN
    assert ask("fleet.example.", "SOA").answer[0][0].serial == 2
    answer = dns.query.tcp(update(ring), "127.0.0.1", port=port, timeout=5)
    assert answer.rcode() == 0 and answer.had_tsig, "the answer is signed, and believed by the library"
    passed += 1

    c = trino.dbapi.connect(host=host, port=int(http), user="tester").cursor()
    for _ in range(10):
        c.execute("SELECT count(*) FROM players")
        assert c.fetchall()[0][0] > 0
    passed += 1
finally:
    process.terminate()
    process.wait(30)
print(f"{passed} passed, 0 failed")
