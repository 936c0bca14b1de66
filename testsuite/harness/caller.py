"""A caller of the desk: programs, turns, streams and plain services."""

import json

from harness import http_client
from harness.waiting import wait_for

PREFIX = "X-Dotterelshed-"


class Answer:
    """What a caller was told about one call."""

    def __init__(self, status, fields, text, body):
        self.status = status
        self.outcome = fields.get("outcome")
        self.reason = fields.get("reason")
        self.request = fields.get("request")
        self.program = fields.get("program")
        self.turn = int(fields.get("turn") or 0)
        self.token = fields.get("token")
        self.spent = int(fields.get("spent") or 0)
        self.remaining = int(fields.get("remaining") or 0)
        self.message = fields.get("message")
        self.provisional = bool(fields.get("provisional"))
        self.text = text
        self.body = body
        self.tool_calls = []

    @property
    def done(self):
        return self.outcome == "done"

    def json(self):
        return json.loads(self.body)

    def __repr__(self):
        return (f"Answer({self.status} {self.outcome}/{self.reason} "
                f"request={self.request} program={self.program} "
                f"turn={self.turn} message={self.message!r} "
                f"body={self.body[:300]!r})")


def _fields(headers):
    return {name[len(PREFIX):].lower(): value
            for name, value in headers.items()
            if name.lower().startswith(PREFIX.lower())}


def _answer(reply):
    text = ""
    tool_calls = []
    try:
        message = json.loads(reply.body)["choices"][0]["message"]
        text = message.get("content") or ""
        tool_calls = message.get("tool_calls") or []
    except (ValueError, KeyError, TypeError, IndexError):
        pass
    answer = Answer(reply.status, _fields(reply.headers), text, reply.body)
    answer.tool_calls = tool_calls
    return answer


def headers_for(account, **options):
    """Request headers: program, token, turn, request, parent, ...; key."""
    headers = {"Authorization": f"Bearer {account}",
               "Content-Type": "application/json"}
    key = options.pop("key", None)
    if key:
        headers["Idempotency-Key"] = key
    for name, value in options.items():
        if value is not None:
            headers[PREFIX + name.replace("_", "-").title()] = str(value)
    return headers


def chat_body(messages, model="hydro", stream=False, max_tokens=400):
    if isinstance(messages, str):
        messages = [{"role": "user", "content": messages}]
    return {"model": model, "messages": messages, "stream": stream,
            "max_tokens": max_tokens}


def chat(host, messages, account="watch", model="hydro", max_tokens=400,
         **options):
    """A model call without streaming."""
    reply = http_client.request(
        host.http, "POST", "/v1/chat/completions",
        chat_body(messages, model, max_tokens=max_tokens),
        headers_for(account, **options))
    return _answer(reply)


def call_service(host, service, path, body, account="watch", **options):
    """A call of a plain service."""
    reply = http_client.request(
        host.http, "POST", f"/v1/services/{service}/{path}", body,
        headers_for(account, **options))
    return _answer(reply)


def ask_again(host, answer, account="watch"):
    """The answer of a call once more, by its request and program ids."""
    reply = http_client.request(
        host.http, "GET", f"/v1/requests/{answer.request}",
        headers=headers_for(account, program=answer.program))
    return _answer(reply)


def end_program(host, program, account="watch"):
    return http_client.request(
        host.http, "DELETE", f"/v1/programs/{program}",
        headers=headers_for(account))


class Stream:
    """A streamed call, read event by event."""

    def __init__(self, host, messages, account="watch", model="hydro",
                 max_tokens=4000, **options):
        self.text = ""
        self.fields = {}
        self.tool_calls = []
        self.finished = False
        self.replaced = False
        self.refusal = ""
        self._event = ""
        self._connection = http_client.connect(host.http)
        self._connection.request(
            "POST", "/v1/chat/completions",
            json.dumps(chat_body(messages, model, True, max_tokens)),
            headers_for(account, **options))
        self._response = self._connection.getresponse()
        self.status = self._response.status
        self.fields.update(_fields(dict(self._response.getheaders())))

    def read_event(self):
        """Reads up to the next data line. False at the end."""
        while True:
            line = self._response.readline()
            if not line:
                return False
            line = line.decode("utf-8").rstrip("\r\n")
            if line.startswith("event:"):
                self._event = line[6:].strip()
            elif line.startswith("data:"):
                self._take(line[5:].strip())
                return True
            elif line.startswith("{"):
                self.refusal = line

    def _take(self, data):
        event, self._event = self._event, ""
        if data == "[DONE]":
            self.finished = True
            return
        value = json.loads(data)
        if event == "dotterelshed":
            self.fields.update(value)
            return
        delta = value["choices"][0]["delta"] if value.get("choices") else {}
        self.text += delta.get("content") or ""
        self.tool_calls += delta.get("tool_calls") or []

    def read_until(self, condition):
        """Reads events until condition(self), or the end."""
        while not condition(self):
            if not self.read_event():
                return self
        return self

    def read_all(self):
        try:
            while self.read_event():
                pass
        finally:
            self.close()
        return self.answer()

    def answer(self):
        answer = Answer(self.status, self.fields, self.text, self.refusal)
        answer.tool_calls = self.tool_calls
        return answer

    def close(self):
        self._connection.close()


def stream(host, messages, **options):
    """A whole streamed call."""
    return Stream(host, messages, **options).read_all()


def until_done(call, hosts, limit_s=40):
    """Repeats call(host) over hosts, as a caller would, until it is done.

    Only refusals that say that nothing ran are repeated; a caller with one
    request id may repeat any other failure as well by passing the same id.
    """
    tries = []

    def attempt():
        host = hosts[len(tries) % len(hosts)]
        try:
            answer = call(host)
        except OSError as error:
            tries.append(error)
            return None
        tries.append(answer)
        return answer if answer.done else None

    try:
        return wait_for(attempt, "the call is done", limit_s)
    except AssertionError as error:
        raise AssertionError(f"{error}; last: {tries[-3:]}") from error


def expected_text(engine, messages, model="hydro", max_tokens=4000):
    """What the engines answer to these messages: the same text always."""
    reply = http_client.request(
        engine.http, "POST", "/v1/chat/completions",
        chat_body(messages, model, max_tokens=max_tokens))
    return reply.json()["choices"][0]["message"]["content"]
