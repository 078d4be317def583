"""Stand-ins for the peers of an app server, for the cases of the second review. Loopback only, real clock, no dependencies.

Kernel: the executor, as PROTOCOL describes it. Roster: answers each report with 204. Router: a client in frames. scgi():
one request of a gateway. Server: one process of the project. UdpLink: a datagram path that can be cut. Record: record.txt.
"""
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "cypresscleat-server")
STORE = os.path.join(ROOT, "target", "release", "cypresscleat-store")
SERVED, REFUSED, FAILED = 79, 66, 69
NAMES = {SERVED: "served", REFUSED: "refused", FAILED: "failed"}


class CannotRun(Exception):
    """The case could not run: exit code 2."""


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]


def wait_until(what, test, within):
    until = time.monotonic() + within
    while time.monotonic() < until:
        found = test()
        if found:
            return found
        time.sleep(0.01)
    raise CannotRun("waited %.1f s in vain: %s" % (within, what))


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def say(self, text):
        with self.lock:
            line = "%8.3f  %s" % (time.monotonic() - self.start, text)
            self.file.write(line + "\n")
            self.file.flush()


class Kernel:
    """The executor of one app server. `work(service, body)` returns the seconds of the run and its result, or None for a run
    that does not end. A link that comes replaces the one before; notices after the serial in OPEN are sent again. SCHED for a
    request that runs changes nothing; for one whose run has ended well nothing is started (MOOT)."""

    def __init__(self, name, record, work):
        self.name, self.record, self.work = name, record, work
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.lock = threading.Lock()
        self.running, self.ended, self.runs = {}, {}, []
        self.link, self.serial, self.notices, self.dead = None, 0, [], False
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.dead:
            try:
                link, _ = self.listener.accept()
            except OSError:
                return
            link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(link,), daemon=True).start()

    def write(self, link, message):
        try:
            link.sendall((json.dumps(message) + "\n").encode())
        except OSError:
            pass

    def notice(self, message):
        """Under the lock: numbers a notice, keeps it, sends it."""
        self.serial += 1
        message = dict(message, serial=self.serial)
        self.notices = (self.notices + [message])[-4000:]
        if self.link:
            self.write(self.link, message)

    def serve(self, link):
        lines = link.makefile("r", encoding="utf-8")
        try:
            for line in lines:
                command = json.loads(line)
                with self.lock:
                    self.handle(link, command)
        except (OSError, ValueError):
            pass
        with self.lock:
            if self.link is link:
                self.link = None
        link.close()

    def handle(self, link, command):
        what, call = command["msg"], command.get("call")
        if what == "OPEN":
            old, self.link = self.link, link
            if old:
                old.close()
            self.write(link, {"msg": "BOOTED", "how": "WARM", "duration": 60000})
            for notice in [one for one in self.notices if one["serial"] > command["serial"]]:
                self.write(link, notice)
        elif what == "SYSINFO":
            self.write(link, {"msg": "INFO", "cookie": command["cookie"],
                              "stats": [0.3, len(self.running), 0.1, 2]})
        elif what == "SCHED":
            if call in self.running:
                return
            if call in self.ended:
                return self.notice({"msg": "REAP", "call": call, "how": "MOOT", "duration": 0, "blob": ""})
            body = base64.b64decode(command["blob"])
            self.runs.append((call, command["service"], body))
            self.record.say("%s runs %s %s, body %r" % (self.name, call, command["service"], body.decode()))
            done = self.work(command["service"], body)
            timer = None
            if done:
                timer = threading.Timer(done[0], self.finish, (call, "OK", done[1]))
                timer.daemon = True
            self.running[call] = (timer, time.monotonic())
            if timer:
                timer.start()
        elif what == "PREEMPT" and call in self.running:
            timer, began = self.running.pop(call)
            if timer:
                timer.cancel()
            self.record.say("%s stops %s" % (self.name, call))
            self.notice({"msg": "REAP", "call": call, "how": "STOPPED",
                         "duration": (time.monotonic() - began) * 1000, "blob": ""})

    def finish(self, call, how, result):
        with self.lock:
            if call not in self.running:
                return
            _, began = self.running.pop(call)
            self.ended[call] = how
            self.record.say("%s ended %s %s" % (self.name, call, how))
            self.notice({"msg": "REAP", "call": call, "how": how, "duration": (time.monotonic() - began) * 1000,
                         "blob": base64.b64encode(result).decode()})

    def forget(self):
        """A new life of the app server and its kernel: the numbers of the notices begin anew, and nothing runs."""
        with self.lock:
            for timer, _ in self.running.values():
                if timer:
                    timer.cancel()
            self.running, self.ended, self.serial, self.notices = {}, {}, 0, []


class Roster:
    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                link, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(link,), daemon=True).start()

    def serve(self, link):
        reader = link.makefile("rb")
        try:
            while True:
                if not reader.readline():
                    return
                length = 0
                while True:
                    line = reader.readline().strip().lower()
                    if not line:
                        break
                    if line.startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                reader.read(length)
                link.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
        except OSError:
            pass


class Router:
    """One connection of a router. Answers are collected by stream."""

    def __init__(self, address, record, name="router"):
        host, port = address.rsplit(":", 1)
        self.record, self.name = record, name
        self.socket = socket.create_connection((host, int(port)), timeout=5)
        self.socket.settimeout(None)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.lock, self.stream, self.answers, self.sent = threading.Condition(), 0, {}, {}
        self.told_to_close = self.over = False
        threading.Thread(target=self.read, daemon=True).start()

    def ask(self, verb, body, unique=None, team=None, txn=None, cpu="200.0"):
        txn = txn or "%016x" % random.getrandbits(64)
        fields = [("verb", verb), ("txn", txn), ("door", str(int(time.time() * 1000))), ("lb", "1"), ("cpu", cpu),
                  ("ram", "24.5"), ("standing", "0.5000")]
        if team:
            fields.append(("team", team))
        if unique:
            fields.append(("unique", unique))
        payload = bytes([len(fields)])
        for name, value in fields:
            payload += bytes([len(name)]) + name.encode() + struct.pack(">H", len(value)) + value.encode()
        with self.lock:
            self.stream += 1
            stream = self.stream
            self.sent[stream] = txn
            self.record.say("%s asks on stream %d: %s txn %s%s, body %r"
                            % (self.name, stream, verb, txn, " unique " + unique if unique else "", body.decode()))
            self.socket.sendall(struct.pack(">IBI", len(payload) + len(body) + 5, 2, stream) + payload + body)
        return stream

    def leave(self, stream):
        with self.lock:
            self.record.say("%s gives up stream %d (type 8)" % (self.name, stream))
            self.socket.sendall(struct.pack(">IBI", 5, 8, stream))

    def read(self):
        reader = self.socket.makefile("rb")
        try:
            while True:
                head = reader.read(9)
                if len(head) < 9:
                    break
                length, kind, stream = struct.unpack(">IBI", head)
                payload = reader.read(length - 5)
                with self.lock:
                    if kind == 64:
                        self.told_to_close = True
                    elif kind == 4:
                        at, fields = 2, {}
                        for _ in range(payload[1]):
                            size = payload[at]
                            name = payload[at + 1:at + 1 + size].decode()
                            at += 1 + size
                            size = struct.unpack(">H", payload[at:at + 2])[0]
                            fields[name] = payload[at + 2:at + 2 + size].decode()
                            at += 2 + size
                        answer = (payload[0], fields, payload[at:])
                        self.answers.setdefault(stream, []).append(answer)
                        self.record.say("%s is answered on stream %d: %s %s %r"
                                        % (self.name, stream, NAMES.get(answer[0], answer[0]), fields, answer[2][:60]))
                    self.lock.notify_all()
        except (OSError, ValueError):
            pass
        with self.lock:
            self.over = True
            self.record.say("%s: its connection is over" % self.name)
            self.lock.notify_all()

    def answer(self, stream, within):
        """The first answer on the stream; None if none came in this time or the connection ended before."""
        until = time.monotonic() + within
        with self.lock:
            while stream not in self.answers and not self.over and time.monotonic() < until:
                self.lock.wait(max(0.0, until - time.monotonic()))
            return self.answers.get(stream, [None])[0]

    def close(self):
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.socket.close()


def scgi_request(method, path, headers, body):
    fields = [("CONTENT_LENGTH", str(len(body))), ("SCGI", "1"), ("REQUEST_METHOD", method), ("REQUEST_URI", path),
              ("SCRIPT_NAME", path), ("PATH_INFO", ""), ("QUERY_STRING", ""), ("SERVER_PROTOCOL", "HTTP/1.1")]
    fields += [("HTTP_" + name.upper().replace("-", "_"), value) for name, value in headers]
    text = b"".join(name.encode() + b"\0" + value.encode() + b"\0" for name, value in fields)
    return str(len(text)).encode() + b":" + text + b"," + body


def scgi_connect(address, request):
    host, port = address.rsplit(":", 1)
    link = socket.create_connection((host, int(port)), timeout=10)
    link.sendall(request)
    return link


def scgi_answer(link):
    """Status, headers and body; None if the connection ended without a whole answer."""
    data = b""
    try:
        while True:
            part = link.recv(65536)
            if not part:
                break
            data += part
    except OSError:
        pass
    link.close()
    head, found, body = data.partition(b"\r\n\r\n")
    if not found:
        return None
    headers = dict(line.split(": ", 1) for line in head.decode().split("\r\n") if ": " in line)
    return int(headers["Status"].split(" ")[0]), headers, body


class Server:
    """One process of the project. `words` follow the program's name; `platform` is its EDGE_CONFIG."""

    def __init__(self, place, name, words, platform=None):
        self.place, self.name, self.words, self.platform = place, name, words, platform
        self.log = os.path.join(place.folder, name + ".log")
        self.process = None

    def start(self):
        env = {key: value for key, value in os.environ.items() if not key.startswith(("EDGE_", "CLEAT_"))}
        env["TMPDIR"] = self.place.folder
        if self.platform:
            path = os.path.join(self.place.folder, self.name + ".json")
            with open(path, "w") as file:
                json.dump(self.platform, file)
            env["EDGE_CONFIG"] = path
        self.started_at = os.path.getsize(self.log) if os.path.exists(self.log) else 0
        with open(self.log, "a") as log:
            self.process = subprocess.Popen([PROGRAM] + self.words, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=log)
        self.place.record.say("%s starts" % self.name)
        return self

    def lines(self):
        """Log lines of the present life."""
        with open(self.log, errors="replace") as file:
            file.seek(self.started_at)
            return file.read().splitlines()

    def logged(self, words, within=10):
        def found():
            if self.process.poll() is not None and not any(words in line for line in self.lines()):
                raise CannotRun("%s ended with %s before %r" % (self.name, self.process.returncode, words))
            return next((line for line in self.lines() if words in line), None)
        return wait_until("%s logs %r" % (self.name, words), found, within)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.place.record.say("%s gets %s" % (self.name, signal.Signals(number).name))
            self.process.send_signal(number)

    def wait(self, within):
        try:
            code = self.process.wait(within)
            self.place.record.say("%s ended with %s" % (self.name, code))
            return code
        except subprocess.TimeoutExpired:
            return None

    def drain(self, stop_ms):
        """The platform's end of an app server: SIGTERM, and SIGKILL stop_ms later."""
        self.signal(signal.SIGTERM)
        if self.wait(stop_ms / 1000.0) is None:
            self.signal(signal.SIGKILL)
            self.wait(5)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.wait(5)


class UdpLink:
    """A datagram path to one address, which can be cut. Each sender gets a socket of its own, so that answers find back."""

    def __init__(self, target):
        self.target, self.cut, self.delay = target, False, 0.0
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.socket.getsockname()[1]
        self.senders = {}
        threading.Thread(target=self.forward, daemon=True).start()

    def later(self, send, data, to):
        if self.cut:
            return

        def go():
            try:
                if not self.cut:
                    send(data, to)
            except OSError:
                pass
        if self.delay:
            timer = threading.Timer(self.delay, go)
            timer.daemon = True
            timer.start()
        else:
            go()

    def forward(self):
        while True:
            try:
                data, sender = self.socket.recvfrom(65536)
            except ConnectionError:
                continue
            except OSError:
                return
            if sender not in self.senders:
                out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                out.bind(("127.0.0.1", 0))
                self.senders[sender] = out
                threading.Thread(target=self.back, args=(out, sender), daemon=True).start()
            self.later(self.senders[sender].sendto, data, self.target)

    def back(self, out, sender):
        while True:
            try:
                data, _ = out.recvfrom(65536)
            except ConnectionError:
                continue
            except OSError:
                return
            self.later(self.socket.sendto, data, sender)


class Place:
    """A temporary folder, the record, and all processes of a case, which end with it."""

    def __init__(self, case):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the programs are not built")
        self.record = Record(case)
        self.folder = tempfile.mkdtemp(prefix="cleat-review-")
        self.servers, self.commands = [], []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record.say("with the disruption" if self.trouble else "without the disruption (TROUBLE=0)")

    def path(self, name):
        return os.path.join(self.folder, name)

    def write(self, name, text):
        with open(self.path(name), "w") as file:
            file.write(text)
        return self.path(name)

    def server(self, name, words, platform=None):
        one = Server(self, name, words, platform)
        self.servers.append(one)
        return one

    def end(self):
        for command in self.commands:
            if command.poll() is None:
                command.kill()
        for server in self.servers:
            if server.process and server.process.poll() is None:
                server.process.send_signal(signal.SIGCONT)
                server.process.kill()
                server.process.wait()
        for server in self.servers:
            if os.path.exists(server.log):
                self.record.say("log of %s:" % server.name)
                with open(server.log, errors="replace") as file:
                    for line in file.read().splitlines():
                        self.record.say("    " + line)
        shutil.rmtree(self.folder, ignore_errors=True)


def classes(*all_classes):
    """categories of the settings: (name, aim s, deadline s, effect, window s, worth)."""
    return [{"name": name, "aim_ns": int(aim * 1e9), "deadline_ns": int(deadline * 1e9), "effect": effect,
             "late_worth": 0.0, "memory_span_ns": int(window * 1e9), "worth": worth}
            for name, aim, deadline, effect, window, worth in all_classes]


def platform(name, kernel, roster, categories, cores=6, stop_ms=3200, grace_s=2.5, seed="8c1f30d27a5be964"):
    """The platform's configuration of one app server, in the form of the deployment page."""
    return {
        "name": name, "listen": "127.0.0.1:%d" % free_port(), "kernel": kernel.address, "roster": roster.address,
        "seed": seed, "stop_ms": stop_ms, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "categories": categories, "customers": [], "over_share_worth": 0.1, "counted_by": "work", "group_size": 4,
            "limits": {"retry_after": True, "max_retry_after_ns": 1000000000},
            "obligations": {"answer_slack_ns": 100000000, "cold_from": 0.2, "cold_ns": 16000000000,
                            "fall_ns": 3000000000, "stop_sending_within_ns": int(grace_s * 1e9), "tip_multiple": 8.0},
            "specifics": {"blowup": 16.0, "calls_out": 0.0, "calls_over_ns": 5000000000,
                          "class_calls": [False] * len(categories), "cold": False, "cores": cores,
                          "degraded_worth": [0.0] * len(categories), "depends_on": "tier", "fresh_ns": 0,
                          "gauges": ["core_use", "on_cores", "heap_share", "links"], "halt": "discard",
                          "idle_ns": 15000000000, "key_kb": 136.13, "memory_kb": 45654.0, "say": "allowance",
                          "stays_for_ns": 200000000, "tells_gone": True, "upstreams": 3},
        },
    }


def run_case(case, play):
    """Plays a case; returns the exit code. `play(place)` returns a list of what broke the rule."""
    place = None

    def stop(number, _):
        raise CannotRun("ended by signal %d" % number)
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    try:
        place = Place(case)
        broken = play(place)
        for line in broken:
            place.record.say("BROKEN: " + line)
            print("BROKEN: " + line)
        if not broken:
            place.record.say("the rule held")
            print("the rule held")
        return 1 if broken else 0
    except CannotRun as error:
        print("could not run: %s" % error)
        if place:
            place.record.say("could not run: %s" % error)
        return 2
    finally:
        if place:
            place.end()


def control_replicas(place, count=3):
    """Starts the control replicas; returns their processes and the text of `all` for the operator's files."""
    addresses = ["127.0.0.1:%d" % free_port(socket.SOCK_DGRAM) for _ in range(count)]
    every = ", ".join('{name: "k%d", address: "%s"}' % (at, address) for at, address in enumerate(addresses))
    replicas = []
    for at in range(count):
        name = "k%d" % at
        text = 'keepers: {lease: 2s, all: [%s], folder: "%s"}\n' % (every, place.path("disk-" + name))
        replicas.append(place.server(name, ["control", "--operator", place.write(name + ".cue", text), "--name", name]))
    for replica in replicas:
        replica.start()
    wait_until("a leader of the control replicas",
               lambda: any("leads the keepers in term" in line for one in replicas for line in one.lines()), 20)
    return replicas, every


def member(place, name, every, config, more=""):
    """An app server that serves under the fleet's policy."""
    text = 'keepers: {lease: 2s, all: [%s]}\nrollout: folder: "%s"\n%s' % (every, place.path("policy-" + name), more)
    return place.server(name, ["serve", "--operator", place.write(name + ".cue", text)], config)


def policy(place, every, words):
    """Runs `policy`; returns its exit code and what it printed."""
    file = place.path("operator.cue")
    if not os.path.exists(file):
        place.write("operator.cue", "keepers: {lease: 2s, all: [%s]}\n" % every)
    process = subprocess.Popen([PROGRAM, "policy"] + words + ["--operator", file, "--json"], stdin=subprocess.DEVNULL,
                               stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    place.commands.append(process)
    out = process.communicate()[0]
    return process.returncode, out
