"""A request under which engines crash and fall silent comes again every 2.5 s."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import harness as h

NODES, ENGINES = 3, 9
BACK_S, STABLE_S, RETRIES = 3.0, 3.0, 3
RESENT, RESENT_S = 8, 2.5
DEADLY = b"deadly"


class Fragile(h.Engine):
    """An engine that crashes as soon as it begins to run one request, and is silent until it is back."""

    is_dark = False

    async def connection(self, reader, writer):
        self.writers = getattr(self, "writers", set())
        self.writers.add(writer)
        await super().connection(reader, writer)
        self.writers.discard(writer)

    async def run(self, headers, body, writer, target):
        if self.is_dark:
            await asyncio.sleep(BACK_S)
            raise ConnectionError
        if body == DEADLY and h.trouble():
            self.crashes.append((h.now(), self.name, headers["attempt-id"]))
            self.record(f"{self.name} crashes under {headers['attempt-id']}, and is silent")
            self.is_dark = True
            asyncio.create_task(self.restart())
            await asyncio.sleep(BACK_S)
            raise ConnectionError
        await super().run(headers, body, writer, target)

    async def restart(self):
        await asyncio.sleep(BACK_S)
        for writer in list(self.writers):
            writer.transport.abort()
        self.born, self.is_dark, self.running = int(time.time() * 1000), False, 0
        self.register()
        self.record(f"{self.name} is back")


async def main(record):
    async with h.Cluster(record, NODES) as cluster:
        Fragile.crashes = crashes = []
        for number in range(ENGINES):
            engine = Fragile(f"i-{number}", "shop", record, h.plain_work(0.025), slots=6)
            await engine.serve(f"{cluster.net}.{100 + number}", cluster.store)
            cluster.engines.append(engine)
        fields = {"timeout-ms": 2000, "target-latency-ms": 150}
        await cluster.start(
            [h.route("page", "/page/", "idempotent", "shop", **fields)],
            [{"name": "shop", "max-conns": 110}],
        )
        await asyncio.sleep(4)
        answers = []

        async def other(number):
            node = cluster.nodes[number % NODES]
            headers = {"Attempt-Id": h.new_id(), "Deadline-Ms": 800}
            try:
                call = h.request(node.front, "POST", f"/page/{number}", headers, b"x")
                answers.append((await asyncio.wait_for(call, 1)).status)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                answers.append(0)

        async def others():
            number = 0
            while True:
                asyncio.create_task(other(number))
                number += 1
                await asyncio.sleep(0.05)

        load = asyncio.create_task(others())
        for number in range(RESENT):
            node = cluster.nodes[number % NODES]
            attempt = h.new_id()
            record(f"{attempt} sent to {node.name}")
            headers = {"Attempt-Id": attempt, "Deadline-Ms": 800}
            try:
                call = h.request(node.front, "POST", "/page/deadly", headers, DEADLY)
                record(f"{attempt}: {(await asyncio.wait_for(call, 1)).status}")
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                record(f"{attempt}: no answer")
            await asyncio.sleep(RESENT_S)
        load.cancel()
        served = sum(status == 200 for status in answers)
        record(f"{len(answers)} other requests, {served} served; {len(crashes)} crashes")
        if len(crashes) < 3:
            return False
        third_s = crashes[2][0]
        late = [crash for crash in crashes if crash[0] > third_s + STABLE_S]
        for crash_s, name, attempt in late:
            record(f"BUDGET {attempt} reached {name} {crash_s - third_s:.1f} s after the third crash")
        attempts = {attempt for _, _, attempt in late}
        record(f"{len(late)} runs in {len(attempts)} retries, {RETRIES} retries are allowed")
        return len(attempts) > RETRIES


h.run(main, __file__)
