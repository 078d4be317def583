"""A router's connection is reset as an answer arrives, while two tries of one booking are open on it."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
sys.dont_write_bytecode = True
from standins import *  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SLACK_MS = 80 + 50  # the site's slack, and 50 ms more on sockets
DEADLINE_MS = 4500


async def main():
    record = Record(FOLDER)
    # 385 ms of work at 0.77 of the yardstick speed, 230 ms at the same speed.
    kernel = Kernel(record, lambda service, body: 500 if service == "dock-booking" else 300)
    roster = Roster()
    await kernel.start()
    await roster.start()
    address = f"127.0.0.1:{free_port()}"
    server = Server(record, configuration(address, kernel.address, roster.address, yard_settings()))
    tries = []

    def new_try(verb, body, unique=None):
        attempt = Try(f"{len(tries) + 1:016x}", verb, body, unique, DEADLINE_MS)
        tries.append(attempt)
        return attempt

    try:
        if not await wait_until_healthy(address, record):
            return 2
        first = await Connection("router 1", record).connect(address)
        second = await Connection("router 2", record).connect(address)

        def on_answer(attempt):
            if TROUBLE and attempt.body == "pallet 1000":
                first.reset()

        async def steady_traffic():
            for number in range(12):
                if not second.has_ended.done():
                    second.send(new_try("pallet-lookup", f"pallet {number}"))
                await asyncio.sleep(0.5)

        first.on_answer = on_answer
        traffic = asyncio.create_task(steady_traffic())
        await asyncio.sleep(0.9)
        first.send(new_try("pallet-lookup", "pallet 1000"))
        await asyncio.sleep(0.05)
        # A terminal books a dock, waits briefly and asks again through its router: a further try under the same key.
        first.send(new_try("dock-booking", "truck 17", "booking-17"))
        await asyncio.sleep(0.15)
        first.send(new_try("dock-booking", "truck 17", "booking-17"))
        await asyncio.sleep(0.8)
        # The router connects again; its client asks for the booking for the last time.
        try:
            third = await Connection("router 1", record).connect(address)
            third.send(new_try("dock-booking", "truck 17", "booking-17"))
        except OSError as error:
            record(f"router 1: no connection: {error}")
        await traffic
        await asyncio.sleep((DEADLINE_MS + SLACK_MS) / 1000)

        found = broken_promises(tries, SLACK_MS)
        code = server.process.poll()
        if code is not None:
            found.insert(0, f"crash: the app server ended by itself with exit code {code}")
        if kernel.runs_of("truck 17") > 1:
            found.append(f"duplicate: the booking ran {kernel.runs_of('truck 17')} times")
        for line in server.log_text().splitlines():
            record(f"server: {line}")
        for line in found:
            record(f"BROKEN {line}")
            print(line)
        return 1 if found else 0
    finally:
        server.end()


play(main)
