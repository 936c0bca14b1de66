"""A TCP relay that can refuse, go silent, or break what is open."""

import select
import socket
import threading


class Relay:
    """Forwards 127.0.0.1:port to a target while open.

    cut(): new connections are closed at once, open ones are closed.
    silence(): open connections stay open and deliver nothing more for good;
    new ones work.
    black_hole(): all connections, new ones as well, deliver nothing.
    heal(): new connections work again.
    """

    def __init__(self, target=None):
        self._target = None
        if target:
            self.forward_to(target)
        self._lock = threading.Lock()
        self._pairs = []
        self._mode = "open"
        self._closing = False
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def forward_to(self, target):
        """Connections go to this address from now on."""
        host, port = target.rsplit(":", 1)
        self._target = (host, int(port))

    def cut(self):
        with self._lock:
            self._mode = "cut"
            pairs, self._pairs = self._pairs, []
        for pair in pairs:
            pair.close()

    def silence(self):
        with self._lock:
            for pair in self._pairs:
                pair.silent = True

    def black_hole(self):
        with self._lock:
            self._mode = "silent"
            for pair in self._pairs:
                pair.silent = True

    def heal(self):
        with self._lock:
            self._mode = "open"

    def close(self):
        self._closing = True
        self._listener.close()
        self.cut()

    def _accept(self):
        while not self._closing:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(client,),
                             daemon=True).start()

    def _serve(self, client):
        with self._lock:
            mode = self._mode
        if mode == "cut" or not self._target:
            client.close()
            return
        try:
            server = socket.create_connection(self._target, timeout=10)
        except OSError:
            client.close()
            return
        pair = _Pair(client, server, mode == "silent")
        with self._lock:
            self._pairs.append(pair)
        pair.pump()
        with self._lock:
            if pair in self._pairs:
                self._pairs.remove(pair)


class _Pair:
    """Two connected sockets and the copying between them."""

    def __init__(self, client, server, silent):
        self.sockets = (client, server)
        self.silent = silent
        for sock in self.sockets:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def pump(self):
        client, server = self.sockets
        other = {client: server, server: client}
        try:
            while True:
                readable, _, _ = select.select(self.sockets, [], [], 1.0)
                for sock in readable:
                    data = sock.recv(65536)
                    if not data:
                        return
                    if not self.silent:
                        other[sock].sendall(data)
        except (OSError, ValueError):
            return
        finally:
            self.close()

    def close(self):
        for sock in self.sockets:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()
