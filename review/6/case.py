"""The zone with two of three control replicas is lost for 5 s. A repeat of a booking that has run here must not be turned away."""
import os
import signal
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "common-2"))
from standins import *  # noqa: E402,F403

KEYS = 5
OUTAGE_S = 5.0


def play(place):
    replicas, every = control_replicas(place)
    kernel = Kernel("kernel of m0", place.record, lambda service, body: (0.3, b"booked " + body))
    categories = classes(("pallet-lookup", 1.8, 4.5, "retryable", 5, 1.0), ("temp-update", 1.8, 4.5, "retryable", 5, 1.0),
                         ("dock-booking", 1.8, 4.5, "dedup", 13.584, 3.0))
    config = platform("m0", kernel, Roster(), categories, cores=2)
    server = member(place, "m0", every, config).start()
    server.logged("kernel up")
    server.logged("is in force here")
    router = Router(config["listen"], place.record)
    # Bookings that run and are answered.
    first = {}
    for at in range(KEYS):
        first["gate-7-%d" % at] = router.ask("dock-booking", b"truck %d" % at, unique="gate-7-%d" % at, cpu="300.0")
    for key, stream in first.items():
        answer = router.answer(stream, 4.5)
        if not answer or answer[0] != SERVED:
            raise CannotRun("a booking was not served before the disruption: %r" % (answer,))
    ran = time.monotonic()
    if place.trouble:
        place.record.say("the zone of k1 and k2 is lost")
        for replica in replicas[1:]:
            replica.signal(signal.SIGKILL)
            replica.wait(5)
    time.sleep(3.5)
    broken = []
    again = {}
    for at, key in enumerate(first):
        again[key] = router.ask("dock-booking", b"truck %d" % at, unique=key, cpu="300.0")
    asked = time.monotonic()
    place.record.say("the repeats come %.1f s after the runs ended; the window is 13.584 s" % (asked - ran))
    for key, stream in again.items():
        answer = router.answer(stream, 4.6)
        if not answer:
            raise CannotRun("a repeat got no answer")
        if answer[0] == REFUSED:
            broken.append("booking %s has run on m0, and its repeat %.1f s later is turned away" % (key, asked - ran))
    time.sleep(max(0.0, ran + OUTAGE_S - time.monotonic()))
    if place.trouble:
        place.record.say("the zone is back")
        for replica in replicas[1:]:
            replica.start()
    if len(kernel.runs) != KEYS:
        broken.append("%d runs for %d bookings" % (len(kernel.runs), KEYS))
    server.drain(3200)
    return broken


sys.exit(run_case(CASE, play))
