"""A worker is killed in its drain with more than twenty requests open: what the drain cut off has to survive."""
import os
import signal
import subprocess
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "common-2"))
from standins import *  # noqa: E402,F403

OPEN = 56


def stored(place):
    """Ids of the requests that the store names as cut off by a drain."""
    out = subprocess.run([STORE, "dump", place.path("store")], capture_output=True, text=True)
    place.record.say("cypresscleat-store dump: exit %d, %d rows" % (out.returncode, len(out.stdout.splitlines())))
    return {line.split("\t")[0][2:] for line in out.stdout.splitlines() if line.startswith("o/")}


def play(place):
    kernel = Kernel("kernel", place.record, lambda service, body: (0.13, b"saved " + body))
    roster = Roster()
    categories = classes(("lookup", 2.1, 7.7, "retryable", 5, 1.0), ("check", 1.5, 5.1, "retryable", 5, 2.0),
                         ("confirm", 2.6, 10, "retryable", 5, 5.0))
    config = platform("n3", kernel, roster, categories, grace_s=2.0)
    operator = place.write("operator.cue", 'store: folder: "%s"\n' % place.path("store"))
    server = place.server("n3", ["serve", "--operator", operator], config).start()
    server.logged("kernel up")
    server.logged("ready")
    routers = [Router(config["listen"], place.record, "router %d" % at) for at in range(2)]
    router = routers[0]
    first = router.ask("confirm", b"warm", cpu="125.0")
    if not router.answer(first, 5):
        raise CannotRun("no answer before the drain")
    asked = [(routers[at % 2], routers[at % 2].ask("confirm", b"plot %d" % at, cpu="125.0")) for at in range(OPEN)]
    time.sleep(0.03)
    server.signal(signal.SIGTERM)
    server.logged("draining")
    if place.trouble:
        time.sleep(0.05)
        place.record.say("the machine is lost: the app server and its kernel are killed in the drain")
        server.kill()
    else:
        if server.wait(3.2) is None:
            server.kill()
    time.sleep(0.3)
    cut_off = {router.sent[stream] for router, stream in asked if stream not in router.answers}
    place.record.say("%d of %d requests were not answered: %s" % (len(cut_off), OPEN, " ".join(sorted(cut_off))))
    for router in routers:
        router.close()
    before = stored(place)
    place.record.say("of these the store names %d after the stop" % len(cut_off & before))
    kernel.forget()
    config["seed"] = "1a2b3c4d5e6f7081"
    server.start()
    server.logged("kernel up")
    server.logged("ready")
    time.sleep(0.5)
    named = {txn for txn in cut_off if any(txn in line for line in server.lines())}
    for line in server.lines():
        if "cut off" in line:
            place.record.say("the next life logs: " + line)
    server.drain(3200)
    after = stored(place)
    lost = cut_off & before - named - after
    place.record.say("the next life named %d, its store names %d, gone without a trace: %d"
                     % (len(named), len(cut_off & after), len(lost)))
    return ["%d of %d requests that the drain cut off are in no log line and no longer in the store: %s"
            % (len(lost), len(cut_off), " ".join(sorted(lost)))] if lost else []


sys.exit(run_case(CASE, play))
