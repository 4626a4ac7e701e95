"""Twice as many clients as usual send large bodies to a node, beside clients with small requests."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import harness as h

MEMORY_MB, BODY_BYTES = 260, 30_000_000
USUAL, BURST_X, BURST_S = 3, 2, 15
KEPT, WORK_S = 12, 0.6


async def main(record):
    async with h.Cluster(record, 3) as cluster:
        for number in range(4):
            await cluster.add_engine(f"i-{number}", "desk", h.plain_work(WORK_S), slots=20)
        await cluster.start(
            [
                h.route("ticket", "/ticket/", "non_idempotent", "desk", **{"target-latency-ms": 4000}),
                h.route("photo", "/photo/", "idempotent", "desk", **{"target-latency-ms": 4000}),
            ],
            [{"name": "desk", "max-conns": 110}],
        )
        node = cluster.nodes[0]
        lost, answers, killed = [], [], []
        peak_mb = 0

        async def memory_limit():
            """The platform kills a process that uses more than `memory-mb`, and starts it again."""
            nonlocal peak_mb
            while True:
                await asyncio.sleep(0.002)
                try:
                    with open(f"/proc/{node.process.pid}/status") as file:
                        fields = dict(line.split(":", 1) for line in file)
                    used_mb = int(fields["VmRSS"].split()[0]) / 1024
                except (OSError, KeyError):
                    continue
                peak_mb = max(peak_mb, used_mb)
                if used_mb > MEMORY_MB:
                    record(f"{node.name} uses {used_mb:.0f} MB, over {MEMORY_MB}: SIGKILL")
                    killed.append(h.now())
                    node.signal(signal.SIGKILL)
                    await node.process.wait()
                    await asyncio.sleep(0.5)
                    await node.start()

        async def upload(client):
            while True:
                headers = {"Attempt-Id": h.new_id(), "Deadline-Ms": 9000}
                try:
                    answer = await h.request(
                        node.front, "POST", f"/photo/{client}", headers, bytes(BODY_BYTES)
                    )
                    record(f"large body of client {client}: {answer.status}")
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    record(f"large body of client {client}: no answer")
                    await asyncio.sleep(1)

        async def kept(client):
            """One connection for many small requests that may not run twice."""
            while True:
                try:
                    reader, writer = await asyncio.open_connection(*node.front)
                except OSError:
                    await asyncio.sleep(0.2)
                    continue
                try:
                    while True:
                        attempt = h.new_id()
                        headers = {"Attempt-Id": attempt, "Deadline-Ms": 9000}
                        writer.write(h.request_bytes("POST", f"/ticket/{client}", headers, b"x"))
                        line, _, _ = await h.read_message(reader)
                        answers.append(line.split(" ")[1])
                except (ConnectionError, asyncio.IncompleteReadError):
                    lost.append((h.now(), attempt))
                finally:
                    writer.close()

        watch = asyncio.create_task(memory_limit())
        tasks = [asyncio.create_task(kept(client)) for client in range(KEPT)]
        await asyncio.sleep(3)
        record(f"{USUAL} clients send bodies of {BODY_BYTES} bytes, one after the other each")
        tasks += [asyncio.create_task(upload(client)) for client in range(USUAL)]
        await asyncio.sleep(10)
        record(f"memory so far: {peak_mb:.0f} MB at most")
        if h.trouble():
            record(f"burst: {BURST_X} times as many clients for {BURST_S} s")
            more = range(USUAL, USUAL * BURST_X)
            tasks += [asyncio.create_task(upload(client)) for client in more]
        await asyncio.sleep(BURST_S)
        for task in tasks:
            task.cancel()
        watch.cancel()
        record(f"memory: {peak_mb:.0f} MB at most; killed {len(killed)} times")
        return judge(record, cluster, lost, answers)


def judge(record, cluster, lost, answers):
    """LOST: passed on from a kept connection that closes without an answer, over three times."""
    arrived = {attempt: engine.name for engine in cluster.engines for _, attempt in engine.arrived}
    passed_on = 0
    for lost_s, attempt in lost:
        if attempt in arrived:
            passed_on += 1
            record(f"LOST {attempt}: at {arrived[attempt]}, its connection closed at {lost_s:.3f}")
    record(f"{len(answers)} small requests answered, {passed_on} lost that were passed on")
    return passed_on > 3


h.run(main, __file__)
