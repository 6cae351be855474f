"""Stand-ins for the second review's cases: clients, warehouse nodes, the resolver, and the gateway's process.

Only Python's standard library, loopback addresses, and ports that the kernel gives. Everything runs in one asyncio
loop; the gateway alone is a process of its own, started by the command that deploy/balancer.toml names.
"""

import asyncio
import json
import os
import secrets
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case's conditions could not be set up."""


class Record:
    """Writes what was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", buffering=1, encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def note(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")


# ---------------------------------------------------------------- the resolver


def dns_name(text):
    return b"".join(bytes([len(label)]) + label.encode() for label in text.split(".")) + b"\0"


def dns_record(name, kind, data, ttl=1):
    return dns_name(name) + struct.pack(">HHIH", kind, 1, ttl, len(data)) + data


class Resolver(asyncio.DatagramProtocol):
    """Answers the query for the list of warehouse nodes with all of it."""

    SERVICE = "_api._tcp.svc.local"

    def __init__(self, record):
        self.record, self.number, self.nodes, self.silent, self.queries = record, 1, [], False, 0

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.port = self.transport.get_extra_info("sockname")[1]
        return self

    def connection_made(self, transport):
        pass

    def change(self, why):
        self.number += 1
        self.record.note(f"list {self.number}: {why}")

    def datagram_received(self, data, peer):
        self.queries += 1
        if self.silent or len(data) < 12:
            return
        question = data[12:]
        answers, extra = b"", b""
        listed = [node for node in self.nodes if node.state != "gone"]
        for node in listed:
            host = f"{node.name}.{node.zone}.hosts"
            srv = struct.pack(">HHH", 1 if node.state == "draining" else 0, int(node.weight * 10), node.port)
            answers += dns_record(self.SERVICE, 33, srv + dns_name(host))
            extra += dns_record(host, 1, socket.inet_aton(node.host))
            strings = [f"kind={node.kind}", f"cell={node.cell}", f"started={node.started_ms}"]
            extra += dns_record(host, 16, b"".join(bytes([len(s)]) + s.encode() for s in strings))
        soa = dns_name("ns.svc.local") + dns_name("admin.svc.local")
        soa += struct.pack(">IIIII", self.number, 1, 1, 1, 1)
        head = struct.pack(">HHHHHH", struct.unpack(">H", data[:2])[0], 0x8400, 1, len(listed), 1, 2 * len(listed))
        self.transport.sendto(head + question + answers + dns_record("svc.local", 6, soa) + extra, peer)


# ---------------------------------------------------------------- warehouse nodes


def resp_array(*parts):
    out = b"*%d\r\n" % len(parts)
    for part in parts:
        part = part if isinstance(part, bytes) else str(part).encode()
        out += b"$%d\r\n%s\r\n" % (len(part), part)
    return out


async def read_resp_array(reader):
    line = await reader.readuntil(b"\r\n")
    if line[:1] != b"*":
        raise ValueError("no array")
    parts = []
    for _ in range(int(line[1:])):
        length = int((await reader.readuntil(b"\r\n"))[1:])
        parts.append((await reader.readexactly(length + 2))[:-2])
    return parts


class Run:
    """One `fetch` that reached a node."""

    def __init__(self, node, writer, request, fields, body):
        self.node, self.writer, self.id, self.fields, self.body = node, writer, request, fields, body
        self.at, self.given_up = node.record.now(), asyncio.Event()
        self.applied = False

    def send(self, word, fields="-", body=b""):
        self.node.record.note(f"{self.node.name} answers {self.id}: {word} {fields}")
        self.writer.write(resp_array(self.id, word, fields, body))

    def ok(self, body=None, cpu_ms=20):
        body = body if body is not None else f"{self.id}\tpage 0\trow 0\n".encode()
        self.send("ok", f"batches=1,cpu={cpu_ms},used=16,l=util:0.2", body)


class Node:
    """A warehouse node. `behave(run)` is the coroutine that runs a request; the default one answers after 20 ms.

    Repeats of an idempotency key are dropped for `window` seconds, counted from when the first one came; `memory` is
    shared by the nodes of a group. `effects` holds every time at which an effect was applied.
    """

    def __init__(self, record, name, memory=None, window=None, effects=None, zone="east", kind="std", cell=0):
        self.record, self.name, self.zone, self.kind, self.cell = record, name, zone, kind, cell
        self.state, self.weight, self.started_ms, self.host = "ready", 4, 0, "127.0.0.1"
        self.memory = memory if memory is not None else {}
        self.effects = effects if effects is not None else []
        self.window, self.behave, self.runs, self.writers = window, self.answer, [], set()
        self.hung = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def apply(self, run):
        """Runs the statement, unless its key is one that the group still remembers. True if it was applied."""
        key = run.fields.get("op")
        now = self.record.now()
        if key is not None and self.window is not None:
            first = self.memory.get(key)
            if first is not None and now - first <= self.window:
                self.record.note(f"{self.name} drops the repeat {run.id} of key {key}, first run {now - first:.3f} s ago")
                return False
            self.memory[key] = now
        self.effects.append((now, key, run.id, self.name))
        run.applied = True
        self.record.note(f"{self.name} applies {run.id} key {key}")
        return True

    async def answer(self, run):
        self.apply(run)
        await asyncio.sleep(0.02)
        run.ok()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        writer.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        open_runs = {}
        try:
            while True:
                parts = await read_resp_array(reader)
                word, request = parts[0].decode(), parts[1].decode()
                if word == "fetch":
                    text = parts[2].decode()
                    fields = {} if text == "-" else dict(pair.split("=", 1) for pair in text.split(","))
                    run = Run(self, writer, request, fields, parts[3])
                    self.record.note(f"{self.name} gets fetch {request} {text}")
                    self.runs.append(run)
                    open_runs[request] = (run, asyncio.ensure_future(self.work(run)))
                elif word in ("alive", "stats"):
                    if not self.hung:
                        writer.write(resp_array(request, "yes", "l=util:0.2", b""))
                elif word in ("abort", "done"):
                    self.record.note(f"{self.name} gets {word} {request}")
                    entry = open_runs.pop(request, None)
                    if entry and word == "abort":
                        entry[0].given_up.set()
                        entry[1].cancel()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            for run, task in open_runs.values():
                if not task.done():
                    self.record.note(f"{self.name}: connection over under {run.id}")
                    run.given_up.set()
                    task.cancel()
            self.writers.discard(writer)
            writer.close()

    async def work(self, run):
        try:
            await self.behave(run)
        except asyncio.CancelledError:
            pass

    def reset(self, run):
        """Ends the connection of a run with a reset."""
        self.record.note(f"{self.name} resets the connection under {run.id}")
        run.writer.transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        run.writer.transport.abort()


# ---------------------------------------------------------------- the network before a node


class Network:
    """The network between the gateway and one node, which can be cut.

    It does what TCP does over a cut: nothing comes through while it lasts, and connections do not come up. What was
    written meanwhile arrives when it ends, also behind a close in order (FIN). Nothing arrives of a connection that
    its writer has reset, since a reset frees what had not been acknowledged.
    """

    def __init__(self, record, node):
        self.record, self.node, self.whole, self.fill = record, node, asyncio.Event(), []
        self.carriers = []  # the loop alone does not keep its tasks
        self.whole.set()

    async def start(self):
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)
        self.listener.setblocking(False)
        self.node_port, self.node.port = self.node.port, self.listener.getsockname()[1]
        self.task = asyncio.ensure_future(self.accept())
        return self

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            await self.whole.wait()
            taken, _ = await loop.sock_accept(self.listener)
            if not self.whole.is_set():
                # One that came up in the moment of the cut.
                await self.whole.wait()
            self.carriers.append(asyncio.ensure_future(self.carry(taken)))

    async def carry(self, taken):
        near = await asyncio.open_connection(sock=taken, limit=1 << 20)
        far = await asyncio.open_connection("127.0.0.1", self.node_port, limit=1 << 20)
        await asyncio.gather(self.pump(near[0], far[1]), self.pump(far[0], near[1]))

    async def pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(1 << 16)
                if not self.whole.is_set():
                    await self.whole.wait()
                    if reader.exception() is not None:
                        raise ConnectionResetError
                if not data:
                    break
                writer.write(data)
            if writer.can_write_eof():
                writer.write_eof()
        except (ConnectionError, OSError):
            writer.transport.abort()

    def cut(self):
        self.record.note(f"{self.node.name} is cut off")
        self.whole.clear()
        self.listener.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.fill.append(filler)

    def heal(self):
        self.record.note(f"the cut before {self.node.name} is over")
        for filler in self.fill:
            filler.close()
        self.fill.clear()
        self.listener.listen(128)
        self.whole.set()


# ---------------------------------------------------------------- clients


def thrift_string(data):
    data = data if isinstance(data, bytes) else str(data).encode()
    return struct.pack(">i", len(data)) + data


def thrift_message(method, kind, number, content):
    message = struct.pack(">I", 0x80010000 | kind) + thrift_string(method) + struct.pack(">i", number) + content
    return struct.pack(">i", len(message)) + message


def dispatch_frame(number, fields, body):
    content = struct.pack(">bhbbi", 13, 1, 11, 11, len(fields))
    content += b"".join(thrift_string(name) + thrift_string(value) for name, value in fields.items())
    content += struct.pack(">bh", 11, 2) + thrift_string(body) + b"\0"
    return thrift_message("dispatch", 1, number, content)


def cancel_frame(own_number, number):
    return thrift_message("cancelRequest", 4, own_number, struct.pack(">bhi", 8, 1, number) + b"\0")


def alive_frame(number):
    return thrift_message("alive", 1, number, struct.pack(">bhb", 2, 1, 0) + b"\0")


def read_thrift_value(data, at, kind):
    if kind == 2:
        return data[at] != 0, at + 1
    if kind == 8:
        return struct.unpack_from(">i", data, at)[0], at + 4
    if kind == 11:
        length = struct.unpack_from(">i", data, at)[0]
        return data[at + 4:at + 4 + length], at + 4 + length
    if kind == 12:
        return read_thrift_struct(data, at)
    if kind == 13:
        _, _, count = struct.unpack_from(">bbi", data, at)
        at, entries = at + 6, {}
        for _ in range(count):
            name, at = read_thrift_value(data, at, 11)
            value, at = read_thrift_value(data, at, 11)
            entries[name.decode()] = value.decode()
        return entries, at
    raise ValueError(f"type {kind}")


def read_thrift_struct(data, at):
    fields = {}
    while data[at]:
        kind, number = struct.unpack_from(">bh", data, at)
        fields[number], at = read_thrift_value(data, at + 3, kind)
    return fields, at + 1


class Answer:
    def __init__(self, word, body=b"", fields=None, text=""):
        self.word, self.body, self.fields, self.text = word, body, fields or {}, text

    def __repr__(self):
        return f"{self.word} {self.fields or ''}{self.text}".strip()


class Client:
    """One connection of a client."""

    def __init__(self, record, name="client"):
        self.record, self.name, self.number, self.waiting, self.over = record, name, 0, {}, None

    async def connect(self, address):
        self.reader, self.writer = await asyncio.open_connection(*address, limit=1 << 20)
        self.writer.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.over = asyncio.get_running_loop().create_future()
        self.task = asyncio.ensure_future(self.read())
        return self

    async def read(self):
        try:
            while True:
                length = struct.unpack(">i", await self.reader.readexactly(4))[0]
                data = await self.reader.readexactly(length)
                kind = data[3]
                size = struct.unpack_from(">i", data, 4)[0]
                number = struct.unpack_from(">i", data, 8 + size)[0]
                fields, _ = read_thrift_struct(data, 12 + size)
                if kind == 3:
                    answer = Answer("exception", text=fields.get(1, b"").decode(errors="replace"))
                elif 0 in fields:
                    answer = Answer("Answer", fields[0].get(1, b""), {"good": fields[0].get(3)})
                elif 1 in fields:
                    answer = Answer("Backoff", fields=fields[1].get(1, {}))
                else:
                    answer = Answer("Lost", fields=fields.get(2, {}).get(1, {}))
                entry = self.waiting.pop(number, None)
                if entry is None:
                    self.record.note(f"{self.name} #{number}: an answer that nobody waits for: {answer}")
                elif not entry.done():
                    entry.set_result(answer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as why:
            for entry in self.waiting.values():
                if not entry.done():
                    entry.set_result(Answer("connection over", text=type(why).__name__))
            if not self.over.done():
                self.over.set_result(type(why).__name__)

    def send(self, frame):
        self.writer.write(frame)

    def ask(self, body="select 1", quiet=False, **fields):
        """Writes a request; returns its id, its number and the future of its answer."""
        self.number += 1
        fields.setdefault("id", secrets.token_hex(8))
        answer = asyncio.get_running_loop().create_future()
        self.waiting[self.number] = answer
        if not quiet:
            shown = " ".join(f"{name}={value}" for name, value in fields.items())
            self.record.note(f"{self.name} #{self.number} asks {shown}")
        self.send(dispatch_frame(self.number, fields, body))
        return fields["id"], self.number, answer

    async def answer(self, asked, within):
        """The answer to what `ask` returned; `None` if none has come within so many seconds."""
        request, number, future = asked
        try:
            answer = await asyncio.wait_for(asyncio.shield(future), within)
            self.record.note(f"{self.name} #{number} ({request}) is answered: {answer}")
            return answer
        except asyncio.TimeoutError:
            self.record.note(f"{self.name} #{number} ({request}) has no answer after {within} s")
            return None

    def cancel(self, number):
        self.number += 1
        self.record.note(f"{self.name} takes #{number} back")
        self.waiting.pop(number, None)
        self.send(cancel_frame(self.number, number))

    async def alive(self):
        self.number += 1
        future = asyncio.get_running_loop().create_future()
        self.waiting[self.number] = future
        self.send(alive_frame(self.number))
        return await asyncio.wait_for(future, 2)

    def close(self):
        self.task.cancel()
        self.writer.close()


# ---------------------------------------------------------------- the gateway


def run_command():
    """The `run` line of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        for line in file:
            if line.startswith("run = "):
                return json.loads(line.split("=", 1)[1].strip())
    raise CannotRun("the deploy file has no run")


def small_settings(classes, **changes):
    """Settings like those of a small deployment: those of the kit's example, with the case's classes."""
    settings = {
        "Me": 0, "NInstances": 3, "MachineTypes": ["std"], "Zones": ["east"], "Zone": 0, "QuantumUs": 5000,
        "Classes": classes, "Discovery": "pushed", "Weights": "rough",
        "Contract": {"ColdFrom": 0.31, "ColdUs": 15000000, "ExtraFree": 5.0, "ExtraPerRequest": 0.1, "FallMultiple": 4.0,
                     "GraceToAnswerUs": 20000, "LookBackUs": 5000000, "StopSendingWithinUs": 250000,
                     "TipAfterUs": 1500000, "TurnGapUs": 0},
        "FamilyInfo": {"SizeCores": [8.0], "MemoryByKindMb": [16384.0], "GrantCap": 0.5, "GrantsCount": True,
                       "LanesCount": True, "TellsCost": True, "WhenShort": "line_up",
                       "WidthByClass": [1] * len(classes)},
        "Report": {"How": "answers", "Names": ["load_share"]},
        "Limits": {"AttemptsCap": 3, "ConnIdleUs": 15000000, "ConnectTimeoutUs": 250000, "MayCancel": True,
                   "MayDuplicate": False, "OpenCap": 26037, "PeerMessages": False, "Probes": True,
                   "RetryAfter": False, "MaxRetryAfterUs": 500000, "StreamsPerConn": 32},
    }
    for part, values in changes.items():
        if isinstance(values, dict):
            settings[part] = {**settings.get(part, {}), **values}
        else:
            settings[part] = values
    return settings


def a_class(name, effect="repeatable", limit_ms=7500, aim_ms=None, window_ms=5000, group="all", in_order=False,
            worth=1.0, late_worth=0.5, stretch=2.0):
    return {"Name": name, "AimUs": (aim_ms or limit_ms // 3) * 1000, "AimStretch": stretch, "HardLimitUs": limit_ms * 1000,
            "Worth": worth, "LateWorth": late_worth, "Effect": effect, "Group": group, "WindowUs": window_ms * 1000,
            "FifoByKey": in_order, "Stream": False}


class Gateway:
    def __init__(self, record, folder, resolver, settings, name="n0", memory_mb=192, sockets=1024):
        self.record, self.folder, self.resolver, self.settings = record, folder, resolver, settings
        self.name, self.limits, self.process = name, {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}, None
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind(("127.0.0.1", 0))
            self.address = ("127.0.0.1", probe.getsockname()[1])

    def write_config(self):
        servers = [
            {"id": node.name, "addr": f"{node.host}:{node.port}", "zone": node.zone, "kind": node.kind, "cell": node.cell,
             "state": node.state, "weight": node.weight, "started_ms": node.started_ms}
            for node in self.resolver.nodes if node.state != "gone"]
        number = self.resolver.number
        config = {
            "name": self.name, "listen": "%s:%d" % self.address, "seed": secrets.token_hex(8), "limits": self.limits,
            "dns": f"127.0.0.1:{self.resolver.port}",
            "known": {"no": number, "items": [{"no": number, "roster": {"version": 1, "full": True, "servers": servers}}]},
            "settings": self.settings}
        path = os.path.join(self.folder, self.name + ".json")
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.replace(path + ".new", path)
        return path

    async def start(self):
        path = self.write_config()
        scratch = os.path.join(self.folder, self.name + "-tmp")
        os.makedirs(scratch, exist_ok=True)
        environment = {**os.environ, "PROXY_NAME": self.name, "PROXY_LISTEN": "%s:%d" % self.address,
                       "PROXY_CONFIG": path, "TMPDIR": scratch}
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CannotRun(f"the gateway ended at its start: {self.process.returncode}")
            try:
                client = await Client(self.record, "front").connect(self.address)
                answer = await client.alive()
                client.close()
                if answer.fields.get("good"):
                    self.record.note(f"gateway {self.name} is ready")
                    return self
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the gateway is not ready after 30 s")

    def signal(self, number):
        self.record.note(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def crashed(self):
        """How the process ended, if it has."""
        return self.process.poll()

    def memory_kb(self, what="VmRSS"):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            return next((int(line.split()[1]) for line in file if line.startswith(what + ":")), 0)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


class Rig:
    """What a case runs on. `trouble` is false when the case is to be played without its disruption."""

    def __init__(self, record, folder, trouble):
        self.record, self.folder, self.trouble, self.gateways = record, folder, trouble, []

    async def nodes(self, count, **options):
        self.resolver = await Resolver(self.record).start()
        for index in range(count):
            self.resolver.nodes.append(await Node(self.record, f"s-{0x10 + index:08x}", **options).start())
        return self.resolver.nodes

    async def gateway(self, settings, **options):
        gateway = Gateway(self.record, self.folder, self.resolver, settings, **options)
        self.gateways.append(gateway)
        return await gateway.start()

    async def client(self, gateway, name="client"):
        return await Client(self.record, name).connect(gateway.address)


def play(case_file, case, seconds=110):
    """Plays `case(rig)`, which returns the ways in which the rule was broken, and exits as the review asks."""
    folder = os.path.dirname(os.path.abspath(case_file))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    scratch = tempfile.mkdtemp(prefix="violetward-review-")
    rig = Rig(record, scratch, trouble)
    record.note(f"trouble: {'yes' if trouble else 'no'}")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    code = CANNOT_RUN
    try:
        broken = asyncio.run(asyncio.wait_for(case(rig), seconds))
        for gateway in rig.gateways:
            ended = gateway.crashed()
            if ended is not None and gateway.name not in getattr(rig, "may_have_ended", ()):
                broken = [*broken, f"gateway {gateway.name} has ended by itself: {ended}"]
        for line in broken:
            record.note(f"BROKEN: {line}")
            print(f"broken: {line}")
        if not broken:
            record.note("the rule held")
            print("held")
        code = BROKEN if broken else HELD
    except (CannotRun, asyncio.TimeoutError, OSError, SystemExit) as why:
        record.note(f"could not run: {why!r}")
        print(f"could not run: {why!r}")
    finally:
        for gateway in rig.gateways:
            gateway.end()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(scratch, keep, dirs_exist_ok=True)
        shutil.rmtree(scratch, ignore_errors=True)
    # Sockets that are still open end with this process.
    record.file.flush()
    sys.stdout.flush()
    os._exit(code)
