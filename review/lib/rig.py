"""Stand-ins for the platform of PROTOCOL.md: engines (RESP), a resolver (DNS), clients (Thrift), and a
starter of the program that deploy/balancer.toml names. Loopback only; times are of the monotonic clock."""

import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class Record:
    """What was sent, answered and run, in the order of time; written to record.txt of the case."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.lines = []
        open(self.path, "w").close()

    def now(self):
        return time.monotonic() - self.start

    def note(self, text, at=None):
        at = self.now() if at is None else at
        with self.lock:
            self.lines.append((at, text))
        return at

    def write(self):
        with self.lock, open(self.path, "w") as out:
            for at, text in sorted(self.lines, key=lambda line: line[0]):
                out.write("%9.4f  %s\n" % (at, text))


# ---------------------------------------------------------------- engines

class RespReader:
    """Arrays of bulk strings from a stream of bytes."""

    def __init__(self):
        self.buffer = b""

    def feed(self, data):
        self.buffer += data

    def next(self):
        at = self.buffer.find(b"\r\n")
        if at < 0:
            return None
        if self.buffer[:1] != b"*":
            raise ValueError("not an array")
        count, at, words = int(self.buffer[1:at]), at + 2, []
        for _ in range(count):
            end = self.buffer.find(b"\r\n", at)
            if end < 0:
                return None
            size = int(self.buffer[at + 1:end])
            if len(self.buffer) < end + 2 + size + 2:
                return None
            words.append(self.buffer[end + 2:end + 2 + size])
            at = end + 2 + size + 2
        self.buffer = self.buffer[at:]
        return [word.decode() for word in words]


def resp(*words):
    out = b"*%d\r\n" % len(words)
    for word in words:
        word = word if isinstance(word, bytes) else word.encode()
        out += b"$%d\r\n%s\r\n" % (len(word), word)
    return out


class Engine:
    """An engine. `behaviour(engine, request)` is run in a thread for each fetch, and answers with
    `request.ok()` and the like. The engine works on a request until it has answered or is told to stop."""

    def __init__(self, record, name, behaviour, listener=None, **listing):
        self.record, self.name, self.behaviour = record, name, behaviour
        self.listing = dict(zone="wola-1", kind="typ-a", cell=0, state="ready", weight=1, started_ms=0)
        self.listing.update(listing)
        self.fetches = []
        self.lock = threading.Lock()
        self.listener = listener or socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = self.listener.getsockname()[1]
        self.sockets = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.sockets.add(sock)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        reader, open_here, write_lock = RespReader(), {}, threading.Lock()
        while True:
            try:
                data = sock.recv(65536)
            except OSError:
                data = b""
            if not data:
                break
            at = self.record.now()
            reader.feed(data)
            while True:
                words = reader.next()
                if words is None:
                    break
                self.command(words, at, sock, open_here, write_lock)
        for request in list(open_here.values()):
            request.given_up = self.record.note("%s: connection ended under %s" % (self.name, request.id))
            request.stopped.set()
        with self.lock:
            self.sockets.discard(sock)
        sock.close()

    def command(self, words, at, sock, open_here, write_lock):
        verb = words[0]
        if verb == "fetch":
            request = EngineRequest(self, words, at, sock, open_here, write_lock)
            open_here[request.id] = request
            with self.lock:
                self.fetches.append(request)
            self.record.note("%s: fetch %s %s" % (self.name, request.id, words[2]), at)
            threading.Thread(target=self.behaviour, args=(self, request), daemon=True).start()
        elif verb in ("abort", "done"):
            request = open_here.pop(words[1], None)
            if verb == "abort":
                self.record.note("%s: abort %s" % (self.name, words[1]), at)
            if request is not None and verb == "abort":
                request.given_up = at
                request.stopped.set()
        elif verb in ("alive", "stats"):
            with write_lock:
                sock.sendall(resp(words[1], "yes", "l=util:0.10", ""))

    def stop(self):
        self.listener.close()


class EngineRequest:
    """A request at an engine."""

    def __init__(self, engine, words, at, sock, open_here, write_lock):
        self.engine, self.id, self.at, self.body = engine, words[1], at, words[3]
        self.fields = dict(pair.split("=", 1) for pair in words[2].split(",")) if words[2] != "-" else {}
        self.sock, self.open_here, self.write_lock = sock, open_here, write_lock
        self.stopped, self.given_up, self.ended, self.how = threading.Event(), None, None, None

    def answer(self, word, fields, body=""):
        self.open_here.pop(self.id, None)
        with self.write_lock:
            try:
                self.sock.sendall(resp(self.id, word, fields, body))
            except OSError:
                return
        self.ended, self.how = self.engine.record.note("%s: %s %s" % (self.engine.name, word, self.id)), word

    def ok(self, cpu_ms):
        self.answer("ok", "batches=1,cpu=%.1f,used=64.0,l=util:0.20" % cpu_ms, "%s\ta\tb\n" % self.id)

    def error(self):
        self.answer("error", "l=util:0.20")


def works_for(seconds):
    """The behaviour of a sound engine whose requests take that long."""

    def behaviour(_engine, request):
        if not request.stopped.wait(seconds):
            request.ok(seconds * 1000)

    return behaviour


# ---------------------------------------------------------------- the resolver

def dns_name(text):
    labels = [label for label in text.split(".") if label]
    return b"".join(bytes([len(label)]) + label.encode() for label in labels) + b"\0"


def dns_record(name, kind, data):
    return dns_name(name) + struct.pack(">HHIH", kind, 1, 0, len(data)) + data


class Resolver:
    """A resolver that answers every query with the whole list, `delay` seconds after it came."""

    def __init__(self, record, engines, number, delay=0.0):
        self.record, self.engines, self.number, self.delay = record, engines, number, delay
        self.lock = threading.Lock()
        self.told, self.states = {}, {}
        self.older = None
        self.asked = threading.Condition()
        self.queries = 0
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.port = self.sock.getsockname()[1]
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            try:
                query, peer = self.sock.recvfrom(2048)
            except OSError:
                return
            with self.asked:
                self.queries += 1
                self.asked.notify_all()
            if self.delay:
                timer = threading.Timer(self.delay, self.reply, (query, peer))
                timer.daemon = True
                timer.start()
            else:
                self.reply(query, peer)

    def change(self, engine, state, number):
        """Event `number`: another state of an engine; `gone` takes it off the list."""
        with self.lock:
            self.states[engine.name], self.number = state, number
        self.record.note("resolver: event %d, %s is %s" % (number, engine.name, state))

    def add(self, engine, number):
        """Event `number`: a new engine."""
        with self.lock:
            self.engines.append(engine)
            self.number = number
        self.record.note("resolver: event %d, %s is new" % (number, engine.name))

    def send_older(self, answers, number, states):
        """The next answers hold an older list, under the number that it had."""
        with self.lock:
            self.older = [answers, number, states]

    def reply(self, query, peer):
        with self.lock:
            number, states = self.number, self.states
            if self.older is not None and self.older[0] > 0:
                self.older[0] -= 1
                _, number, states = self.older
                self.record.note("resolver: an answer with the older list, number %d" % number)
            answers, additional, count = b"", b"", 0
            for engine in self.engines:
                item = engine.listing
                state = states.get(engine.name, item["state"])
                if state == "gone":
                    continue
                host = "%s.%s.hosts" % (engine.name, item["zone"])
                priority = 1 if state == "draining" else 0
                srv = struct.pack(">HHH", priority, int(item["weight"] * 10), engine.port) + dns_name(host)
                answers += dns_record("_api._tcp.svc.local", 33, srv)
                additional += dns_record(host, 1, socket.inet_aton("127.0.0.1"))
                texts = ["kind=" + item["kind"], "cell=%d" % item["cell"], "started=%d" % item["started_ms"]]
                texts = b"".join(bytes([len(text)]) + text.encode() for text in texts)
                additional += dns_record(host, 16, texts)
                count += 1
            soa = dns_name("ns.svc.local") + dns_name("admin.svc.local")
            soa += struct.pack(">IIIII", number, 1, 1, 1, 0)
            authority = dns_record("svc.local", 6, soa)
            header = query[:2] + struct.pack(">HHHHH", 0x8400, 1, count, 1, 2 * count)
            # The answer is sent under the lock: from here on its events count as told.
            try:
                self.sock.sendto(header + query[12:] + answers + authority + additional, peer)
            except OSError:
                return
            if states is self.states and number not in self.told:
                self.told[number] = self.record.note("resolver: event %d told" % number)

    def stop(self):
        self.sock.close()

    def next_query(self, timeout=2.0):
        """Waits until the next query comes."""
        with self.asked:
            before = self.queries
            return self.asked.wait_for(lambda: self.queries > before, timeout)


# ---------------------------------------------------------------- clients

def thrift_string(data):
    data = data if isinstance(data, bytes) else data.encode()
    return struct.pack(">i", len(data)) + data


def thrift_message(method, kind, seqid, arguments):
    message = struct.pack(">I", 0x80010000 | kind) + thrift_string(method) + struct.pack(">i", seqid)
    message += arguments + b"\0"
    return struct.pack(">i", len(message)) + message


def dispatch_frame(seqid, fields, body):
    entries = b"".join(thrift_string(k) + thrift_string(v) for k, v in fields.items())
    arguments = b"\x0d" + struct.pack(">hBBi", 1, 11, 11, len(fields)) + entries
    arguments += b"\x0b" + struct.pack(">h", 2) + thrift_string(body)
    return thrift_message("dispatch", 1, seqid, arguments)


def cancel_frame(seqid, named):
    return thrift_message("cancelRequest", 4, seqid, b"\x08" + struct.pack(">hi", 1, named))


ALIVE_ARGUMENTS = b"\x02" + struct.pack(">hB", 1, 1)


class Sent:
    """A request that a client has sent."""

    def __init__(self, id, name, at, wait):
        self.id, self.name, self.at, self.wait = id, name, at, wait
        self.answers, self.cancelled, self.connection_ended = [], None, None
        self.done = threading.Event()


class Client:
    """A client's connection."""

    def __init__(self, record, name, address):
        self.record, self.name = record, name
        self.sock = socket.create_connection(address, timeout=5)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.seqid, self.open, self.lock = 0, {}, threading.Lock()
        self.alive = None
        self.alive_event = threading.Event()
        threading.Thread(target=self.read, daemon=True).start()

    def send(self, id, fields, body, name=""):
        with self.lock:
            self.seqid += 1
            seqid = self.seqid
            sent = Sent(id, name or id, None, int(fields["wait"]) / 1000)
            sent.seqid = seqid
            self.open[seqid] = sent
        frame = dispatch_frame(seqid, dict(fields, id=id), body)
        self.sock.sendall(frame)
        sent.at = self.record.note("%s: request %s %s" % (self.name, id, json.dumps(fields)))
        return sent

    def cancel(self, sent):
        with self.lock:
            self.seqid += 1
            seqid = self.seqid
        self.sock.sendall(cancel_frame(seqid, sent.seqid))
        sent.cancelled = self.record.note("%s: cancelRequest for %s" % (self.name, sent.id))

    def ask_alive(self, timeout=1.0):
        self.alive_event.clear()
        with self.lock:
            self.seqid += 1
            seqid = self.seqid
        self.sock.sendall(thrift_message("alive", 1, seqid, ALIVE_ARGUMENTS))
        return self.alive_event.wait(timeout)

    def read(self):
        buffer = b""
        while True:
            try:
                data = self.sock.recv(65536)
            except OSError:
                data = b""
            if not data:
                break
            buffer += data
            while len(buffer) >= 4:
                size = struct.unpack(">i", buffer[:4])[0]
                if len(buffer) < 4 + size:
                    break
                self.message(buffer[4:4 + size])
                buffer = buffer[4 + size:]
        with self.lock:
            left = list(self.open.values())
        for sent in left:
            sent.connection_ended = self.record.note("%s: connection ended over %s" % (self.name, sent.id))
            sent.done.set()

    def message(self, message):
        kind = message[3]
        size = struct.unpack(">i", message[4:8])[0]
        method = message[8:8 + size].decode()
        seqid = struct.unpack(">i", message[8 + size:12 + size])[0]
        rest = message[12 + size:]
        if method == "alive":
            self.alive_event.set()
            return
        if kind == 3:
            what = "exception"
        else:
            field = struct.unpack(">h", rest[1:3])[0]
            what = {0: "served", 1: "refused", 2: "failed"}.get(field, "unknown")
        with self.lock:
            sent = self.open.pop(seqid, None)
        at = self.record.now()
        if sent is None:
            self.record.note("%s: second or unknown answer under %d: %s" % (self.name, seqid, what), at)
            return
        sent.answers.append((at, what))
        self.record.note("%s: %s %s" % (self.name, what, sent.id), at)
        sent.done.set()

    def close(self):
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()


# ---------------------------------------------------------------- the gateway

def settings(**changes):
    """The settings of a small deployment like typery-warszawa, as its page WIRE shows them."""
    base = {
        "Classes": [
            {"Name": "podglad", "AimStretch": 2.0, "AimUs": 1500000, "Effect": "repeatable", "Group": "all",
             "HardLimitUs": 7500000, "LateWorth": 0.0, "Stream": False, "WindowUs": 5000000, "Worth": 1.0},
            {"Name": "raport", "AimStretch": 2.5, "AimUs": 2000000, "Effect": "repeatable", "Group": "all",
             "HardLimitUs": 15000000, "LateWorth": 0.4, "Stream": False, "WindowUs": 5000000, "Worth": 6.0},
            {"Name": "wgranie", "AimStretch": 3.0, "AimUs": 4000000, "Effect": "by_key", "FifoByKey": True,
             "Group": "all", "HardLimitUs": 25000000, "LateWorth": 0.6, "Stream": False,
             "WindowUs": 25000000, "Worth": 6.0}],
        "Clients": {"MarksRetry": True},
        "Contract": {"AskWithinUs": 10000000, "ColdFrom": 0.31, "ColdUs": 15000000, "ExtraFree": 5.0,
                     "ExtraPerRequest": 0.1, "FallMultiple": 4.0, "GraceToAnswerUs": 20000,
                     "LookBackUs": 5000000, "StopSendingWithinUs": 250000, "TipAfterUs": 1500000,
                     "TurnGapUs": 0},
        "Discovery": "pushed", "DomainType": "queries",
        "FamilyInfo": {"GrantCap": 0.4, "GrantsCount": True, "LanesCount": True,
                       "Loads": [False, False, True], "MemoryByKindMb": [16384.0, 16384.0],
                       "NotePeriodUs": 0, "SizeCores": [8, 8], "TellsCost": True,
                       "WaitsForLoads": [False, False, False], "WhenShort": "line_up",
                       "WidthByClass": [1, 4, 2]},
        "Limits": {"AttemptsCap": 3, "ConnIdleUs": 15000000, "ConnectTimeoutUs": 250000,
                   "CpuUsPerRequest": 0.0, "CpuUsPerS": 65093, "MaxRetryAfterUs": 500000, "MayCancel": True,
                   "MayDuplicate": False, "OpenCap": 26037, "PeerMessages": False, "Probes": True,
                   "RetryAfter": False, "StreamsPerConn": 32},
        "MachineTypes": ["typ-a", "typ-b"], "Me": 0, "NInstances": 3, "OverShareWorth": 0.1,
        "Prices": {"Connection": 0.0, "CrossZone": 0.0, "Discovery": 0.0, "Handshake": 0.0, "LateFail": 0.08,
                   "Moves": 0.0, "Origin": 0.0, "Peer": 0.0, "Probe": 0.01, "Waste": 0.08},
        "QuantumUs": 5000, "Report": {"How": "answers", "Names": ["load_share"]},
        "ResultMix": {"Whole": 0.5, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.3},
        "Tenants": [], "Tier": 0, "Tiers": ["silniki"], "Weights": "rough", "WorthBy": "request",
        "Zone": 0, "Zones": ["wola-1"],
    }
    for path, value in changes.items():
        place = base
        *folders, last = path.split("__")
        for folder in folders:
            place = place[int(folder) if folder.isdigit() else folder]
        place[last] = value
    return base


class CannotRun(Exception):
    """The case could not be run."""


def deploy_command():
    text = open(os.path.join(ROOT, "deploy", "balancer.toml")).read()
    found = re.search(r'^run = "(.*)"', text, re.M)
    if not found:
        raise CannotRun("deploy/balancer.toml names no run")
    return found.group(1)


class Gateway:
    """A process of the program, started as the deploy file says."""

    def __init__(self, record, settings, engines, resolver, name="n0"):
        self.record, self.name = record, name
        self.folder = tempfile.mkdtemp(prefix="review-")
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = free.getsockname()
        self.config = os.path.join(self.folder, "config.json")
        self.settings = settings
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.engines, self.resolver = engines, resolver
        self.process = None

    def write_config(self):
        servers = [dict(e.listing, id=e.name, addr="127.0.0.1:%d" % e.port) for e in self.engines]
        roster = {"version": self.resolver.number, "full": True, "servers": servers}
        known = {"no": self.resolver.number, "items": [{"no": self.resolver.number, "roster": roster}]}
        config = {"name": self.name, "listen": "%s:%d" % self.address, "seed": "8c1f30d27a5be964",
                  "limits": self.limits, "dns": "127.0.0.1:%d" % self.resolver.port, "known": known,
                  "settings": self.settings}
        with open(self.config, "w") as out:
            json.dump(config, out)

    def start(self):
        """Starts a process and waits until it answers `alive`."""
        for _ in range(3):
            self.write_config()
            if self.launch():
                return self
            # Somebody else has taken the port since it was found free.
            with socket.create_server(("127.0.0.1", 0)) as free:
                self.address = free.getsockname()
        raise CannotRun("the gateway ended at its start")

    def launch(self):
        environment = dict(os.environ, PROXY_NAME=self.name, PROXY_LISTEN="%s:%d" % self.address,
                           PROXY_CONFIG=self.config, TMPDIR=self.folder)
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", deploy_command()], cwd=ROOT, env=environment,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        until = time.monotonic() + 30
        while time.monotonic() < until:
            if self.process.poll() is not None:
                return False
            try:
                client = Client(self.record, "front", self.address)
            except OSError:
                time.sleep(0.02)
                continue
            ready = client.ask_alive()
            client.close()
            if ready:
                self.record.note("gateway %s: ready, process %d" % (self.name, self.process.pid))
                return True
            time.sleep(0.02)
        raise CannotRun("the gateway was not ready within 30 s")

    def signal(self, number):
        self.process.send_signal(number)
        return self.record.note("gateway %s: %s" % (self.name, signal.Signals(number).name))

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


_ids = [int.from_bytes(os.urandom(6), "big") << 16]


def new_id():
    """An id of 16 hex digits that was not used before."""
    _ids[0] += 1
    return "%016x" % (_ids[0] & 0xFFFFFFFFFFFFFFFF)


def new_once():
    return os.urandom(16).hex()


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, case):
    """Runs `case(record, cleanup)`, which returns the breaks of the rule; ends all processes."""
    record, cleanup, code = Record(folder), [], 2

    def out_of_time(_number, _frame):
        raise CannotRun("out of time")

    signal.signal(signal.SIGTERM, out_of_time)
    try:
        breaks = case(record, cleanup)
        for text in breaks:
            record.note("BROKEN: " + text)
            print("BROKEN: " + text)
        if not breaks:
            print("the rule held")
        code = 1 if breaks else 0
    except CannotRun as why:
        record.note("could not run: %s" % why)
        print("could not run: %s" % why)
    except Exception as error:  # a fault of the case itself
        record.note("could not run: %r" % error)
        print("could not run: %r" % error)
        import traceback
        traceback.print_exc()
    finally:
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        for end in reversed(cleanup):
            end()
        record.write()
    sys.stdout.flush()
    os._exit(code)
