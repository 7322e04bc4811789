"""
Stand-ins of the platform for the review's scripts: the store and the engines.

    standins.py store PORT JOURNAL SETTINGS(JSON)
    standins.py engine PORT JOURNAL SETTINGS(JSON)

They speak what PROTOCOL.md says, as far as the scripts need it, and write each action
to a journal, one JSON object a line, with the time of the steady clock.
"""

import asyncio
import base64
import json
import struct
import sys
import time
import urllib.parse


ORDER_TIME = 0.9


class Journal:
    def __init__(self, path):
        self._path = path

    def write(self, what, **fields):
        line = {"at": round(time.monotonic(), 4), "what": what, **fields}
        with open(self._path, "a") as journal:
            journal.write(json.dumps(line) + "\n")


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.headers, self.body = method, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))
        self.target = target

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_request(reader):
    """
    Return the next request of a connection; None at its end.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
    return Request(method, target, headers, body)


def answer(status, body=b"", **headers):
    """
    Return the bytes of an answer with a length.
    """
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def as_json(status, document):
    return answer(
        status, json.dumps(document).encode(), Content_Type="application/json"
    )


# ---------------------------------------------------------------- the store


class Store:
    """
    A log with keyed topics; its answers are linearizable.

    Settings: keep_s (records older than this go, oldest first; none if left out).
    """

    def __init__(self, journal, settings):
        self.journal = journal
        self.keep = settings.get("keep_s", float("inf"))
        self.topics = {}
        self.first = {}
        self.newest = {}
        self.beats = {}
        self.changed = asyncio.Condition()

    async def connection(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                writer.write(await self.handle(request))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, request):
        topic = request.query.get("topic", "")
        match request.method, request.path:
            case "POST", "/v1/log-append":
                await asyncio.sleep(0.002)
                records = self.split(request.body)
                if topic == "keyed.servers":
                    return as_json(403, {})
                offset = await self.append(topic, records)
                return as_json(200, {"offset": offset, "end": offset + len(records)})
            case "GET", "/v1/log-read":
                return await self.read(topic, request.query)
            case "GET", "/v1/log-newest":
                rows = [
                    {
                        "private_key": key,
                        "value": base64.b64encode(value).decode(),
                        "offset": offset,
                    }
                    for key, (offset, value) in self.newest.get(topic, {}).items()
                    if value
                ]
                end = self.first.get(topic, 0) + len(self.topics.get(topic, []))
                return as_json(200, {"requests": rows, "has_more": False, "end": end})
            case "POST", "/stand-in/put":
                # The operator's, the trainers' and the engines' own writes.
                document = json.loads(request.body)
                await self.put(document["topic"], document["key"], document["value"])
                return as_json(200, {})
        return answer(404)

    async def put(self, topic, key, value):
        if topic == "keyed.servers":
            self.beats[key] = time.monotonic()
            known = self.newest.get(topic, {}).get(key, (0, b""))[1]
            if known and json.loads(known) == value:
                return
        data = json.dumps(value).encode() if value is not None else b""
        record = bytes([len(key)]) + key.encode() + data
        offset = await self.append(topic, [record])
        self.newest.setdefault(topic, {})[key] = (offset, data)
        self.journal.write("put", topic=topic, key=key, value=value)

    async def append(self, topic, records):
        rows = self.topics.setdefault(topic, [])
        offset = self.first.setdefault(topic, 0) + len(rows)
        now = time.monotonic()
        rows += [(now, record) for record in records]
        async with self.changed:
            self.changed.notify_all()
        return offset

    async def read(self, topic, query):
        rows = self.topics.setdefault(topic, [])
        start = int(query["from"])
        wait = int(query.get("wait_ms", "0")) / 1000

        def end():
            return self.first.setdefault(topic, 0) + len(rows)

        if start < self.first.setdefault(topic, 0):
            return as_json(410, {"first": self.first[topic]})
        if start >= end() and wait:
            try:
                async with asyncio.timeout(wait), self.changed:
                    await self.changed.wait_for(lambda: end() > start)
            except TimeoutError:
                pass
        first = self.first[topic]
        if start < first:
            return as_json(410, {"first": first})
        room = int(query.get("max_kb", "1024")) * 1024
        chosen = []
        for _, record in rows[start - first :]:
            room -= len(record) + 4
            if chosen and room < 0:
                break
            chosen.append(record)
        data = struct.pack(">QQ", end(), first)
        data += b"".join(struct.pack(">I", len(r)) + r for r in chosen)
        return answer(200, data)

    async def expire(self):
        """
        Remove entries after three heartbeats without a write, and drop old records.
        """
        while True:
            await asyncio.sleep(0.1)
            for topic, rows in self.topics.items():
                oldest = time.monotonic() - self.keep
                gone = sum(at < oldest for at, _ in rows)
                if gone:
                    del rows[:gone]
                    self.first[topic] += gone
            for key, at in list(self.beats.items()):
                if time.monotonic() - at > 3 * 1.2:
                    del self.beats[key]
                    await self.put("keyed.servers", key, None)
                    self.beats.pop(key, None)

    @staticmethod
    def split(data):
        records, position = [], 0
        while position < len(data):
            (length,) = struct.unpack_from(">I", data, position)
            records.append(data[position + 4 : position + 4 + length])
            position += 4 + length
        return records


# --------------------------------------------------------------- the engines


class Engine:
    """
    A model engine, or with no model a plain service.

    Settings: id, service, model, zone, slots, version, store (port), events (events of
    an item's text, by its body), event_s, work_s, checks_fences, extra_late (number of
    answers to the call extra_for that are followed by a second, late copy).
    """

    def __init__(self, port, journal, settings):
        self.port, self.journal = port, journal
        self.set = settings
        self.version = settings.get("version", 1)
        self.busy = False
        self.orders = 0
        self.fence = -1
        self.running = 0
        self.runs = 0
        self.extra_left = settings.get("extra_late", 0)

    async def connection(self, reader, writer):
        held_back = b""
        try:
            while True:
                request = await read_request(reader)
                if held_back:
                    # "An extra answer may arrive late, at the place where the next
                    # answer should come."
                    writer.write(held_back)
                    self.journal.write("extra_sent", before=self.id_of(request))
                    held_back = b""
                held_back = await self.handle(request, reader, writer) or b""
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    @staticmethod
    def id_of(request):
        return request.header("saddledoor-attempt-id")

    async def handle(self, request, reader, writer):
        expected = request.header("saddledoor-expect-instance", self.set["id"])
        if expected != self.set["id"]:
            writer.write(answer(421, Saddledoor_Instance_Id=self.set["id"]))
        elif request.path == "/health":
            writer.write(answer(200, Saddledoor_Instance_Id=self.set["id"]))
        elif request.path == "/v1/report":
            writer.write(as_json(200, self.report()))
        elif request.path == "/v1/order":
            writer.write(self.order(json.loads(request.body)))
        elif not self.id_of(request):
            writer.write(answer(400, Saddledoor_Not_Executed="1"))
        elif self.running >= self.set["slots"] or self.busy:
            writer.write(answer(503, Saddledoor_Not_Executed="1"))
        elif self.set.get("model"):
            await self.stream(request, reader, writer)
        else:
            return await self.plain(request, writer)
        return None

    def start(self, request, **fields):
        self.running += 1
        self.runs += 1
        run = f"{self.set['id']}/{self.runs}"
        self.journal.write("run", run=run, id=self.id_of(request), **fields)
        return run

    async def plain(self, request, writer):
        run = self.start(request)
        await asyncio.sleep(self.set.get("work_s", 0.03))
        self.running -= 1
        # Each run signs its own answer.
        seal = f"seal.{run.replace('/', '.')}"
        body = f"answer of {run} to {self.id_of(request)}".encode()
        data = answer(
            200,
            body,
            Saddledoor_Attempt_Id=self.id_of(request),
            Saddledoor_Server_Seal=seal,
        )
        self.journal.write("answered", run=run, id=self.id_of(request), seal=seal)
        writer.write(data)
        marked = self.set.get("extra_for", "")
        if self.extra_left and self.id_of(request) == marked:
            self.extra_left -= 1
            self.journal.write("extra_prepared", run=run, id=self.id_of(request))
            return data
        return None

    async def stream(self, request, reader, writer):
        first = int(request.header("last-event-id", "0")) + 1
        last = self.set["events"].get(request.body.decode(), 5)
        run = self.start(request, first=first, version=self.version)
        ended = "broken"
        left = asyncio.create_task(reader.read(1))
        try:
            head = [
                "HTTP/1.1 200 OK",
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
                f"Saddledoor-Attempt-Id: {self.id_of(request)}",
                f"Saddledoor-Weight-Versions: {self.version}",
                f"Saddledoor-Server-Seal: seal.{run.replace('/', '.')}",
            ]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            for number in range(first, last + 1):
                done, _ = await asyncio.wait({left}, timeout=self.set["event_s"])
                if done:
                    ended = "left"
                    raise ConnectionResetError
                data = f"id: {number}\ndata: {self.id_of(request)} {number}\n\n"
                writer.write(f"{len(data):x}\r\n{data}\r\n".encode())
                await writer.drain()
                self.journal.write("event", run=run, id=self.id_of(request), n=number)
            writer.write(b"0\r\n\r\n")
            ended = "done"
        finally:
            self.running -= 1
            if not left.done():
                left.cancel()
                await asyncio.wait({left})
            self.journal.write("run_end", run=run, id=self.id_of(request), how=ended)

    def report(self):
        models = [{"name": self.set["model"], "version": self.version, "adapters": []}]
        return {
            "stage": "both",
            "models": models if self.set.get("model") else [],
            "busy": self.busy,
            "seq_no": self.orders,
            "waiting": 0,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 83311,
            "handles": 0,
        }

    def order(self, order):
        self.journal.write("order", order=order)
        if "holder" not in order or "fence_token" not in order:
            return answer(400)
        if self.set.get("checks_fences", True) and order["fence_token"] < self.fence:
            return answer(412)
        self.fence = max(self.fence, order["fence_token"])
        if self.busy or order.get("if_rev", self.orders) != self.orders:
            return answer(409)
        if order["version"] == self.version:
            return answer(200)
        self.orders += 1
        self.busy = True
        asyncio.get_running_loop().call_later(ORDER_TIME, self.loaded, order["version"])
        return answer(202)

    def loaded(self, version):
        self.version, self.busy = version, False

    async def beat(self):
        """
        Write the engine's entry, roughly every heartbeat.
        """
        while True:
            entry = {
                "service": self.set["service"],
                "address": f"127.0.0.1:{self.port}",
                "zone": self.set["zone"],
                "version": "v1",
                "slots": self.set["slots"],
                "state": "ready",
                "cold_left_ms": 0,
                "seq_no": 1,
            }
            if self.set.get("model"):
                entry |= {"stage": "both", "models": self.report()["models"]}
            await put(self.set["store"], "keyed.servers", self.set["id"], entry)
            await asyncio.sleep(0.4)


async def put(port, topic, key, value):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    body = json.dumps({"topic": topic, "key": key, "value": value}).encode()
    head = f"POST /stand-in/put HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    await reader.readuntil(b"\r\n\r\n")
    writer.close()


async def main(kind, port, journal, settings="{}"):
    port, journal = int(port), Journal(journal)
    if kind == "store":
        store = Store(journal, json.loads(settings))
        server = await asyncio.start_server(store.connection, "127.0.0.1", port)
        background = store.expire()
    else:
        engine = Engine(port, journal, json.loads(settings))
        server = await asyncio.start_server(engine.connection, "127.0.0.1", port)
        journal.write("started", id=engine.set["id"])
        background = engine.beat()
    async with server:
        await asyncio.gather(server.serve_forever(), background)


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
