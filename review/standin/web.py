"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""

import asyncio


class Request:
    def __init__(self, method, target, headers, body, raw=b""):
        self.method, self.target, self.headers, self.body, self.raw = method, target, headers, body, raw
        self.path, _, query = target.partition("?")
        self.query = dict(part.partition("=")[::2] for part in query.split("&") if part)

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


class Response:
    def __init__(self, status=200, headers=None, body=b"", pieces=None):
        """`pieces` is an asynchronous generator of chunks; the connection is cut if it raises."""
        self.status, self.headers, self.pieces = status, headers or {}, pieces
        self.body = body.encode() if isinstance(body, str) else body


async def read_head(reader):
    """The first line and the header fields; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers, raw


async def read_chunks(reader):
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        piece = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield piece[:-2]


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([piece async for piece in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Server:
    """Serves `handler(request)`, which returns a Response."""

    def __init__(self, handler):
        self.handler, self.server, self.writers = handler, None, set()

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=8 << 20, backlog=1000)

    def stop_listening(self):
        if self.server:
            self.server.close()
            self.server = None

    def crash(self):
        """Nothing listens any more, and all connections are reset."""
        self.stop_listening()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                await self.answer(writer, await self.handler(Request(method, target, head[1], body, head[2])))
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        except Cut:
            writer.transport.abort()
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, writer, response):
        lines = ["HTTP/1.1 %d X" % response.status]
        lines += ["%s: %s" % item for item in response.headers.items()]
        if response.pieces is None:
            lines.append("Content-Length: %d" % len(response.body))
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + response.body)
            await writer.drain()
            return
        lines.append("Transfer-Encoding: chunked")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        try:
            async for piece in response.pieces:
                if writer.is_closing():
                    raise ConnectionResetError()
                writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
                await writer.drain()
        finally:
            await response.pieces.aclose()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Cut(Exception):
    """The connection is to be reset."""


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


async def ask(address, method, target, headers, body=b"", timeout=20.0):
    """One request on a new connection. Status 0: no answer in time or none at all."""
    ip, port = address
    answer = Answer(0, {}, b"", False)

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port, limit=8 << 20)
        try:
            lines = ["%s %s HTTP/1.1" % (method, target)] + ["%s: %s" % item for item in headers.items()]
            if body or method != "GET":
                lines.append("Content-Length: %d" % len(body))
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = await read_head(reader)
            if head is None:
                return
            answer.status, answer.headers = int(head[0].split()[1]), head[1]
            if head[1].get("transfer-encoding", "").lower() == "chunked":
                async for piece in read_chunks(reader):
                    answer.body += piece
            else:
                answer.body = await read_body(reader, head[1])
            answer.complete = True
        finally:
            writer.transport.abort()

    try:
        await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    return answer
