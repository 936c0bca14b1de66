"""Plain HTTP with JSON, on a connection of its own for each request."""

import http.client
import json

TIMEOUT_S = 60


class Reply:
    """Status, headers and body of an answer."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


def connect(address, timeout_s=TIMEOUT_S):
    host, port = address.rsplit(":", 1)
    return http.client.HTTPConnection(host, int(port), timeout=timeout_s)


def request(address, method, path, body=None, headers=None,
            timeout_s=TIMEOUT_S):
    """One request; body may be bytes, text or anything JSON can hold."""
    if body is not None and not isinstance(body, (bytes, str)):
        body = json.dumps(body)
    connection = connect(address, timeout_s)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return Reply(answer.status, dict(answer.getheaders()),
                     answer.read().decode("utf-8", "replace"))
    finally:
        connection.close()


def get_json(address, path, timeout_s=TIMEOUT_S):
    return request(address, "GET", path, timeout_s=timeout_s).json()


def set_fault(process, **fault):
    """Sets faults of a stand-in."""
    reply = request(process.http, "POST", "/_fault", fault)
    assert reply.status == 200, reply.body
