"""The network between a client and a gateway, as a process: link.py PORT RATE. It takes connections on a free
port of loopback, which it prints, and passes bytes both ways; towards the client RATE bytes a second, with the
segment size of Ethernet. It reads and passes on all the time, and never holds, drops or resets anything."""

import socket
import sys
import threading
import time

port, rate = int(sys.argv[1]), float(sys.argv[2])
ETHERNET_SEGMENT = 1448


def to_gateway(client, gateway):
    try:
        while data := client.recv(65536):
            gateway.sendall(data)
        gateway.shutdown(socket.SHUT_WR)
    except OSError:
        pass


def to_client(client, gateway):
    free_at = time.monotonic()
    try:
        while data := gateway.recv(16384):
            client.sendall(data)
            free_at = max(free_at, time.monotonic()) + len(data) / rate
            time.sleep(max(0.0, free_at - time.monotonic()))
        client.shutdown(socket.SHUT_WR)
    except OSError:
        try:
            client.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


listener = socket.create_server(("127.0.0.1", 0))
print(listener.getsockname()[1], flush=True)
while True:
    client, _ = listener.accept()
    gateway = socket.socket()
    gateway.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET_SEGMENT)
    gateway.connect(("127.0.0.1", port))
    for end in (client, gateway):
        end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    threading.Thread(target=to_gateway, args=(client, gateway), daemon=True).start()
    threading.Thread(target=to_client, args=(client, gateway), daemon=True).start()
