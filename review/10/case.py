"""Requests that were served just before the stop of a drain get no answer: their answers wait for the group commit."""
import os, signal, sys, time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from harness import *

OPERATIONS = [operation("work-report", 2.4, 5.8, 1.0), operation("billing-tally", 1.4, 3.5, 3.0)]
STOP_MS, WITHIN_MS = 3000, 500


def body(case):
    record = case.record
    # The body tells the executor how long the run takes, in milliseconds.
    executor = Executor(record, "executor", lambda body: (int(body) / 1000, b"done"))
    operator = 'store: {folder: "%s", within: %dms}\n' % (os.path.join(case.temp, "store"), WITHIN_MS)
    server = case.server("n0", executor, OPERATIONS, operator, STOP_MS)
    router = Router(record, "router", server.address)
    first = router.ask("%016x" % 1, "billing-tally", b"20")
    if not router.answer(first, 3):
        raise CannotRun("no answer before the notice")
    notice = time.monotonic()
    if TROUBLE:
        server.signal(signal.SIGTERM)
    asked = []
    # All come within the grace of 2.5 s, and each run ends before the stop.
    for number, (at, length) in enumerate([(0.2, 300), (1.0, 300), (1.9, 700), (2.0, 650), (2.1, 600), (2.2, 550)]):
        time.sleep(max(0, notice + at - time.monotonic()))
        asked.append(router.ask("%016x" % (number + 2), "work-report", b"%d" % length))
    time.sleep(max(0, notice + STOP_MS / 1000 - time.monotonic()))
    if TROUBLE and server.alive():
        server.signal(signal.SIGKILL)  # the platform's, stop_ms after the notice
    time.sleep(1.0)
    missing = [txn for txn in asked if not router.answer(txn, 0.5)]
    for txn in asked:
        answer = router.answer(txn, 0)
        record("%s was answered %s" % (txn, answer and "%s %.0f ms after the notice" % (answer[0], (answer[3] - notice) * 1000)))
    if missing:
        return "%d of %d requests that were read before the grace was over were never answered; all of them had run" % (
            len(missing), len(asked))


play(__file__, body)
