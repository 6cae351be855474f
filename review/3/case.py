"""A second after an engine has begun to drain, two answers of the resolver hold the list of before the gateway's
last restart."""

import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import rig

ROUNDS = 3
OLDER_ANSWERS = 2
GRACE_S = 0.25 + 0.05    # the site's grace, and the slack of PROTOCOL
CLIENTS = 8


def look_up(number):
    fields = {"class": "podglad", "wait": "7500", "cost": "100", "heap_mb": "64"}
    return fields, "select a from liga_%d.sklad" % number


def traffic(record, gateway, stop, sent):
    """Clients that send a look-up every 0.1 s each."""

    def drive(number):
        client = rig.Client(record, "c%d" % number, gateway.address)
        while not stop.is_set():
            request = client.send(rig.new_id(), *look_up(number))
            sent.append(request)
            request.done.wait(8)
            time.sleep(0.1)
        client.close()

    drivers = [threading.Thread(target=drive, args=(n,), daemon=True) for n in range(CLIENTS)]
    for driver in drivers:
        driver.start()
    return drivers


def case(record, cleanup):
    engines = [rig.Engine(record, "s-%d" % n, rig.works_for(0.1)) for n in range(7)]
    breaks = []
    for number in range(ROUNDS):
        victim = engines[number]
        # The first life: an engine drains, leaves and comes back, so that the last list has the number 4.
        resolver = rig.Resolver(record, engines, 1)
        gateway = rig.Gateway(record, rig.settings(), engines, resolver, name="n%d" % number)
        cleanup.append(gateway.end)
        gateway.start()
        for event, state in ((2, "draining"), (3, "gone"), (4, "ready")):
            time.sleep(0.3)
            if state == "ready":
                engines[6].listing["started_ms"] = int(time.time() * 1000)
            resolver.change(engines[6], state, event)
        time.sleep(0.5)
        last_list = (4, dict(resolver.states))
        gateway.signal(signal.SIGKILL)
        gateway.process.wait()
        # The second life: the numbers begin with 1 again.
        resolver.stop()
        resolver = rig.Resolver(record, engines, 1)
        gateway.resolver = resolver
        gateway.start()
        stop, sent = threading.Event(), []
        drivers = traffic(record, gateway, stop, sent)
        time.sleep(1.5)
        resolver.change(victim, "draining", 2)
        time.sleep(1.0)
        if rig.trouble():
            resolver.send_older(OLDER_ANSWERS, *last_list)
        time.sleep(3.5)
        stop.set()
        for driver in drivers:
            driver.join(10)
        told = resolver.told[2]
        late = [fetch for fetch in victim.fetches if fetch.at > told + GRACE_S]
        for fetch in late:
            breaks.append("drain: %s got %s %.3f s after the gateway was told that it drains" % (
                victim.name, fetch.id, fetch.at - told))
        if gateway.process.poll() is not None:
            breaks.append("crash: the gateway ended")
        gateway.end()
        resolver.stop()
    return breaks


rig.run_case(HERE, case)
