"""Seeded streams of bytes on callers' connections, judged by a second parser.

    caller_fuzz.py [--seeds FIRST LAST] [--subnet N] [--at-once N] [--seconds S] [--failures N] [--minimised N]

A router on loopback stands before a plain server that is part of this script and records every
request that reaches it. http_judge.py, written from RFC 9112, says for each stream which requests it
holds. A stream fails if another request than these reaches the server, or one of them in another
form, not once, or not at all; if a request has no response, one with a wrong framing, or one out of
order; or if a connection goes on after a request that could not be read. A failing stream is printed
with its seed and made smaller."""

import argparse
import asyncio
import hashlib
import json
import os
import random
import re
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleets  # noqa: E402
import http_judge  # noqa: E402
import platform_fleet  # noqa: E402

HOST = platform_fleet.HOST.encode()
KEY = b"key-skagen"
WAIT_S = 14.0          # for all responses of a stream and its end; a router waits 10 s for a request
SERVER = "recorder"
SERVED = (b"GET", b"HEAD", b"POST", b"PUT", b"PATCH", b"DELETE", b"OPTIONS")
ROUTES = (b"/lookup/", b"/file/", b"/open/")
PUBLIC = b"/open/"
MAX_PRINTED = 1500     # bytes of a failing stream
MAX_TRIALS = 60        # to make one smaller
TRIAL_WAIT_S = 0.5


# ---- the server ----

class Recorder:
    """A plain server that keeps what reaches it, by request id."""

    def __init__(self, address, store):
        self.address, self.store = address, store
        self.seen, self.faults = {}, []
        self.ended = False

    async def start(self):
        ip, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, ip, int(port), limit=1 << 22)
        threading.Thread(target=self.register, daemon=True).start()

    def register(self):
        base, born, sequence, known = "http://%s/v1/objects/servers" % self.store, int(time.time() * 1000), 0, False
        while not self.ended:
            sequence += 1
            spec = {"service": "register", "address": self.address, "zone": "hal-1", "version": "v1", "slots": 64,
                    "state": "ready", "warmupLeftMs": 0, "seq": sequence, "born": born}
            body = json.dumps({"metadata": {"name": SERVER}, "spec": spec})
            status = fleets.http("PUT" if known else "POST", base + "/" + SERVER if known else base, body)[0]
            known = status in (200, 201, 409) or known and status != 404
            time.sleep(0.6)

    async def serve(self, reader, writer):
        data = b""
        try:
            while True:
                try:
                    request = http_judge.read_request(data, 0)
                    # A target is passed on as it is.
                    if request and (set(request.lenient) - {http_judge.ODD_TARGET} or request.refused):
                        self.faults.append("from the router: %s %s %r" % (request.lenient, request.refused,
                            data[:600]))
                except http_judge.Incomplete:
                    request = None
                except http_judge.Broken as broken:
                    self.faults.append("from the router: %s %r" % (broken, data[:600]))
                    return
                if request:
                    data = data[request.end:]
                    writer.write(self.respond(request))
                    continue
                piece = await reader.read(65536)
                if not piece:
                    if data:
                        self.faults.append("from the router: a request that is not whole: %r" % data[:600])
                    return
                data += piece
        except OSError:
            pass
        finally:
            writer.close()

    def respond(self, request):
        if request.target == b"/health":
            return b"HTTP/1.1 200 OK\r\nChervilpass-Instance-Id: recorder\r\nContent-Length: 0\r\n\r\n"
        ids = request.values(b"chervilpass-request-id")
        if len(ids) != 1:
            self.faults.append("request ids %r" % ids)
        number = (ids or [b""])[0]
        self.seen.setdefault(number, []).append(request)
        status, body = asked_response(request.method, request.target, request.body)
        head = (b"HTTP/1.1 %d S\r\nChervilpass-Request-Id: %s\r\nChervilpass-Instance-Id: recorder\r\n"
                b"Chervilpass-Server-Load: 0,0,64\r\nChervilpass-Server-Seal: seal-%s\r\n" % (status, number, number))
        if status == 204:
            return head + b"\r\n"
        if b"c=1" in request.target:
            head += b"Transfer-Encoding: chunked\r\n\r\n"
            body = (b"%x\r\n%s\r\n" % (len(body), body) if body else b"") + b"0\r\n\r\n"
        else:
            head += b"Content-Length: %d\r\n\r\n" % len(body)
        return head if request.method == b"HEAD" or status == 304 else head + body


def asked_response(method, target, body):
    """(status, body) of the server's answer, which the query asks for."""
    status = re.search(rb"[?&]s=([0-9]{3})", target)
    size = re.search(rb"[?&]n=([0-9]{1,4})", target)
    digest = hashlib.sha1(b"%s %s %s" % (method, target, body)).hexdigest().encode()
    return int(status.group(1)) if status and status.group(1) in (b"204", b"304", b"404") else 200, \
        digest + b"." * int(size.group(1) if size else 0)


# ---- streams ----

class Stream:
    def __init__(self, seed, parts, cuts, half_closes):
        self.seed, self.parts, self.cuts, self.half_closes = seed, parts, cuts, half_closes

    def bytes(self):
        return b"".join(self.parts)


METHODS = (b"GET",) * 6 + (b"POST",) * 6 + SERVED + (b"HEAD", b"HEAD", b"TRACE", b"CONNECT", b"BREW", b"get", b"G(T",
           b"")
HOSTS = (b"",) + (b"Host: %s\r\n" % HOST,) * 3 + (
         b"Host: app.example, app.example\r\n", b"Host: app example\r\n", b"Host: app.example/x\r\n", b"Host:\r\n",
         b"Host: app.example:80x\r\n", b"Host: other.example\r\n", b"host: APP.example:7000\r\n",
         b"Host: app.example.\r\n",
         b"Host: app.example\r\nHost: app.example\r\n", b"Host: app.example\r\nHost: other.example\r\n",
         b"Host: other.example\r\nhost: app.example\r\n", b"Host : app.example\r\n", b"Host: app.example\r\n \r\n",
         b"Host: u@app.example\r\n", b"Host: [::1]:7000\r\n", b"Host:\tapp.example\t\r\n", b"Host:\r\n app.example\r\n")
LENGTHS = (b"Content-Length: %d", b"content-length:%d", b"Content-Length:  %d\t", b"Content-Length: 00%d",
           b"Content-Length: +%d",
           b"Content-Length: -%d", b"Content-Length: 0x%d", b"Content-Length: %d, %d", b"Content-Length: %d,",
           b"Content-Length: %d\r\nContent-Length: %d", b"Content-Length: %d\r\nContent-Length: 1%d",
           b"Content-Length: %d;", b"Content-Length : %d", b"Content-Length:\r\n %d", b"Content-Length: \"%d\"",
           b"Content-Length: %d.0", b"Content-Length: %d %d", b"Content-Length: 99999999999999999999%d",
           b"Content-Length: 18446744073709551616\r\nX-Fuzz-N: %d", b"Content-Length: 0\r\nContent-Length: %d",
           b"Content-Length:\r\nX-Fuzz-N: %d", b" Content-Length: %d", b"Content-Length: %d\x0b",
           b"X-Fuzz-N: 1\nContent-Length: %d",
           b"X-Fuzz-N: 1\rContent-Length: %d", b"Content_Length: %d", b"Content-Length\0: %d")
CODINGS = (b"Transfer-Encoding: Chunked", b"transfer-encoding:chunked", b"Transfer-Encoding: \tchunked ",
           b"Transfer-Encoding: ,chunked,",
           b"Transfer-Encoding: gzip", b"Transfer-Encoding: gzip, chunked", b"Transfer-Encoding: chunked, gzip",
           b"Transfer-Encoding: chunked, chunked", b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
           b"Transfer-Encoding: identity", b"Transfer-Encoding: identity, chunked", b"Transfer-Encoding:",
           b"Transfer-Encoding: xchunked", b"Transfer-Encoding: chunked;q=1", b"Transfer-Encoding : chunked",
           b"Transfer-Encoding:\r\n chunked", b"Transfer-Encoding: chunked\r\nContent-Length: 5",
           b"Transfer-Encoding: \"chunked\"",
           b"Content-Length: 5\r\nTransfer-Encoding: chunked", b"Transfer-Encoding: \x0bchunked",
           b" Transfer-Encoding: chunked",
           b"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
           b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
           b"Transfer-Encoding\0: chunked", b"X-Fuzz-N: 1\nTransfer-Encoding: chunked", b"Transfer_Encoding: chunked",
           b"Transfer-Encoding: chu\0nked", b"Transfer-Encoding: chunked\r\nConnection: Transfer-Encoding",
           b"Content-Length: 0\r\nConnection: Content-Length")
FIELDS = (b"X-Fuzz-A: b\r\n", b"X-Fuzz-A:b \r\n", b"X-Fuzz-A:\r\n", b"X-Fuzz-A: 1\r\nx-fuzz-a: 2\r\n",
          b"X-Fuzz-A: b\r\n c\r\n",
          b"X-Fuzz-A: b\r\n\tc\r\n", b"X-Fuzz-A: \x80\xff\r\n", b"X-Fuzz-A: \x01\r\n", b"X-Fuzz-A: a\rb\r\n",
          b"X-Fuzz-A: a\0\r\n",
          b"X-Fuzz-A: a\n", b"X-Fuzz A: b\r\n", b"X-Fuzz-A : b\r\n", b": b\r\n", b"X-Fuzz-A\r\n", b"X-Fuzz(: b\r\n",
          b"Connection: keep-alive\r\n", b"Connection: X-Fuzz-H\r\nX-Fuzz-H: b\r\n",
          b"Connection: close, X-Fuzz-H\r\nX-Fuzz-H: b\r\n",
          b"Connection: Close\r\n", b"Connection: Upgrade\r\nUpgrade: h2c\r\n", b"TE: trailers\r\nConnection: TE\r\n",
          b"Expect: 100-continue\r\n", b"expect: 100-Continue\r\n", b"Expect: 200-ok\r\n",
          b"Keep-Alive: timeout=5\r\n",
          b"X-Fuzz-A: \"a\r\nb\"\r\n", b"X-Fuzz-A: " + b"v" * 3000 + b"\r\n", b"Proxy-Connection: close\r\n",
          b"Connection: keep-alive, close\r\n", b"Connection: ,\r\n", b"Chervilpass-Tenant: other\r\n")
EXTENSIONS = (b";a", b";a=b", b" ; a = b", b";a=\"b;c\"", b";a=\"\\\"\"", b" ", b";", b";;", b";a=", b";a\nb",
              b";a\rb", b";a=\"b\nc\"",
              b"\t", b"x", b";\0", b" 3", b";a=b;c;d=e", b";" + b"e" * 300, b";a=\"b")
TRAILERS = (b"X-Fuzz-T: 1\r\n", b"X-Fuzz-T: 1\r\nX-Fuzz-U: 2\r\n", b"X-Fuzz-T: 1\r\n 2\r\n", b"X-Fuzz-T : 1\r\n",
            b"X-Fuzz-T\r\n",
            b"Content-Length: 3\r\n", b"Transfer-Encoding: chunked\r\n", b"Host: other.example\r\n",
            b"Authorization: Token other\r\n",
            b"Chervilpass-Tenant: other\r\n", b"X-Fuzz-T: 1\n", b"Connection: close\r\n", b" X: 1\r\n",
            b"Chervilpass-Deadline-Ms: 1\r\n",
            b"Expect: 100-continue\r\n")
VERSIONS = (b"HTTP/1.1",) * 9 + (b"HTTP/1.0", b"HTTP/1.0", b"HTTP/1.2", b"HTTP/2.0", b"HTTP/0.9", b"http/1.1",
            b"HTTP/1.", b"HTTP/1.10", b"")
BETWEEN = (b"", b"", b"", b"", b"", b"\r\n", b"\r\n", b"\r\n\r\n", b"\n", b"\r", b"\r\n\n", b" ", b"\0", b"x",
           b"\t\r\n")


class Generator:
    """`oddness` is the share of the places at which another than the usual form is taken."""

    def __init__(self, seed):
        self.seed, self.random, self.count = seed, random.Random(seed), 0
        self.oddness = self.random.choice((0.0, 0.02, 0.05, 0.1, 0.25))

    def odd(self):
        return self.random.random() < self.oddness

    def choose(self, usual, others):
        return self.random.choice(others) if self.odd() else usual

    def next_id(self):
        self.count += 1
        return b"f%d-%d" % (self.seed, self.count)

    def target(self):
        route = self.random.choice(ROUTES)
        path = route + self.random.choice((b"x", b"", b"a/b", b"%2e%2e/y", b"../z", b"a//b", b"a;b=c", b"%00",
            b"a:b@c"))
        query = self.random.choice((b"", b"", b"?", b"?a=b&c=1", b"?n=700", b"?s=204", b"?s=304", b"?s=404",
            b"?s=404&n=9&c=1",
                                    b"?n=20&c=1", b"?a?b/c", b"?a=http://x/y"))
        target = path + query
        if self.odd():
            target = self.random.choice((
                b"http://%s%s", b"HTTP://APP.EXAMPLE:7000%s", b"http://other.example%s", b"https://app.example%s",
                b"http://%s",
                b"http:///%s", b"http://app.example?a=%s", b"*", b"app.example:80", b"ftp://app.example%s",
                b"lookup/x", b"//%s", b"http:%s",
                b"%s#f", b"%s\x80", b"%s<>", b"%s x", b"%s\t", b"", b"http://app.example:7000", b"%s%%", b"%s\\",
                b"/none/x", b"http://:80%s")
            ).replace(b"%s", target, 1)
        return target

    def chunks(self, body):
        data, position = [], 0
        while position < len(body):
            size = self.random.randint(1, max(1, len(body)))
            piece = body[position:position + size]
            position += size
            digits = b"%x" % len(piece)
            if self.odd():
                digits = self.random.choice((digits.upper(), b"0" * 9 + digits, b"+" + digits, b"0x" + digits,
                    b" " + digits, b"-1",
                                             b"f" * 17, b"1" + b"0" * 16, b"%x" % (len(piece) + 1),
                                             b"%x" % max(0, len(piece) - 1), b"",
                                             b"0" * 40 + digits, b"1" + b"0" * 15 + digits))
            data.append(digits + self.choose(b"", EXTENSIONS) + self.choose(b"\r\n", (b"\n", b"\r", b"\r\r\n")))
            data.append(piece + self.choose(b"\r\n", (b"\n", b"", b"\r", b"\r\n\r\n")))
        data.append(self.choose(b"0", (b"000", b"", b"0 ", b"00;a=b", b"0;a")) + b"\r\n")
        data.append(self.choose(b"", TRAILERS) + self.choose(b"\r\n", (b"\n", b"", b"\r\r\n")))
        return data

    def body(self):
        choice = self.random.randint(0, 5)
        if choice == 0:
            return b""
        if choice == 1:  # would be a request by itself
            return self.plain(b"GET")
        if choice == 2:
            return b"0\r\n\r\n" + self.plain(b"GET")
        return bytes(self.random.choice(b"ab\r\n0 :") for _ in range(self.random.choice((1, 5, 5, 40, 3000))))

    def plain(self, method, fields=b""):
        return (b"%s /lookup/i HTTP/1.1\r\nHost: %s\r\nChervilpass-Request-Id: %s\r\n"
                b"Authorization: Token %s\r\n%s\r\n") % (method, HOST, self.next_id(), KEY, fields)

    def request(self):
        method = self.random.choice(METHODS[:-6]) if not self.odd() else self.random.choice(METHODS)
        framing = self.random.choice(("none", "none", "length", "length", "chunked", "chunked"))
        space = self.choose(b" ", (b"  ", b"\t", b"", b"\x0b", b"\r"))
        parts = [method + b" " + self.target() + space + self.choose(b"HTTP/1.1", VERSIONS) +
                 self.choose(b"\r\n", (b"\n", b" \r\n", b"\r\r\n", b"\r", b"\r\n "))]
        key = self.random.choice((b"Authorization: Token %s\r\n",) * 9 + (
            b"", b"authorization: TOKEN %s\r\n", b"Authorization: Token no\r\n"))
        fields = [b"Chervilpass-Request-Id: %s\r\n" % self.next_id(), key.replace(b"%s", KEY),
                  self.choose(b"Host: %s\r\n" % HOST, HOSTS)]
        for _ in range(self.random.choice((0, 0, 1, 2))):
            usual = b"X-Fuzz-B: %d\r\n" % self.random.randint(0, 9)
            fields.append(self.choose(usual, FIELDS))
        if self.random.random() < 0.08:
            fields.append(b"Expect: 100-continue\r\n")
        body = self.body() if framing != "none" else b""
        after = []
        if framing == "length":
            form = self.choose(LENGTHS[0], LENGTHS)
            fields.append(form.replace(b"%d", b"%d" % len(body)) + b"\r\n")
            after = [body]
        elif framing == "chunked":
            fields.append(self.choose(b"Transfer-Encoding: chunked", CODINGS) + b"\r\n")
            after = self.chunks(body)
        self.random.shuffle(fields)
        return parts + fields + [self.choose(b"\r\n", (b"\n", b"\r", b"\r\n\r\n"))] + after

    def stream(self):
        parts = []
        for number in range(self.random.choice((1, 1, 2, 3, 5))):
            parts.append(self.random.choice(BETWEEN) if self.odd() else self.random.choice(BETWEEN[:7])
                if number else b"")
            parts += self.request()
        ending = self.random.choice(("close", "close", "close", "half", "within", "more"))
        if ending != "half":
            parts.append(self.plain(b"GET", b"Connection: close\r\n"))
        if ending == "more":
            parts += self.request()
        parts = [part for part in parts if part]
        if ending == "within":
            cut = self.random.randint(1, len(b"".join(parts)) - 1)
            whole, parts = parts, []
            for part in whole:
                parts.append(part[:cut])
                cut -= len(parts[-1])
            parts = [part for part in parts if part]
        if self.random.random() < self.oddness:
            self.change_byte(parts)
        size = len(b"".join(parts))
        how = self.random.random()
        if how < 0.5:
            cuts = []
        elif how < 0.95 or size > 700:
            cuts = sorted(self.random.sample(range(size), min(size, self.random.choice((1, 2, 5)))))
        else:
            cuts = list(range(1, size))
        return Stream(self.seed, parts, cuts, ending in ("half", "within"))

    def change_byte(self, parts):
        """Not within a key or an id: these tell requests apart."""
        index = self.random.randrange(len(parts))
        part = parts[index]
        if b"Request-Id" in part or b"uthorization" in part:
            return
        position = self.random.randrange(len(part))
        how = self.random.randint(0, 2)
        byte = bytes([self.random.choice((0, 9, 10, 13, 32, 58, 44, 59, 127, 255, self.random.randint(0, 255)))])
        parts[index] = part[:position] + (byte if how else b"") + part[position + (1 if how < 2 else 0):]


# ---- the play ----

async def play(stream, address, wait_s=WAIT_S):
    """Writes a stream; returns the bytes received and whether the connection has ended."""
    ip, port = address
    received = []
    data, ended = stream.bytes(), False
    reader, writer = await asyncio.open_connection(ip, port)

    async def write():
        begin = 0
        try:
            for cut in [cut for cut in stream.cuts if cut < len(data)] + [len(data)]:
                writer.write(data[begin:cut])
                begin = max(begin, cut)
                if cut < len(data):
                    await asyncio.sleep(0.0002)
            if stream.half_closes:
                writer.write_eof()
        except OSError:
            pass

    async def read():
        while True:
            piece = await reader.read(65536)
            if not piece:
                return
            received.append(piece)

    writing = asyncio.ensure_future(write())
    try:
        await asyncio.wait_for(read(), wait_s)
        ended = True
    except asyncio.TimeoutError:
        pass
    except OSError:
        ended = True
    writing.cancel()
    writer.transport.abort()
    return b"".join(received), ended


class Fault(Exception):
    pass


def expected_statuses(request):
    """None: the server's. Else what the router may say by itself."""
    if request.refused:
        return (400,)
    if request.method in (b"TRACE", b"CONNECT"):
        return (405, 400, 404)
    if request.method not in SERVED:
        return (501, 400)
    host = re.sub(rb"\.?(:[0-9]*)?$", b"", request.host.lower())
    route = [route for route in ROUTES if request.target.startswith(route)]
    if host != HOST or not route:
        return (404, 400)
    keys = [re.fullmatch(rb"token (.*)", value, re.I) for value in request.values(b"authorization")]
    if route[0] != PUBLIC and (not keys or not keys[0] or keys[0].group(1) != KEY):
        return (401,)
    return None


def compare_arrival(request, arrival):
    for name in ("method", "target", "body"):
        if getattr(request, name) != getattr(arrival, name):
            raise Fault("%s at the server: %r, sent %r" % (name, getattr(arrival, name)[:200],
                getattr(request, name)[:200]))
    named = [option.lower() for option in request.items(b"connection")]
    sent = sorted((name.lower(), value) for name, value in request.fields
                  if name.lower().startswith(b"x-fuzz-") and name.lower() not in named)
    got = sorted((name.lower(), value) for name, value in arrival.fields + arrival.trailers
        if name.lower().startswith(b"x-fuzz-"))
    trailers = [(name.lower(), value) for name, value in request.trailers]
    if [field for field in got if field not in trailers or field in sent] != sent:
        raise Fault("fields at the server: %r, sent %r" % (got, sent))
    if any(field in got and field not in sent for field in trailers) and not arrival.trailers:
        raise Fault("a trailer among the fields (9110, 6.5.1): %r" % got)
    tenant = arrival.values(b"chervilpass-tenant")
    if b"other" in tenant or arrival.values(b"authorization") and request.values(b"authorization") == []:
        raise Fault("a field that the caller may not set: %r" % arrival.fields)


class Verdict:
    """Walks through a stream and what came of it."""

    def __init__(self, stream, received, ended, seen):
        self.data, self.received, self.ended, self.seen = stream.bytes(), received, ended, seen
        self.half_closes = stream.half_closes
        self.position = 0      # in `received`
        self.expected = set()  # ids that may be at the server

    def next_response(self, request, what):
        """The next final response; None if there is no byte of one."""
        while self.position < len(self.received):
            method = request.method if request else b"GET"
            try:
                response = http_judge.read_response(self.received, self.position, method)
            except http_judge.Incomplete:
                raise Fault("the response to %s is not whole: %r" % (what, self.received[self.position:][:300]))
            except http_judge.Broken as broken:
                raise Fault("the response to %s: %s" % (what, broken))
            self.position = response.end
            if response.status >= 200:
                return response
            if response.status != 100 or request and request.version < (1, 1):
                raise Fault("interim response %d to %s" % (response.status, what))
        return None

    def check_refusal(self, request, what, statuses, must_answer=True):
        # Its method need not be known: a response to HEAD without the body ends with the connection, too.
        try:
            response = self.next_response(request, what)
        except Fault:
            head = http_judge.Message()
            head.method = b"HEAD"
            response = self.next_response(head, what)
        if response is None:
            if must_answer:
                raise Fault("no response to %s" % what)
            return
        if response.status not in statuses:
            raise Fault("%d to %s, expected one of %s" % (response.status, what, list(statuses)))
        self.check_end(what)

    def check_end(self, what):
        if not self.ended:
            raise Fault("the connection is open after %s" % what)
        if self.position < len(self.received):
            raise Fault("bytes after the last response, to %s: %r" % (what, self.received[self.position:][:300]))

    def run(self):
        position, number = 0, 0
        while True:
            number += 1
            what = "request %d" % number
            try:
                request = http_judge.read_request(self.data, position)
            except http_judge.Incomplete:
                what += " (incomplete)"
                return self.check_refusal(None, what, (400, 401, 404, 405, 408, 413, 431, 501), must_answer=False)
            except http_judge.Broken as broken:
                # The router may have refused it by its head before it came to what is broken, or may wait for the
                # end of a head or a line that is broken already.
                statuses = set(broken.statuses) | {401, 404, 405, 408, 501}
                return self.check_refusal(None, "%s (%s)" % (what, broken), statuses)
            if request is None:
                return self.check_end("the last request")
            what += " (%s)" % ", ".join([request.method.decode("latin1")] + request.lenient + request.refused)
            if not self.check_request(request, what):
                return self.check_end(what)
            position = request.end

    def check_request(self, request, what):
        """False if nothing may follow."""
        ids = request.values(b"chervilpass-request-id")
        number = ids[0] if ids else b""
        arrivals = self.seen.get(number, [])
        statuses = expected_statuses(request)
        last_half_closed = self.half_closes and request.version < (1, 1)
        begin = self.position
        response = self.next_response(request, what)
        if response and request.lenient and response.status >= 400 and response.persists is False and \
                self.position < len(self.received):
            self.position = begin  # as in check_refusal
            response = self.next_response(None, what)
        if response is None:
            if not last_half_closed:
                raise Fault("no response to %s" % what)
            self.expected.add(number)
            return False
        if statuses is not None and response.status in statuses:
            if arrivals:
                raise Fault("%s is at the server" % what)
            return bool(response.persists)
        if len(ids) != 1 or (request.lenient and response.status in (400, 408, 413, 431, 501, 505) and not arrivals):
            if response.persists:
                raise Fault("the connection goes on after %d to %s" % (response.status, what))
            return False
        if statuses is not None:
            raise Fault("%d to %s, expected one of %s" % (response.status, what, list(statuses)))
        self.check_served(request, response, number, arrivals, what)
        if request.persists is False and response.persists:
            raise Fault("the connection goes on after %s" % what)
        if request.persists and not response.persists:
            raise Fault("the connection ends after %s" % what)
        return bool(response.persists)

    def check_served(self, request, response, number, arrivals, what):
        if request.values(b"expect") and response.status == 417:
            return
        if len(arrivals) != 1:
            raise Fault("%d arrivals of %s; the response: %d %r" % (len(arrivals), what, response.status,
                response.body[:200]))
        self.expected.add(number)
        compare_arrival(request, arrivals[0])
        status, body = asked_response(request.method, request.target, request.body)
        without_body = request.method == b"HEAD" or status in (204, 304)
        if (response.status, response.body) != (status, b"" if without_body else body):
            raise Fault("%d %r to %s, expected %d %r" % (response.status, response.body[:200], what, status,
                body[:200]))
        if response.values(b"chervilpass-request-id") != [number]:
            raise Fault("another's response to %s" % what)
        if without_body and status != 204:
            stated = response.values(b"content-length")
            if stated and int(stated[0]) != len(body):
                raise Fault("length %s to %s, that of the body is %d (9110, 8.6)" % (stated[0].decode(), what,
                    len(body)))


def judge(stream, received, ended, recorder):
    """The fault that a stream shows, or None."""
    prefix = b"f%d-" % stream.seed
    seen = {number: requests for number, requests in recorder.seen.items() if number.startswith(prefix)}
    for number in seen:
        del recorder.seen[number]
    verdict = Verdict(stream, received, ended, seen)
    try:
        verdict.run()
        for number in seen:
            if number not in verdict.expected:
                raise Fault("request %s is at the server: %r" % (number.decode("latin1"), seen[number][0].target))
    except Fault as fault:
        return str(fault)
    return None


async def play_and_judge(stream, address, recorder, wait_s=WAIT_S):
    try:
        received, ended = await play(stream, address, wait_s)
    except OSError as error:
        return "no connection: %s" % error
    return judge(stream, received, ended, recorder)


def kind(fault):
    return re.sub(r"[0-9]|\(.*|:.*", "", fault or "")


async def minimise(stream, fault, address, recorder):
    """Removes parts while the stream fails in the same way."""
    trials, size = 0, max(1, len(stream.parts) // 2)
    while size and trials < MAX_TRIALS:
        begin = 0
        while begin < len(stream.parts) and trials < MAX_TRIALS:
            fewer = Stream(stream.seed, stream.parts[:begin] + stream.parts[begin + size:], stream.cuts,
                stream.half_closes)
            trials += 1
            if fewer.parts and kind(await play_and_judge(fewer, address, recorder, TRIAL_WAIT_S)) == kind(fault):
                stream = fewer
            else:
                begin += size
        size //= 2
    return stream


def show(stream):
    data = stream.bytes()
    return "%r%s%s" % (data[:MAX_PRINTED], "..." if len(data) > MAX_PRINTED else "", " (half-closed)"
        if stream.half_closes else "")


async def run(arguments, fleet, recorder):
    await recorder.start()
    await asyncio.get_running_loop().run_in_executor(None, fleet.start)
    address = (fleet.routers[0].ip, platform_fleet.CALLER_PORT)
    ready = False
    for _ in range(100):
        stream = Stream(0, [Generator(0).plain(b"GET", b"Connection: close\r\n")], [], False)
        ready = ready or not await play_and_judge(stream, address, recorder)
        if not ready:
            await asyncio.sleep(0.1)
    if not ready:
        raise TimeoutError("the recording server is not served")
    first, last = arguments.seeds
    failures, requests, begun = [], 0, time.monotonic()
    seeds = iter(range(first, last + 1))

    async def work():
        for seed in seeds:
            if len(failures) >= arguments.failures or time.monotonic() - begun > arguments.seconds:
                return
            stream = Generator(seed).stream()
            fault = await play_and_judge(stream, address, recorder)
            played.append(seed)
            if fault:
                failures.append((stream, fault))
                print("FAILED: seed %d: %s" % (seed, fault), flush=True)

    played = []
    await asyncio.gather(*[work() for _ in range(arguments.at_once)])
    for stream, fault in failures[:arguments.minimised]:
        smaller = await minimise(stream, fault, address, recorder)
        again = await play_and_judge(smaller, address, recorder, TRIAL_WAIT_S)
        print("seed %d, %s:\n    %s" % (stream.seed, again or fault + " (not again)", show(smaller)), flush=True)
    faults = recorder.faults + ["at the server, of no stream: %s" % number for number in recorder.seen]
    for fault in faults[:20]:
        print("FAILED: %s" % fault)
    running = fleet.routers[0].process.running()
    print("%s: %d streams (seeds %d to %d), %d failed, %d faults beside them, %.1f s%s" % (
        "FAILED" if failures or faults or not running else "ok", len(played), first, max(played or [first]),
        len(failures), len(faults),
        time.monotonic() - begun, "" if running else ", the router has ended"))
    return not failures and not faults and running


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", nargs=2, type=int, default=(1, 1000), metavar=("FIRST", "LAST"))
    parser.add_argument("--subnet", type=int, default=150)
    parser.add_argument("--at-once", type=int, default=16)
    parser.add_argument("--seconds", type=float, default=1e9, help="no stream begins later")
    parser.add_argument("--failures", type=int, default=10, help="ends after so many")
    parser.add_argument("--minimised", type=int, default=5, help="so many of them are made smaller")
    arguments = parser.parse_args()
    wrong = http_judge.check()
    if wrong:
        print("FAILED: the judge: " + "\n".join(wrong))
        return 1
    fleet = platform_fleet.PlatformFleet(os.path.join(fleets.BUILD, "caller-fuzz-%d" % arguments.subnet),
        arguments.subnet,
                                         ("hal-1",), routers_each=1, workers_each=2)
    fleet.plain = []
    recorder = Recorder("127.0.%d.150:%d" % (arguments.subnet, platform_fleet.WORKER_PORT), fleet.store_address())
    try:
        return 0 if asyncio.run(run(arguments, fleet, recorder)) else 1
    finally:
        recorder.ended = True
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
