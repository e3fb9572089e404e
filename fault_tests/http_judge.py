"""A strict parser of HTTP/1.1 messages, written from RFC 9112 and RFC 9110, as the judge of what a
router makes of a stream of bytes. It shares no code with the router.

A message that the RFC lets a recipient either refuse or read in one way is "lenient": the reasons are
listed with it. A message that must be refused is Broken."""

import re

TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
VERSION = re.compile(rb"HTTP/([0-9])\.([0-9])")
HOST = re.compile(rb"(\[[0-9A-Fa-f:.]+\]|(?:[A-Za-z0-9\-._~!$&'()*+,;=]|%[0-9A-Fa-f]{2})*)(?::[0-9]*)?")
# RFC 3986, what an origin form may consist of.
ORIGIN = re.compile(rb"/(?:[A-Za-z0-9\-._~!$&'()*+,;=:@/?]|%[0-9A-Fa-f]{2})*")
ABSOLUTE = re.compile(rb"(https?)://([^/?#]*)(.*)", re.I | re.S)
SIZE = re.compile(rb"[0-9A-Fa-f]+")
QUOTED = rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t \x21-\x7e\x80-\xff])*"'
EXTENSIONS = re.compile(rb"(?:[ \t]*;[ \t]*%s(?:[ \t]*=[ \t]*(?:%s|%s))?)*" % (TOKEN.pattern, TOKEN.pattern, QUOTED))
MAX_BODY = 1 << 20
ODD_TARGET = "target (9112, 3)"


class Incomplete(Exception):
    """The bytes end within a message."""


class Broken(Exception):
    """A message that must be refused; nothing after it is read."""

    def __init__(self, why, statuses=(400,)):
        super().__init__(why)
        self.why, self.statuses = why, statuses


class Message:
    def __init__(self):
        self.lenient = []   # reasons
        self.refused = []   # reasons for a 400 although its end is known
        self.method = self.target = self.host = b""
        self.version = (1, 1)
        self.status = 0
        self.fields, self.trailers = [], []
        self.body = b""
        self.persists = True  # None: the server may keep the connection or close it
        self.has_body = False
        self.end = 0

    def values(self, name):
        return [value for other, value in self.fields if other.lower() == name]

    def items(self, name):
        """The elements of a list field (RFC 9110, section 5.6.1); empty ones are ignored."""
        items = [item.strip(b" \t") for value in self.values(name) for item in value.split(b",")]
        return [item for item in items if item]


def read_line(data, position, message):
    end = data.find(b"\n", position)
    if end < 0:
        raise Incomplete()
    if end > position and data[end - 1:end] == b"\r":
        return data[position:end - 1], end + 1
    message.lenient.append("line without CR (9112, 2.2)")
    return data[position:end], end + 1


def read_fields(data, position, message):
    """A field section with its empty line (RFC 9112, section 5)."""
    fields = []
    while True:
        line, position = read_line(data, position, message)
        if not line:
            return fields, position
        if line[:1] in b" \t":
            if not fields:
                raise Broken("space before the first field (9112, 2.2)")
            message.lenient.append("folded field (9112, 5.2)")
            name, value = fields.pop()
            line = name + b":" + value + b" " + line.strip(b" \t")
        name, colon, value = line.partition(b":")
        if not colon or not TOKEN.fullmatch(name):
            raise Broken("field name (9112, 5.1)")
        if b"\r" in value or b"\0" in value:
            raise Broken("CR or NUL in a value (9110, 5.5)")
        if re.search(rb"[\x01-\x08\x0a-\x1f\x7f]", value):
            message.lenient.append("control character in a value (9110, 5.5)")
        fields.append((name, value.strip(b" \t")))


def read_chunks(data, position, message):
    """A body in chunks with its trailer (RFC 9112, section 7.1)."""
    body = []
    size = -1
    while size != 0:
        end = data.find(b"\n", position)
        line = data[position:] if end < 0 else data[position:end]
        digits = SIZE.match(line)
        if not digits and line not in (b"", b"\r"):
            raise Broken("chunk size (9112, 7.1)")
        if digits and len(digits.group().lstrip(b"0")) > 12:
            raise Broken("size of a chunk (9112, 7.1)", (400, 413))
        if b"\r" in line[:-1]:
            raise Broken("CR in the line of a chunk (9112, 7.1)")
        if end < 0:
            raise Incomplete()
        if not digits:
            raise Broken("chunk size (9112, 7.1)")
        if line[-1:] != b"\r":
            raise Broken("line of a chunk without CR (9112, 7.1)")
        extension = line[digits.end():-1]
        if extension.strip(b" \t") and not extension.lstrip(b" \t").startswith(b";"):
            raise Broken("chunk size (9112, 7.1)")
        if not EXTENSIONS.fullmatch(extension):
            message.lenient.append("chunk extension (9112, 7.1.1)")
        size, position = int(digits.group(), 16), end + 1
        if size + sum(map(len, body)) > MAX_BODY:
            raise Broken("size of a body", (400, 413))
        if size == 0:
            break
        if len(data) < position + size + 2:
            after = data[position + size:]
            if after and after != b"\r":
                raise Broken("end of a chunk (9112, 7.1)")
            raise Incomplete()
        body.append(data[position:position + size])
        if data[position + size:position + size + 2] != b"\r\n":
            raise Broken("end of a chunk (9112, 7.1)")
        position += size + 2
    message.trailers, position = read_fields(data, position, message)
    if message.trailers and any(name.lower() in (b"content-length", b"transfer-encoding", b"host", b"authorization")
                                for name, _ in message.trailers):
        message.lenient.append("field that may not be in a trailer (9110, 6.5.1)")
    message.body = b"".join(body)
    return position


def stated_length(message):
    """Content-Length (RFC 9110, section 8.6; RFC 9112, section 6.3); None without it."""
    values = message.values(b"content-length")
    if not values:
        return None
    items = [item.strip(b" \t") for value in values for item in value.split(b",")]
    if any(not re.fullmatch(rb"[0-9]+", item) for item in items):
        raise Broken("length (9112, 6.3)")
    if len({int(item) for item in items}) > 1:
        raise Broken("two lengths (9112, 6.3)")
    if len(items) > 1:
        message.lenient.append("equal lengths (9112, 6.3)")
    if int(items[0]) > MAX_BODY:
        raise Broken("size of a body", (400, 413))
    return int(items[0])


def read_body(data, position, message, response_to=None):
    """Sets the body by RFC 9112, section 6.3; returns its end."""
    codings = [item.lower() for item in message.items(b"transfer-encoding")]
    if message.values(b"transfer-encoding"):
        message.has_body = True
        if not codings or codings[-1] != b"chunked":
            raise Broken("transfer coding (9112, 6.3)", (400, 501))
        if b"chunked" in codings[:-1]:
            raise Broken("chunked twice (9112, 6.1)", (400, 501))
        if any(b"" in [item.strip(b" \t") for item in value.split(b",")]
            for value in message.values(b"transfer-encoding")):
            # To be ignored; nothing is lost by a refusal.
            message.lenient.append("empty elements of a list (9110, 5.6.1.2)")
        if len(codings) > 1:
            raise Broken("unknown coding (9112, 6.1)", (400, 501))
        if message.version < (1, 1):
            message.lenient.append("coding in HTTP/1.0 (9112, 6.1)")
            message.persists = False
        if message.values(b"content-length"):
            message.lenient.append("length and coding (9112, 6.3)")
            message.persists = False
            try:
                stated_length(message)
            except Broken as broken:
                message.lenient.append(broken.why)
        return read_chunks(data, position, message)
    length = stated_length(message)
    if length is None:
        if response_to is None:
            return position
        raise Broken("response without a length on a connection that persists")
    message.has_body = length > 0
    if len(data) < position + length:
        raise Incomplete()
    message.body = data[position:position + length]
    return position + length


def set_persistence(message):
    """RFC 9112, section 9.3."""
    options = [item.lower() for item in message.items(b"connection")]
    if any(not TOKEN.fullmatch(option) for option in options):
        message.lenient.append("connection option (9110, 7.6.1)")
    if b"close" in options:
        message.persists = False
    elif message.version < (1, 1):
        message.persists = None if b"keep-alive" in options else False


def set_target(message, target):
    """Origin form and host (RFC 9112, sections 3.2 and 3.3)."""
    hosts = message.values(b"host")
    if len(hosts) > 1:
        message.refused.append("several Host fields (9112, 3.2)")
    elif not hosts and message.version >= (1, 1):
        message.refused.append("no Host field (9112, 3.2)")
    elif hosts and not HOST.fullmatch(hosts[0]):
        message.refused.append("Host (9112, 3.2)")
    message.host = hosts[0] if hosts else b""
    message.target = target
    absolute = ABSOLUTE.fullmatch(target)
    if absolute:
        message.host = absolute.group(2)
        if not message.host or message.host.startswith(b":"):
            message.refused.append("empty host in the target (9110, 4.2.1)")
        message.target = absolute.group(3)
        if message.target[:1] != b"/":
            message.target = b"/" + message.target
    if not ORIGIN.fullmatch(message.target):
        message.lenient.append(ODD_TARGET)


def read_request(data, position):
    """The request that begins at `position`; None if no byte of one is there."""
    message = Message()
    begin = position
    while data[position:position + 1] in (b"\r", b"\n") and position < len(data):
        position += 1
    if position == len(data):
        return None
    if data[begin:position] not in (b"", b"\r\n"):
        message.lenient.append("empty lines (9112, 2.2 and 3)")
    line, position = read_line(data, position, message)
    words = line.split(b" ")
    if len(words) != 3 or not all(words):
        words = re.split(rb"[ \t\x0b\x0c\r]+", line.strip(b" \t\x0b\x0c\r"))
        message.lenient.append("spaces in the request line (9112, 3)")
        if len(words) != 3:
            raise Broken("request line (9112, 3)", (400, 501, 505))
    message.method, target, version = words
    if not TOKEN.fullmatch(message.method):
        raise Broken("method (9112, 3.1)", (400, 501))
    match = VERSION.fullmatch(version)
    if not match:
        raise Broken("version (9112, 2.3)", (400, 505))
    message.version = (int(match.group(1)), int(match.group(2)))
    if message.version[0] != 1:
        raise Broken("version (9110, 15.6.6)", (400, 505))
    if message.version[1] > 1:
        message.lenient.append("version (9110, 2.5)")
    if re.search(rb"[\x00-\x20\x7f]", target):
        raise Broken("control character in the target (9112, 3.2)")
    message.fields, position = read_fields(data, position, message)
    set_target(message, target)
    set_persistence(message)
    message.end = read_body(data, position, message)
    return message


def read_response(data, position, method):
    """The response that begins at `position`, on a connection that goes on or ends with it; Broken if it
    may not be sent, in any form that the RFC leaves to the recipient, too."""
    message = Message()
    line, position = read_line(data, position, message)
    match = re.fullmatch(rb"HTTP/1\.1 ([1-5][0-9]{2}) [\t \x21-\x7e\x80-\xff]*", line)
    if not match:
        raise Broken("status line %r" % line)
    message.status = int(match.group(1))
    message.fields, position = read_fields(data, position, message)
    set_persistence(message)
    lengths, codings = message.values(b"content-length"), message.values(b"transfer-encoding")
    if len(lengths) > 1 or (lengths and codings):
        raise Broken("framing of the response: %r %r" % (lengths, codings))
    if (message.status < 200 or message.status == 204) and (lengths or codings):
        raise Broken("length or coding in a %d (9110, 8.6; 9112, 6.1)" % message.status)
    if message.status < 200 or message.status in (204, 304) or method == b"HEAD":
        stated_length(message)
        message.end = position
    else:
        message.end = read_body(data, position, message, method)
    if message.lenient:
        raise Broken("response: %s" % message.lenient)
    return message


def check():
    """Cases with known answers. Returns the descriptions of those that the judge gets wrong."""
    line, host = b"POST /a?b HTTP/1.1\r\n", b"Host: h\r\n"
    chunked = b"Transfer-Encoding: chunked\r\n"
    sound, lenient, refused, broken, incomplete = "sound", "lenient", "refused", "broken", "incomplete"
    rows = [
        (line + host + b"\r\n", sound, b""),
        (b"\r\n" + line + host + b"\r\n", sound, b""),
        (b"\r\n\r\n" + line + host + b"\r\n", lenient, b""),
        (line + host + b"Content-Length: 03\r\n\r\nabcGET", sound, b"abc"),
        (line + host + b"Content-Length: 3\r\n\r\nab", incomplete, None),
        (line + host + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", lenient, b"abc"),
        (line + host + b"Content-Length: 3, 3\r\n\r\nabc", lenient, b"abc"),
        (line + host + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", broken, None),
        (line + host + b"Content-Length: +3\r\n\r\nabc", broken, None),
        (line + host + b"Content-Length: \r\n\r\n", broken, None),
        (line + host + b"Content-Length : 3\r\n\r\nabc", broken, None),
        (line + host + chunked + b"\r\n3;a=b;c=\"d;\"\r\nabc\r\n0\r\nX: y\r\n\r\n", sound, b"abc"),
        (line + host + chunked + b"\r\n03 ; a\r\nabc\r\n000\r\n\r\n", sound, b"abc"),
        (line + host + chunked + b"\r\n3 \r\nabc\r\n0\r\n\r\n", lenient, b"abc"),
        (line + host + chunked + b"\r\n3\nabc\r\n0\r\n\r\n", broken, None),
        (line + host + chunked + b"\r\n3;a\rb\r\nabc\r\n0\r\n\r\n", broken, None),
        (line + host + chunked + b"\r\n0x3\r\nabc\r\n0\r\n\r\n", broken, None),
        (line + host + chunked + b"\r\n-3\r\nabc\r\n0\r\n\r\n", broken, None),
        (line + host + chunked + b"\r\n2\r\nabc\r\n0\r\n\r\n", broken, None),
        (line + host + chunked + b"\r\nffffffffffffffff3\r\nabc\r\n0\r\n\r\n", broken, None),
        (line + host + chunked + b"\r\n3\r\nabc\r\n0\r\n", incomplete, None),
        (line + host + chunked + b"\r\n0\r\nHost: x\r\n\r\n", lenient, b""),
        (line + host + chunked + b"Content-Length: 3\r\n\r\n0\r\n\r\n", lenient, b""),
        (line + host + b"Transfer-Encoding: ,chunked,\r\n\r\n0\r\n\r\n", lenient, b""),
        (line + host + b"Transfer-Encoding: gzip\r\n\r\n", broken, None),
        (line + host + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", broken, None),
        (line + host + chunked + chunked + b"\r\n0\r\n\r\n", broken, None),
        (line + host + b"X: a\r\n b\r\n\r\n", lenient, b""),
        (line + b" X: a\r\n" + host + b"\r\n", broken, None),
        (line + host + b"X: a\n\r\n", lenient, b""),
        (line + host + b"X: a\rb\r\n\r\n", broken, None),
        (line + host + b"X: a\0b\r\n\r\n", broken, None),
        (line + host + b"X\r\n\r\n", broken, None),
        (line + b"\r\n", refused, b""),
        (line + host + host + b"\r\n", refused, b""),
        (line + b"Host: a b\r\n\r\n", refused, b""),
        (b"GET http:///a HTTP/1.1\r\n" + host + b"\r\n", refused, b""),
        (b"GET http://x?b HTTP/1.1\r\n" + host + b"\r\n", sound, b""),
        (b"GET /a HTTP/1.0\r\n\r\n", sound, b""),
        (b"GET /a HTTP/2.0\r\n" + host + b"\r\n", broken, None),
        (b"GET  /a HTTP/1.1\r\n" + host + b"\r\n", lenient, b""),
        (b"GET /a\r\n" + host + b"\r\n", broken, None),
        (b"GET /a b HTTP/1.1\r\n" + host + b"\r\n", broken, None),
        (b"G(T /a HTTP/1.1\r\n" + host + b"\r\n", broken, None),
    ]
    wrong = []
    for data, expected, body in rows:
        try:
            message = read_request(data, 0)
            seen = refused if message.refused else lenient if message.lenient else sound
            got = message.body
        except Broken:
            seen, got = broken, None
        except Incomplete:
            seen, got = incomplete, None
        if (seen, got) != (expected, body):
            wrong.append("%r: %s %r" % (data, seen, got))
    return wrong


if __name__ == "__main__":
    print("\n".join(check()) or "ok")
