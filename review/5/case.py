"""The leader stands still for 3.2 s while engines are replaced one after the other."""

import asyncio
import json
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import harness as h

NODES, ENGINES = 8, 24
FREEZE_S, DRAIN_S = 3.2, 2.0
REPLACED, GAP_S, START_S = 10, 0.25, 0.9


async def main(record):
    async with h.Cluster(record, NODES) as cluster:
        for number in range(ENGINES):
            await cluster.add_engine(f"i-{number:02}", "shop", h.plain_work(0.02), slots=6)
        await cluster.start(
            [h.route("page", "/page/", "idempotent", "shop", **{"timeout-ms": 2000})],
            [{"name": "shop", "max-conns": 110}],
        )
        balancer = h.Balancer(cluster.nodes)
        taken, acknowledged, answers = {}, {}, []

        async def client(number):
            node = balancer.pick(number)
            attempt = h.new_id()
            taken[attempt] = node.name
            headers = {"Attempt-Id": attempt, "Deadline-Ms": 800}
            try:
                call = h.request(node.front, "POST", f"/page/{number}", headers, b"x")
                answers.append((await asyncio.wait_for(call, 1)).status)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                answers.append(0)

        async def traffic():
            number = 0
            while True:
                asyncio.create_task(client(number))
                number += 1
                await asyncio.sleep(0.01)

        async def replace(number):
            """The new engine starts first; the old one drains once the new one is known."""
            name = f"i-{ENGINES + number:02}"
            await cluster.add_engine(name, "shop", h.plain_work(0.02), slots=6)
            await asyncio.sleep(START_S)
            engine = cluster.engines[number]
            acknowledged[engine.name] = engine.drain()
            record(f"the store has acknowledged that {engine.name} is draining")

        async def release():
            await asyncio.gather(*[later(number * GAP_S, replace(number)) for number in range(REPLACED)])

        async def later(seconds, step):
            await asyncio.sleep(seconds)
            await step

        async def renewal(lease):
            """Returns when the store has renewed a lease."""
            end = cluster.store.leases[lease][1]
            while cluster.store.leases[lease][1] == end:
                await asyncio.sleep(0.001)

        load = asyncio.create_task(traffic())
        await asyncio.sleep(6)
        leader = json.loads(cluster.store.rows["wp/keeper"]["value"])["vm"]
        process = next(node for node in cluster.nodes if node.name == leader)
        lease = cluster.store.rows["wp/keeper"]["lease"]
        await renewal(lease)
        await asyncio.sleep(0.25)
        releasing = asyncio.create_task(release())
        record("the release begins")
        await renewal(lease)
        await renewal(lease)
        if h.trouble():
            await asyncio.sleep(0.02)
            record(f"SIGSTOP to the leader {leader}, which has just renewed its lease")
            process.signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            process.signal(signal.SIGCONT)
            record(f"SIGCONT to {leader}")
        await releasing
        await asyncio.sleep(4)
        load.cancel()
        return judge(record, cluster, taken, acknowledged, answers, leader)


def judge(record, cluster, taken, acknowledged, answers, leader):
    """DRAIN: reaches an engine over 2 s after it said that it drains, by machines in touch."""
    late = 0
    for engine in cluster.engines:
        if engine.name not in acknowledged:
            continue
        since = [(s - acknowledged[engine.name], attempt) for s, attempt in engine.arrived]
        for after_s, attempt in since:
            node = taken.get(attempt)
            if after_s > DRAIN_S and node and (node != leader or not h.trouble()):
                late += 1
                record(
                    f"DRAIN {attempt}: taken by {node}, reached {engine.name} {after_s * 1000:.0f}"
                    " ms after the acknowledgement"
                )
        last = max((after_s for after_s, _ in since), default=0)
        record(f"{engine.name}: the last request arrived {last:.3f} s after the acknowledgement")
    served = sum(status == 200 for status in answers)
    record(f"{len(answers)} requests, {served} served, {late} late at a draining engine")
    return late > 0


h.run(main, __file__)
