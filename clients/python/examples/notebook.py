"""A notebook's cell through the kernel: python notebook.py CONNECTION_FILE (see `violetward-lab demo --kernel FILE`)."""

import sys

from violetward_client import KernelClient, Query, Refused

client = KernelClient(sys.argv[1])
try:
    query = Query("SELECT name, price FROM players ORDER BY price DESC LIMIT 5", klass="lookup", deadline=3.0)
    print(client.run(query).text)
except Refused as ending:
    print(f"busy; come back in {ending.retry_after:.1f} s")
finally:
    client.close()
