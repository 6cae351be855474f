"""A rolling deploy replaces nine of ten engines in 34 s; each begins to drain while three of four gateways stand
still for 0.8 s."""

import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import rig

GATEWAYS = 4             # typery-warszawa: 3 to 5
STALLED = 3              # MORE, balancer_stall: 0.6 to 0.9 of them
STALL_S = 0.8            # MORE, balancer_stall: 300 to 2,000 ms
BETWEEN_S = 2.5          # MORE, balancer_stall: 4 to 2 s between stalls
RESOLVER_S = 0.03        # the time from a query to its answer
GRACE_S = 0.25 + 0.05    # the site's grace, and the slack of PROTOCOL
CLIENTS = 10             # of each gateway


def look_up(number):
    fields = {"class": "podglad", "wait": "7500", "cost": "150", "heap_mb": "64"}
    return fields, "select a from liga_%d.sklad" % number


def case(record, cleanup):
    engines = [rig.Engine(record, "s-%d" % n, rig.works_for(0.15)) for n in range(10)]
    worlds, owner = [], {}
    for me in range(GATEWAYS):
        resolver = rig.Resolver(record, list(engines), 1, delay=RESOLVER_S)
        gateway = rig.Gateway(record, rig.settings(NInstances=GATEWAYS, Me=me), engines, resolver, name="n%d" % me)
        cleanup.append(gateway.end)
        gateway.start()
        clients = [rig.Client(record, "n%d-c%d" % (me, n), gateway.address) for n in range(CLIENTS)]
        worlds.append((gateway, resolver, clients))

    def send(world):
        """One look-up of each client, all at once."""
        gateway, _, clients = world
        sent = [client.send(rig.new_id(), *look_up(n)) for n, client in enumerate(clients)]
        owner.update((request.id, gateway.name) for request in sent)
        return sent

    def traffic():
        """One look-up of each client, so that every gateway uses every engine."""
        for request in [request for world in worlds for request in send(world)]:
            request.done.wait(8)

    traffic()
    breaks, number = [], 1
    for victim in engines[:9]:
        traffic()
        sent, began = [], time.monotonic()
        number += 1
        for world in worlds[:STALLED]:
            gateway, resolver, _ = world
            resolver.next_query()
            if rig.trouble():
                gateway.signal(signal.SIGSTOP)
            resolver.change(victim, "draining", number)
            sent += send(world)
        worlds[STALLED][1].change(victim, "draining", number)
        for gateway, _, _ in worlds[:STALLED]:
            time.sleep(max(0.0, began + STALL_S - time.monotonic()))
            if rig.trouble():
                gateway.signal(signal.SIGCONT)
        for request in sent:
            request.done.wait(8)
        told = {gateway.name: resolver.told.get(number) for gateway, resolver, _ in worlds}
        for fetch in list(victim.fetches):
            since = told[owner[fetch.id]]
            if since is not None and fetch.at > since + GRACE_S:
                breaks.append("drain: %s got %s from %s %.3f s after that was told that it drains" % (
                    victim.name, fetch.id, owner[fetch.id], fetch.at - since))
        time.sleep(1.0)
        number += 2
        started = int(time.time() * 1000)
        successor = rig.Engine(record, "r-" + victim.name[2:], rig.works_for(0.15), started_ms=started)
        for _, resolver, _ in worlds:
            resolver.change(victim, "gone", number - 1)
            resolver.add(successor, number)
        time.sleep(BETWEEN_S - 1.0)
    for gateway, _, _ in worlds:
        if gateway.process.poll() is not None:
            breaks.append("crash: %s ended" % gateway.name)
    return breaks


rig.run_case(HERE, case)
