"""Clients that send 32 requests at once, with results of 45 kB, over links of 100 Mbit/s."""

import os
import subprocess
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import rig

LINK_BYTES_PER_S = 12.5e6
AT_ONCE = 32          # PROTOCOL: up to 32 requests may be open on one connection
PAGES = 8             # of 5,670 bytes each: PROTOCOL allows 6,000 a page and 48,000 a result
PAGE = (("x" * 940 + "\ta\tb\n") * 6).encode()
WORK_S = 0.25
CLIENTS = 6
WAIT_MS = 4000


class PageEngine(rig.Engine):
    """Serves each request after `WORK_S` with a result of `PAGES` pages."""

    def serve(self, sock):
        reader = rig.RespReader()
        try:
            while data := sock.recv(65536):
                reader.feed(data)
                out = []
                while words := reader.next():
                    if words[0] == "fetch":
                        with self.lock:
                            self.fetches.append(words[1])
                        self.record.note("%s: fetch %s %s" % (self.name, words[1], words[2]))
                        time.sleep(WORK_S)
                        fields = "batches=%d,cpu=%d,used=64.0" % (PAGES, WORK_S * 1000)
                        out.append(rig.resp(words[1], "ok", fields, PAGE))
                        self.record.note("%s: ok %s" % (self.name, words[1]))
                    elif words[0] == "more":
                        out.append(rig.resp(words[1], "batch", "batch=" + words[2], PAGE))
                    elif words[0] in ("stats", "alive"):
                        out.append(rig.resp(words[1], "yes", "-", ""))
                    elif words[0] == "abort":
                        self.record.note("%s: abort %s" % (self.name, words[1]))
                sock.sendall(b"".join(out))
        except OSError:
            pass
        sock.close()


def krakow():
    """Settings like those of krakow-ligi-regionalne, with one gateway."""
    settings = rig.settings(
        NInstances=1, Zones=["nowa-huta"], MachineTypes=["s8"], FamilyInfo__SizeCores=[8],
        FamilyInfo__MemoryByKindMb=[16384.0], FamilyInfo__LanesCount=False, Report={"How": "none", "Names": []},
        Contract__ExtraFree=3.0, Contract__ExtraPerRequest=0.2, Contract__LookBackUs=10000000,
        Contract__StopSendingWithinUs=500000, Contract__TipAfterUs=3000000)
    settings["Classes"][0].update(Name="szybkie", AimUs=750000, AimStretch=1.5, HardLimitUs=4000000)
    return settings


def case(record, cleanup):
    engines = [PageEngine(record, "s-%d" % n, None, zone="nowa-huta", kind="s8") for n in range(6)]
    resolver = rig.Resolver(record, engines, 1)
    gateway = rig.Gateway(record, krakow(), engines, resolver)
    cleanup.append(gateway.end)
    gateway.start()
    link = subprocess.Popen(
        [sys.executable, "-B", os.path.join(HERE, "..", "lib", "link.py"), str(gateway.address[1]),
         str(LINK_BYTES_PER_S)], stdout=subprocess.PIPE)
    cleanup.append(lambda: (link.kill(), link.wait()))
    address = ("127.0.0.1", int(link.stdout.readline()))
    sent = []
    for number in range(CLIENTS):
        client = rig.Client(record, "c%d" % number, address)
        burst = []
        for _ in range(AT_ONCE):
            fields = {"class": "szybkie", "wait": str(WAIT_MS), "cost": "%d" % (WORK_S * 1000), "heap_mb": "64"}
            try:
                request = client.send(rig.new_id(), fields, "select a, b, c from liga_%d.wyniki" % number)
            except OSError:
                break
            burst.append(request)
            if not rig.trouble():
                request.done.wait(5)
        for request in burst:
            request.done.wait(5)
        time.sleep(0.6)
        client.close()
        sent += burst
    breaks = []
    if gateway.process.poll() is not None:
        breaks.append("crash: the gateway ended")
    fetched = set(id for engine in engines for id in engine.fetches)
    for request in sent:
        if not request.answers:
            text = "lost: %s has no answer; its connection ended %.3f s after it was sent" % (
                request.id, (request.connection_ended or record.now()) - request.at)
            breaks.append(text + (", after an engine had run it" if request.id in fetched else ""))
        elif len(request.answers) > 1:
            breaks.append("two answers: %s" % request.id)
        elif request.answers[0][0] > request.at + request.wait + 0.55:
            breaks.append("lost: %s was answered too late" % request.id)
    record.note("%d requests sent, %d answered" % (len(sent), sum(1 for r in sent if r.answers)))
    print("%d requests sent, %d answered" % (len(sent), sum(1 for r in sent if r.answers)))
    return breaks


rig.run_case(HERE, case)
