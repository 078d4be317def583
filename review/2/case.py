"""A forwarder is partitioned from its planners and workers for 6 s; workers that stand alone meet the same partition."""

import os
import shutil
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
sys.dont_write_bytecode = True
from standins import *  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SLACK_MS = 100 + 50  # the site's slack, and 50 ms more on sockets
CORES, PLACES = 6, 12  # docs/ops/tier.md: start with twice its cores
CUT_FROM, CUT_UNTIL, END = 28.0, 34.0, 56.0  # seconds
JUDGED_FROM = CUT_UNTIL + 6.0
RATE = 30.0  # requests a second, to each of both systems: 0.6 of the cores of its two workers
CLASSES = [("work-report", 2.0, 1.0, 5800, 390), ("unit-status", 1.5, 1.0, 3500, 230), ("billing-tally", 1.5, 3.0, 3500, 230)]


class System:
    """The tries of the clients of one of both systems, in the order of a fixed mix of classes."""

    def __init__(self, name, record):
        self.name, self.record, self.tries = name, record, []

    async def connect(self, addresses):
        self.lines = []
        for number, address in enumerate(addresses):
            connection = await Connection(f"{self.name} router {number}", self.record).connect(address)
            self.lines.append([connection, address])

    async def send(self, at, class_index):
        verb, _, worth, deadline_ms, _ = CLASSES[class_index]
        line = self.lines[len(self.tries) % len(self.lines)]
        attempt = Try(f"{self.name[0].encode().hex()}{len(self.tries) + 1:014x}", verb, f"{self.name} {len(self.tries)}", None, deadline_ms)
        attempt.worth, attempt.at = worth, at
        self.tries.append(attempt)
        if line[0].has_ended.done():
            line[0] = await Connection(line[0].name, self.record).connect(line[1])
        if len(line[0].open) < 32:
            line[0].send(attempt)

    def value(self, start, end):
        """The billed value that was served within the latency objective or after it, and that was asked for."""
        judged = [attempt for attempt in self.tries if start <= attempt.at < end]
        served = sum(attempt.worth for attempt in judged if attempt.answers and attempt.answers[0][1] == "served")
        return served, sum(attempt.worth for attempt in judged)


async def main():
    record = Record(FOLDER)
    roster = Roster()
    await roster.start()
    work = {verb: work_ms for verb, _, _, _, work_ms in CLASSES}
    processes, folders, workers, proxies, datagrams = [], [], [], [], []

    def member(name, arguments, kernel, address):
        server = Server(record, configuration(address, kernel.address, roster.address, portal_settings(), name), arguments)
        processes.append(server)
        folders.append(server.folder)
        return server

    def operator(listen, planners, worker_addresses):
        folder = tempfile.mkdtemp(prefix="review-")
        folders.append(folder)
        planners = ", ".join(f'{{name: "p{number}", address: "{each}"}}' for number, each in enumerate(planners))
        listed = enumerate(worker_addresses)
        listed = ", ".join(f'{{name: "w{number}", address: "{each}", places: {PLACES}}}' for number, each in listed)
        path = os.path.join(folder, "operator.cue")
        with open(path, "w") as file:
            file.write(f'tier: {{listen: "{listen}", planners: [{planners}], workers: [{listed}]}}\n')
        return path

    try:
        for number in range(4):  # w0 and w1 behind the forwarder, w2 and w3 stand alone
            kernel = Kernel(lambda text: None, lambda service, body: work[service])
            await kernel.start()
            address = f"127.0.0.1:{free_port()}"
            member(f"w{number}", [], kernel, address)
            if not await wait_until_healthy(address, record):
                return 2
            proxy = CuttableProxy(address)
            await proxy.start()
            workers.append((kernel, address))
            proxies.append(proxy)
        planners = [f"127.0.0.1:{free_datagram_port()}" for _ in range(2)]
        for planner in planners:
            datagrams.append(CuttableDatagrams(planner))
            await datagrams[-1].start()
        for number, listen in enumerate(planners):
            path = operator(listen, planners, [address for _, address in workers[:2]])
            member(f"p{number}", ["plan", "--operator", path], workers[0][0], f"127.0.0.1:{free_port()}")
        path = operator(f"127.0.0.1:{free_datagram_port()}", [each.address for each in datagrams], [each.address for each in proxies[:2]])
        forwarder_address = f"127.0.0.1:{free_port()}"
        forwarder = member("f0", ["forward", "--operator", path], workers[0][0], forwarder_address)
        if not await wait_until_healthy(forwarder_address, record):
            return 2
        await asyncio.sleep(1)
        forwarded, alone = System("forwarded", record), System("alone", record)
        await forwarded.connect([forwarder_address] * 4)
        await alone.connect([each.address for each in proxies[2:]] * 2)

        start, number, is_cut = time.monotonic(), 0, False
        while (now := time.monotonic() - start) < END:
            if TROUBLE and is_cut != (CUT_FROM <= now < CUT_UNTIL):
                is_cut = not is_cut
                record("the partition begins" if is_cut else "the partition ends")
                for proxy in proxies:
                    proxy.passes.clear() if is_cut else proxy.passes.set()
                for each in datagrams:
                    each.is_cut = is_cut
            class_index = (0, 1, 2, 0, 1, 0, 2, 1, 0, 2)[number % 10]
            await forwarded.send(now, class_index)
            await alone.send(now, class_index)
            number += 1
            await asyncio.sleep(max(0.0, start + number / RATE - time.monotonic()))
        await asyncio.sleep(max(deadline for _, _, _, deadline, _ in CLASSES) / 1000 + 0.2)

        found = broken_promises(forwarded.tries, SLACK_MS)
        for process in processes:
            if process.process.poll() is not None:
                found.insert(0, f"crash: {process.config['name']} ended by itself with exit code {process.process.poll()}")
        for begin, end in [(10, CUT_FROM), (CUT_FROM, CUT_UNTIL), (CUT_UNTIL, JUDGED_FROM), (JUDGED_FROM, END)]:
            values = [f"{each.name} {each.value(begin, end)[0]:.0f} of {each.value(begin, end)[1]:.0f}" for each in (forwarded, alone)]
            line = f"billed value served, second {begin:.0f} to {end:.0f}: {', '.join(values)}"
            record(line)
            print(line)
        for line in forwarder.log_text().splitlines():
            record(f"forwarder: {line}")
        (served, _), (served_alone, asked) = forwarded.value(JUDGED_FROM, END), alone.value(JUDGED_FROM, END)
        if served_alone < 0.8 * asked:
            print("the workers that stand alone did not serve either")
            return 2
        # "never lets billed value served drop below that of standalone workers", with a twentieth for chance.
        if served < 0.95 * served_alone:
            found.append(f"hung: {served:.0f} served through the forwarder, {served_alone:.0f} by workers that stand alone")
        for line in found:
            record(f"BROKEN {line}")
            print(line)
        return 1 if found else 0
    finally:
        for process in processes:
            process.end()
        for folder in folders:
            shutil.rmtree(folder, ignore_errors=True)


play(main)
