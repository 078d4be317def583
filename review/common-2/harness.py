"""Stand-ins and helpers of the cases 7 and 10: an executor, a router in frames, a ledger of tasks, processes.

Written from the protocol pages alone. Everything listens on loopback, on free ports. The record of a case is
`record.txt` in its folder: what was sent, answered and run, with seconds since the start.
"""
import base64, json, os, select, shutil, signal, socket, struct, subprocess, sys, tempfile, threading, time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


class CannotRun(Exception):
    pass


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - START, text))
            self.file.flush()


used_ports = set()


def free_port(kind=socket.SOCK_STREAM):
    while True:
        with socket.socket(socket.AF_INET, kind) as s:
            s.bind(("127.0.0.1", 0))
            port = s.getsockname()[1]
        if port not in used_ports:
            used_ports.add(port)
            return port


def wait_until(what, seconds, check):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        value = check()
        if value:
            return value
        time.sleep(0.02)
    raise CannotRun("waited %s s in vain: %s" % (seconds, what))


class Executor:
    """The kernel: runs what it is told, stores neither results nor keys. `work(body)` gives (seconds, result)."""

    def __init__(self, record, name, work):
        self.record, self.name, self.work = record, name, work
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.lock = threading.RLock()
        self.notices, self.serial, self.link, self.runs = [], 0, None, {}
        self.ran = {}
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.clock, daemon=True).start()

    def send(self, link, message):
        try:
            link.sendall((json.dumps(message) + "\n").encode())
        except OSError:
            pass

    def notice(self, **message):
        with self.lock:
            self.serial += 1
            message["serial"] = self.serial
            self.notices.append(message)
            del self.notices[:-4000]
            if self.link:
                self.send(self.link, message)

    def accept(self):
        while True:
            try:
                link, _ = self.listener.accept()
            except OSError:
                return
            link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(link,), daemon=True).start()

    def serve(self, link):
        try:
            for line in link.makefile("rb"):
                command = json.loads(line)
                msg, call = command["msg"], command.get("call")
                with self.lock:
                    if msg == "OPEN":
                        if command["serial"] == 0:  # the app server has started anew
                            self.notices, self.serial, self.runs = [], 0, {}
                        self.link = link
                        self.send(link, {"msg": "BOOTED", "how": "WARM", "duration": 60000})
                        for notice in self.notices:
                            if notice["serial"] > command["serial"]:
                                self.send(link, notice)
                    elif msg == "SYSINFO":
                        busy = min(1.0, len(self.runs) / 8)
                        self.send(link, {"msg": "INFO", "cookie": command["cookie"], "stats": [busy, len(self.runs), 0.1, 4]})
                    elif msg == "SCHED" and call not in self.runs:
                        seconds, result = self.work(base64.b64decode(command["blob"]))
                        self.runs[call] = (time.monotonic() + seconds, result)
                        self.ran[call] = self.ran.get(call, 0) + 1
                        self.record("%s runs %s %s" % (self.name, call, command["service"]))
                    elif msg == "PREEMPT" and call in self.runs:
                        del self.runs[call]
                        self.record("%s stopped %s" % (self.name, call))
                        self.notice(msg="REAP", call=call, how="STOPPED", duration=1, blob="")
        except (OSError, ValueError):
            pass

    def clock(self):
        while True:
            time.sleep(0.001)
            now = time.monotonic()
            with self.lock:
                for call in [call for call, run in self.runs.items() if run[0] <= now]:
                    result = self.runs.pop(call)[1]
                    self.record("%s ended %s OK" % (self.name, call))
                    self.notice(msg="REAP", call=call, how="OK", duration=1, blob=base64.b64encode(result).decode())


class Router:
    """A router's connection in frames. `answers[id]` is a list of (code, fields, body, time)."""

    CODES = {79: "served", 66: "refused", 69: "failed"}

    def __init__(self, record, name, address):
        self.record, self.name = record, name
        self.socket = socket.create_connection(address, 5)
        self.socket.settimeout(None)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.streams, self.answers, self.next, self.ended, self.closing, self.resets = {}, {}, 1, False, False, False
        self.changed = threading.Condition()
        threading.Thread(target=self.read, daemon=True).start()

    def ask(self, txn, verb, body=b"", **fields):
        """Sends one request; returns its id."""
        all = {"verb": verb, "txn": txn, "door": str(int(time.time() * 1000)), "lb": "1", "cpu": "20.0",
               "ram": "8.0", "standing": "0.5"}
        all.update(fields)
        payload = bytes([len(all)])
        for name, value in all.items():
            payload += bytes([len(name)]) + name.encode() + struct.pack(">H", len(value)) + value.encode()
        payload += body
        with self.changed:
            stream, self.next = self.next, self.next + 1
            self.streams[stream] = txn
        self.record("%s sends %s %s %s" % (self.name, txn, verb, fields.get("unique", "")))
        try:
            self.socket.sendall(struct.pack(">IBI", len(payload) + 5, 2, stream) + payload)
        except OSError as error:
            self.record("%s could not send %s: %s" % (self.name, txn, error))
        return txn

    def exact(self, many):
        out = b""
        while len(out) < many:
            if self.resets:
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                self.socket.close()
                raise EOFError("by a reset from here")
            if not select.select([self.socket], [], [], 0.005)[0]:
                continue
            part = self.socket.recv(many - len(out))
            if not part:
                raise EOFError
            out += part
        return out

    def read(self):
        try:
            while True:
                length, kind, stream = struct.unpack(">IBI", self.exact(9))
                payload = self.exact(length - 5)
                if kind == 64:
                    self.record("%s is told to send no more" % self.name)
                    self.closing = True
                if kind != 4:
                    continue
                code, at, fields = self.CODES.get(payload[0], "?"), 2, {}
                for _ in range(payload[1]):
                    size = payload[at]
                    name = payload[at + 1:at + 1 + size].decode()
                    at += 1 + size
                    size, = struct.unpack(">H", payload[at:at + 2])
                    fields[name] = payload[at + 2:at + 2 + size].decode()
                    at += 2 + size
                txn = self.streams.get(stream, "stream %d" % stream)
                self.record("%s hears %s %s %s" % (self.name, txn, code, fields or ""))
                with self.changed:
                    self.answers.setdefault(txn, []).append((code, fields, payload[at:], time.monotonic()))
                    self.changed.notify_all()
        except (EOFError, OSError) as error:
            self.record("%s: the connection ended %s" % (self.name, error))
            with self.changed:
                self.ended = True
                self.changed.notify_all()

    def answer(self, txn, seconds):
        """The answer, or None where the time is over or the connection has ended without one."""
        until = time.monotonic() + seconds
        with self.changed:
            while txn not in self.answers and not self.ended and time.monotonic() < until:
                self.changed.wait(0.05)
            return self.answers.get(txn, [None])[0]

    def close(self):
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def reset(self):
        """Resets the connection. The thread that reads does it: while it waits for bytes the socket stays open."""
        self.resets = True
        while not self.ended:
            time.sleep(0.001)


class TaskLedger:
    """The ledger of tasks: refuses a token older than one it has seen, and applies each item of a part once."""

    def __init__(self, record):
        self.record = record
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.lock = threading.Lock()
        self.tokens, self.applied = {}, {}
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                link, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(link,), daemon=True).start()

    def serve(self, link):
        try:
            for line in link.makefile("rb"):
                act = json.loads(line)
                part, item = (act["duty"], act["part"]), act["item"]
                with self.lock:
                    newest = max(self.tokens.get(part, 0), act["token"])
                    self.tokens[part] = newest
                    taken = act["token"] == newest
                    if taken and (part, item) not in self.applied:
                        self.applied[(part, item)] = act
                        self.record("ledger applies %s" % line.decode().strip())
                    elif not taken:
                        self.record("ledger refuses %s" % line.decode().strip())
                answer = {"part": act["part"], "item": item, "taken": taken}
                if not taken:
                    answer["token"] = newest
                link.sendall((json.dumps(answer) + "\n").encode())
        except (OSError, ValueError):
            pass


class Process:
    """One process of the project's program, started as the deploy file does: from the root, by `exec`."""

    def __init__(self, case, name, words, environment=None):
        self.name, self.record = name, case.record
        self.log_path = os.path.join(case.temp, "%s.%d.log" % (name, len(case.processes)))
        log = open(self.log_path, "w")
        all = dict(os.environ, **(environment or {}))
        command = "exec target/release/cypresscleat-server " + words
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=all, stdout=log, stderr=log)
        self.record("starts %s: %s" % (name, command.replace(case.temp, "TEMP")))
        case.processes.append(self)

    def log(self):
        with open(self.log_path, errors="replace") as file:
            return file.read()

    def signal(self, number):
        self.record("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def alive(self):
        return self.process.poll() is None

    def wait(self, seconds):
        try:
            code = self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            return None
        self.record("%s has ended with %s" % (self.name, code))
        return code


SETTINGS = {
    "customers": [], "over_share_worth": 0.1, "counted_by": "work", "group_size": 2,
    "limits": {"retry_after": True, "max_retry_after_ns": 1000000000},
    "obligations": {"answer_slack_ns": 80000000, "cold_from": 0.2, "cold_ns": 10000000000, "fall_ns": 2000000000,
                    "stop_sending_within_ns": 2500000000, "tip_multiple": 6.0},
    "specifics": {"blowup": 16.0, "calls_out": 0.0, "calls_over_ns": 5000000000, "cold": False, "cores": 8,
                  "depends_on": "tier", "fresh_ns": 0, "gauges": ["core_use", "on_cores", "heap_share", "links"],
                  "halt": "discard", "idle_ns": 30000000000, "key_kb": 10.0, "memory_kb": 400000.0, "say": "allowance",
                  "stays_for_ns": 200000000, "tells_gone": True, "upstreams": 2},
}


def operation(name, aim_s, deadline_s, worth, effect="retryable", span_ms=0):
    return {"name": name, "aim_ns": int(aim_s * 1e9), "deadline_ns": int(deadline_s * 1e9), "effect": effect,
            "late_worth": 0.2, "memory_span_ns": span_ms * 1000000, "worth": worth}


class Case:
    def __init__(self, script):
        self.folder = os.path.dirname(os.path.abspath(script))
        self.record = Record(self.folder)
        self.temp = tempfile.mkdtemp(prefix="cleat-case-")
        self.processes = []
        self.record("TROUBLE=%d" % TROUBLE)

    def file(self, name, text):
        path = os.path.join(self.temp, name)
        with open(path + ".new", "w") as file:
            file.write(text)
        os.replace(path + ".new", path)
        return path

    def process(self, name, words, environment=None):
        return Process(self, name, words, environment)

    def server(self, name, executor, operations, operator="", stop_ms=3000, port=None, ledger=None, calls=None,
               cores=8):
        """One app server; returns its process, with `address`. `operator` is the text of its operator's file."""
        settings = json.loads(json.dumps(SETTINGS))
        settings["categories"] = operations
        settings["specifics"]["class_calls"] = calls or [False] * len(operations)
        settings["specifics"]["cores"] = cores
        settings["specifics"]["degraded_worth"] = [0.0] * len(operations)
        port = port or free_port()
        config = {"name": name, "listen": "127.0.0.1:%d" % port, "kernel": "127.0.0.1:%d" % executor.port,
                  "seed": "8c1f30d27a5be964", "stop_ms": stop_ms,
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings}
        if ledger:
            config["ledger"] = "127.0.0.1:%d" % ledger
        path = self.file(name + ".json", json.dumps(config))
        words = "serve"
        if operator:
            words += " --operator " + self.file(name + ".cue", operator)
        process = self.process(name, words, {"EDGE_CONFIG": path})
        process.address, process.port = ("127.0.0.1", port), port
        wait_until(name + " has its executor", 20, lambda: "kernel up" in process.log() or not process.alive())
        if not process.alive():
            raise CannotRun(name + " did not start: " + process.log()[-500:])
        return process

    def keepers(self, count=3):
        """The control replicas; returns the text `keepers` for others."""
        ports = [free_port(socket.SOCK_DGRAM) for _ in range(count)]
        all = ", ".join('{name: "k%d", address: "127.0.0.1:%d"}' % (at, port) for at, port in enumerate(ports))
        replicas = []
        for at in range(count):
            folder = os.path.join(self.temp, "k%d" % at)
            path = self.file("k%d.cue" % at, 'keepers: {lease: 2s, all: [%s], folder: "%s"}\n' % (all, folder))
            replicas.append(self.process("k%d" % at, "control --operator %s --name k%d" % (path, at)))
        wait_until("a leader", 20, lambda: any("leads the keepers" in replica.log() for replica in replicas))
        return "keepers: {lease: 2s, all: [%s]}\n" % all, replicas

    def store_tool(self, words):
        out = subprocess.run(["/bin/sh", "-c", "exec target/release/cypresscleat-store " + words], cwd=ROOT,
                             capture_output=True, text=True, timeout=30)
        if out.returncode != 0:
            raise CannotRun("store tool: " + out.stderr)
        return out.stdout

    def end(self):
        for process in self.processes:
            if process.alive():
                process.process.send_signal(signal.SIGCONT)
                process.process.kill()
                process.process.wait()
            self.record("log of %s:" % process.name)
            for line in process.log().splitlines()[:200]:
                self.record("    " + line.replace(self.temp, "TEMP"))
        shutil.rmtree(self.temp, ignore_errors=True)


def play(script, body):
    """Runs a case; its exit code is 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    case = Case(script)
    code = 2

    def ended(number, frame):
        case.record("ended from outside")
        case.end()
        os._exit(2)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, ended)
    watchdog = threading.Timer(110, lambda: (case.record("over 110 s: given up"), case.end(), os._exit(2)))
    watchdog.daemon = True
    watchdog.start()
    try:
        broken = body(case)
        code = 1 if broken else 0
        case.record("RULE BROKEN: %s" % broken if broken else "the rule held")
        print("rule broken: %s" % broken if broken else "the rule held")
    except CannotRun as error:
        case.record("could not run: %s" % error)
        print("could not run: %s" % error)
    except Exception as error:
        import traceback
        case.record("could not run: %s" % traceback.format_exc())
        print("could not run: %r" % error)
    finally:
        watchdog.cancel()
        case.end()
    sys.stdout.flush()
    os._exit(code)
