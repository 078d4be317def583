"""Stand-ins of the executor, the service registry and routers for the cases under review/, from the protocol page.
Everything listens and connects on loopback addresses, on ports that the system chooses."""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import traceback
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SERVER = os.path.join(ROOT, "target/release/cypresscleat-server")
REQUEST, ANSWER, LEFT, CHECK, CHECKED, CLOSING = 2, 4, 8, 16, 32, 64
CODES = {79: "served", 66: "refused", 69: "failed"}


def unix_ms():
    return time.time() * 1000.0


class Record:
    """What was sent, answered and run, one line each, with the milliseconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{(time.monotonic() - self.start) * 1000:9.1f} {text}\n")
        self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Kernel:
    """The executor. Runs whatever it is told to run, for as long as `work(class, body)` says in milliseconds."""

    def __init__(self, record, work):
        self.record, self.work = record, work
        self.tasks = set()
        self.started = time.monotonic()
        self.link = None
        self.notices = []
        self.running = {}
        self.over = set()
        self.runs = []  # (class, body, id) of each run that was started
        self.open_connections = lambda: 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def send(self, message):
        if self.link and not self.link.is_closing():
            self.link.write((json.dumps(message) + "\n").encode())

    def notice(self, message):
        message["serial"] = len(self.notices) + 1
        self.notices.append(message)
        self.send(message)

    def end(self, call, how, blob=b""):
        self.running.pop(call, None)
        self.over.add(call)
        self.record(f"kernel: run {call} ends {how}")
        self.notice({"msg": "REAP", "call": call, "how": how, "duration": 1, "blob": base64.b64encode(blob).decode()})

    async def run(self, call, service, body):
        await asyncio.sleep(self.work(service, body) / 1000.0)
        self.end(call, "OK", b"result of " + body)

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while line := await reader.readline():
            message = json.loads(line)
            kind = message["msg"]
            if kind == "OPEN":
                self.link = writer
                if message["serial"] == 0:  # a start of the app server: its executor has nothing of an earlier life
                    for task in self.running.values():
                        task.cancel()
                    self.running, self.over, self.notices = {}, set(), []
                age = (time.monotonic() - self.started) * 1000 + 60000
                self.send({"msg": "BOOTED", "how": "WARM", "duration": age})
                for notice in self.notices[message["serial"]:]:
                    self.send(notice)
            elif kind == "SYSINFO":
                busy = float(len(self.running))
                stats = [min(1.0, busy / 2), busy, 0.1, float(self.open_connections())]
                self.send({"msg": "INFO", "cookie": message["cookie"], "stats": stats})
            elif kind == "SCHED":
                call, service = message["call"], message["service"]
                body = base64.b64decode(message["blob"])
                if call in self.running or call in self.over:
                    continue
                self.record(f"kernel: run {call} {service} {body.decode()} starts")
                self.runs.append((service, body.decode(), call))
                self.running[call] = asyncio.create_task(self.run(call, service, body))

    def runs_of(self, body):
        return sum(1 for run in self.runs if run[1] == body)


class Roster:
    """The service registry: answers each report with 204."""

    tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                size = [int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length")]
                await reader.readexactly(size[0] if size else 0)
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


class Server:
    """One app server, started by the command of the deploy file."""

    all = []  # every one that was started

    def __init__(self, record, config, arguments=(), folder=None):
        self.record = record
        self.own_folder = None if folder else tempfile.mkdtemp(prefix="review-")
        self.folder = folder or self.own_folder
        self.config, self.arguments = config, list(arguments)
        Server.all.append(self)
        self.path = os.path.join(self.folder, "config.json")
        with open(self.path, "w") as file:
            json.dump(config, file)
        self.start()

    def start(self):
        self.log = open(os.path.join(self.folder, "server.log"), "ab")
        environment = dict(os.environ, EDGE_CONFIG=self.path, EDGE_NAME=self.config["name"])
        self.process = subprocess.Popen([SERVER] + self.arguments, env=environment, stdout=self.log, stderr=self.log)
        self.record(f"server started as process {self.process.pid}")

    def kill(self, number=signal.SIGKILL):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        self.kill()
        self.process.wait()
        self.log.close()
        if self.own_folder:
            shutil.rmtree(self.own_folder, ignore_errors=True)

    def log_text(self):
        with open(os.path.join(self.folder, "server.log"), errors="replace") as file:
            return file.read()


def frame(kind, stream, payload=b""):
    return struct.pack(">IBI", len(payload) + 5, kind, stream) + payload


def fields(pairs):
    out = bytes([len(pairs)])
    for name, value in pairs:
        name, value = name.encode(), str(value).encode()
        out += bytes([len(name)]) + name + struct.pack(">H", len(value)) + value
    return out


def parse_fields(payload):
    count, at, found = payload[0], 1, {}
    for _ in range(count):
        size = payload[at]
        name = payload[at + 1:at + 1 + size].decode()
        at += 1 + size
        (size,) = struct.unpack(">H", payload[at:at + 2])
        found[name] = payload[at + 2:at + 2 + size].decode()
        at += 2 + size
    return found, payload[at:]


class Try:
    """One try of a request, as its router sees it."""

    def __init__(self, txn, verb, body, unique, deadline_ms):
        self.txn, self.verb, self.body, self.unique = txn, verb, body, unique
        self.deadline_ms = deadline_ms
        self.sent = None
        self.answers = []  # (milliseconds after it was sent, code, body)
        self.excused = None  # why no answer is owed
        self.answered = asyncio.get_running_loop().create_future()

    def payload(self):
        pairs = [("verb", self.verb), ("txn", self.txn), ("door", int(unix_ms())), ("lb", 1), ("team", "fjallmejeriet"),
                 ("cpu", "30.0"), ("ram", "24.5"), ("standing", "0.5000")]
        if self.unique:
            pairs.append(("unique", self.unique))
        return fields(pairs) + self.body.encode()


class Connection:
    """A router's connection to an app server."""

    def __init__(self, name, record):
        self.name, self.record = name, record
        self.open = {}
        self.next_stream = 1
        self.is_told = False  # type 64 has come
        self.is_over = False
        self.has_ended = asyncio.get_running_loop().create_future()
        self.on_answer = lambda attempt: None
        self.on_told = lambda: None

    async def connect(self, address):
        host, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.create_task(self.read())
        return self

    def send(self, attempt):
        stream = self.next_stream
        self.next_stream += 1
        self.open[stream] = attempt
        if attempt.sent is None:
            attempt.sent = time.monotonic()
        self.record(f"{self.name}: sends {attempt.txn} {attempt.verb} {attempt.body} unique={attempt.unique} on stream {stream}")
        self.writer.write(frame(REQUEST, stream, attempt.payload()))

    def reset(self):
        """Ends the connection with a reset, as a router does that is killed or restarted."""
        self.record(f"{self.name}: resets its connection")
        for attempt in self.open.values():
            attempt.excused = "the router reset the connection"
        self.is_over = True
        self.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    def close(self):
        self.is_over = True
        self.writer.close()

    async def read(self):
        try:
            while True:
                size, kind, stream = struct.unpack(">IBI", await self.reader.readexactly(9))
                payload = await self.reader.readexactly(size - 5)
                if kind == CLOSING:
                    self.record(f"{self.name}: is told that no new request may come (type 64)")
                    self.is_told = True
                    self.on_told()
                elif kind == ANSWER:
                    code, (_, body) = CODES.get(payload[0], str(payload[0])), parse_fields(payload[1:])
                    attempt = self.open.pop(stream, None)
                    if attempt is None:
                        self.record(f"{self.name}: answer {code} on stream {stream}, which waits for none")
                        continue
                    after = (time.monotonic() - attempt.sent) * 1000
                    attempt.answers.append((after, code, body.decode()))
                    self.record(f"{self.name}: {attempt.txn} is {code} after {after:.1f} ms {body.decode()!r}")
                    if not attempt.answered.done():
                        attempt.answered.set_result(code)
                    self.on_answer(attempt)
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
            if not self.is_over:
                self.record(f"{self.name}: the connection ended: {type(error).__name__}, {len(self.open)} open")
        if not self.has_ended.done():
            self.has_ended.set_result(None)


class EndingProxy:
    """Carries connections to an app server, and ends one with a reset to both sides when it is told to."""

    def __init__(self, target):
        self.target, self.tasks, self.carried = target, set(), {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        host, port = self.target.rsplit(":", 1)
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        for each in (writer, far_writer):
            each.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.carried[writer.get_extra_info("peername")] = (writer, far_writer)
        await asyncio.gather(self.relay(reader, far_writer), self.relay(far_reader, writer))

    async def relay(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
            writer.close()
        except OSError:
            writer.transport.abort()

    def end(self, connection):
        """Resets the connection, named by its router's socket, at both sides."""
        for writer in self.carried.pop(connection.writer.get_extra_info("sockname")):
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()


class CuttableProxy:
    """Carries connections to an app server. While it is cut, nothing passes in either direction; what was sent meanwhile is
    delivered afterwards, as by TCP after a partition."""

    def __init__(self, target):
        self.target, self.tasks = target, set()
        self.passes = asyncio.Event()
        self.passes.set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        host, port = self.target.rsplit(":", 1)
        await self.passes.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return writer.transport.abort()
        for each in (writer, far_writer):
            each.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.gather(self.relay(reader, far_writer), self.relay(far_reader, writer))

    async def relay(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.passes.wait()
                if not data:
                    return writer.close()
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()


class CuttableDatagrams(asyncio.DatagramProtocol):
    """Carries the datagrams of members to a planner, and those back that the planner sends in answer. While it is cut, they are
    lost. Each member has a socket of its own at the planner's side."""

    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target, self.members, self.is_cut = (host, int(port)), {}, False

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.transport.get_extra_info("sockname")[1]

    def datagram_received(self, data, source):
        if not self.is_cut:
            asyncio.get_running_loop().create_task(self.forward(data, source))

    async def forward(self, data, source):
        if source not in self.members:
            proxy = self

            class Back(asyncio.DatagramProtocol):
                def datagram_received(self, answer, _):
                    if not proxy.is_cut:
                        proxy.transport.sendto(answer, source)

            loop = asyncio.get_running_loop()
            made = await loop.create_datagram_endpoint(Back, local_addr=("127.0.0.1", 0))
            self.members.setdefault(source, made[0])
        self.members[source].sendto(data, self.target)


def free_datagram_port():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def portal_settings():
    """The settings of a worker of `surco-pampa`: names, limits and spans of its brief."""
    ms = 1_000_000
    common = {"effect": "retryable", "late_worth": 0.0, "memory_span_ns": 0}
    settings = yard_settings()
    settings["categories"] = [
        dict(common, name="work-report", aim_ns=2400 * ms, deadline_ns=5800 * ms, worth=1.0),
        dict(common, name="unit-status", aim_ns=1400 * ms, deadline_ns=3500 * ms, worth=1.0),
        dict(common, name="billing-tally", aim_ns=1400 * ms, deadline_ns=3500 * ms, worth=3.0),
    ]
    settings["customers"] = [
        {"name": "fjallmejeriet", "allowance_per_s": 200.0, "fraction": 1.0},
    ]
    settings["obligations"].update({"answer_slack_ns": 100 * ms, "cold_from": 0.2, "cold_ns": 16000 * ms, "fall_ns": 3000 * ms})
    settings["specifics"].update({"cores": 6, "halt": "discard", "say": "allowance", "upstreams": 3, "memory_kb": 45654.0})
    settings["group_size"] = 2
    return settings


def yard_settings(**changes):
    """The settings of an app server of `norrfrys-yard`: names, limits and spans of its site file."""
    ms = 1_000_000
    common = {"aim_ns": 1800 * ms, "deadline_ns": 4500 * ms, "late_worth": 0.0, "memory_span_ns": 0, "worth": 1.0}
    settings = {
        "categories": [
            dict(common, name="pallet-lookup", effect="retryable", late_worth=0.2),
            dict(common, name="temp-update", effect="retryable"),
            dict(common, name="dock-booking", effect="dedup", worth=3.0, memory_span_ns=13584 * ms),
        ],
        "customers": [
            {"name": "fjallmejeriet", "allowance_per_s": 40.0, "fraction": 0.4},
            {"name": "vastkust-fisk", "allowance_per_s": 36.0, "fraction": 0.36},
            {"name": "barkens-bar", "allowance_per_s": 24.0, "fraction": 0.24},
        ],
        "over_share_worth": 0.1, "counted_by": "work", "group_size": 14,
        "limits": {"retry_after": True, "max_retry_after_ns": 1000 * ms},
        "obligations": {"answer_slack_ns": 80 * ms, "cold_from": 0.21, "cold_ns": 17000 * ms, "fall_ns": 1500 * ms,
                        "stop_sending_within_ns": 2500 * ms, "tip_multiple": 8.0},
        "specifics": {"blowup": 16.0, "calls_out": 0.0, "calls_over_ns": 5000 * ms, "class_calls": [False, False, False],
                      "cold": False, "cores": 2, "degraded_worth": [0.0, 0.0, 0.0], "depends_on": "silent", "fresh_ns": 0,
                      "gauges": ["core_use", "on_cores", "heap_share", "links"], "halt": "none",
                      "idle_ns": 30000 * ms, "key_kb": 100.0, "memory_kb": 40000.0, "say": "silent",
                      "stays_for_ns": 0, "tells_gone": True, "upstreams": 12},
    }
    settings.update(changes)
    return settings


def configuration(listen, kernel, roster, settings, name="n3"):
    return {"name": name, "listen": listen, "kernel": kernel, "roster": roster, "seed": "8c1f30d27a5be964",
            "stop_ms": 4000, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512}, "settings": settings}


async def wait_until_healthy(address, record, seconds=10):
    """Asks by health checks, as routers do, until the app server is good."""
    host, port = address.rsplit(":", 1)
    for _ in range(seconds * 20):
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(frame(CHECK, 1, fields([])))
            size, kind, _ = struct.unpack(">IBI", await asyncio.wait_for(reader.readexactly(9), 1))
            payload = await asyncio.wait_for(reader.readexactly(size - 5), 1)
            writer.close()
            if kind == CHECKED and payload[0] == 79:
                return True
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.05)
    record("the app server was not ready")
    return False


def broken_promises(tries, slack_ms):
    """The rule: each try has exactly one final answer before its client's time is over, with the slack allowed."""
    found = []
    for attempt in tries:
        if attempt.excused or attempt.sent is None:
            continue
        due = attempt.deadline_ms + slack_ms
        if not attempt.answers:
            found.append(f"lost: {attempt.txn} {attempt.verb} got no answer")
        elif len(attempt.answers) > 1:
            found.append(f"duplicate: {attempt.txn} {attempt.verb} got {len(attempt.answers)} answers")
        elif attempt.answers[0][0] > due:
            found.append(f"lost: {attempt.txn} {attempt.verb} was answered {attempt.answers[0][0]:.0f} ms after it was sent")
    return found


def play(main):
    """Plays a case and ends the process with its exit code, 2 where it could not run. Ends all processes in any case."""

    def stop(*_):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    code = 2
    try:
        code = asyncio.new_event_loop().run_until_complete(main())
    except SystemExit:
        pass
    except Exception:  # noqa: BLE001
        traceback.print_exc()
    for server in Server.all:
        server.kill()
    sys.stdout.flush()
    os._exit(code)
