"""Runs a script through the library for Python and says on one line what came of it; see `violetward-lab libraries`."""

import argparse
import json
import os
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "clients", "python"))

from violetward_client import Client, Ending, Kernels, Query

parser = argparse.ArgumentParser()
parser.add_argument("--script")
parser.add_argument("--workers", type=int)
parser.add_argument("--kernel", action="store_true")
parser.add_argument("to", nargs="+")
given = parser.parse_args()

with open(given.script) as file:
    lines = [json.loads(line) for line in file]
if given.kernel:
    library = Kernels(given.to, may_resend=True)
else:
    library = Client([(a.split(":")[0], int(a.split(":")[1])) for a in given.to], may_resend=True)
lock, left = threading.Lock(), iter(lines)
endings, by_mark, sends = {}, {}, 0


def work():
    global sends
    while True:
        with lock:
            line = next(left, None)
        if line is None:
            return
        query = Query(
            line["sql"], line["effect"], line["deadline_ms"] / 1e3, line["class"], line["key"], line["mark"], line["cpu_ms"] / 1e3,
        )
        try:
            word, tries = "served", library.run(query).sends
        except Ending as e:
            word, tries = type(e).__name__.lower(), 1
        with lock:
            sends += tries
            counts = endings.setdefault(line["class"], {})
            counts[word] = counts.get(word, 0) + 1
            if line["effect"] != "repeatable":
                by_mark[line["mark"]] = word


start = time.monotonic()
threads = [threading.Thread(target=work) for _ in range(given.workers)]
for thread in threads:
    thread.start()
for thread in threads:
    thread.join()
told = {"endings": endings, "by_mark": by_mark, "cpu": time.process_time(), "took": time.monotonic() - start, "sends": sends}
print(json.dumps(told), flush=True)
os._exit(0)
