"""A trainer's batch jobs of 12 MB, which the limits allow, at machines of 120 MB that also serve others."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-in-2"))
from world import (ENGINES, HOST, PLAIN, TROUBLE, batch_job, batch_route, enforce_memory, main, now_ms,  # noqa: E402
                   plain_route, read_body, read_head, submit)

MEMORY_MB = 120
ITEMS = 64
# With the base64 form of the bodies, about 12 MB and 0.1 MB a batch job; max-body-bytes is 33.5 MB.
BODY_BYTES = 140_000 if TROUBLE else 600
STEPS = 4
CLIENTS = 6
STABLE_WINDOW_MS = 3_000


async def case(world):
    world.memory_mb = MEMORY_MB
    await world.start_store()
    for number in range(6):
        await world.add_engine(f"engine-{number}", "advisor", models=("m0",), slots=16, event_ms=20)
    await world.add_engine("plain-0", "shopfront", slots=64, work_ms=200)
    await world.configure(3, [plain_route(), batch_route()], [ENGINES, PLAIN])
    for zone in ("dk-east-a", "dk-east-b", "dk-east-c"):
        world.add_node(zone).start()
    await world.wait_ready()
    await asyncio.sleep(4)

    kills = {node.name: 0 for node in world.nodes}
    platform = asyncio.create_task(enforce_memory(world, {node: MEMORY_MB for node in world.nodes}, kills))
    clients = [asyncio.create_task(use_kept_connections(world, node, f"{node.name}-{number}"))
               for node in world.nodes for number in range(CLIENTS)]
    accepted = 0
    for step in range(STEPS):
        job = f"step-{step}"
        body = batch_job(job, ITEMS, body=b"x" * BODY_BYTES, step=step, events=3)
        # The same batch job arrives again, at another daemon, after a broken connection; one retry.
        for attempt in range(2):
            node = world.nodes[(step + attempt) % len(world.nodes)]
            answer = await submit(world, node, job, body, timeout=6)
            if answer is not None and answer.status == 202:
                accepted += 1
                break
        await asyncio.sleep(4)
    platform.cancel()
    for client in clients:
        client.cancel()
    return judge(world, kills, accepted)


async def use_kept_connections(world, node, client):
    """Another client: sends one request after the other on a connection that it keeps."""
    number = 0
    while True:
        answered = 0
        writer = None
        id = None
        try:
            reader, writer = await asyncio.open_connection(*node.front)
            while True:
                number += 1
                id = f"{client}-{number}"
                sent_ms = now_ms()
                writer.write((f"POST /look/page HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 2000\r\n"
                              "content-length: 4\r\n\r\npage").encode())
                await writer.drain()
                _, headers = await read_head(reader)
                await read_body(reader, headers)
                answered += 1
        except (OSError, asyncio.IncompleteReadError):
            if answered:
                world.record("closed without an answer", id=id, node=node.name, after_ms=now_ms() - sent_ms,
                             answered_before=answered)
        finally:
            if writer is not None:
                writer.close()
        await asyncio.sleep(0.2)


def judge(world, kills, accepted):
    """LOST: requests from kept connections that were passed on, and whose connections were closed without an answer.

    Counted at machines whose process had not ended in the 3 s before, within the deadline and the route's timeout.
    """
    ran = {entry["id"] for entry in world.records if entry["what"] == "run"}
    lost = []
    ended_ms = {}
    for entry in world.records:
        if entry["what"] == "over the limit":
            calm = entry["at_ms"] - ended_ms.get(entry["node"], -STABLE_WINDOW_MS) >= STABLE_WINDOW_MS
            ended_ms[entry["node"]] = entry["at_ms"]
            if calm:
                lost += [closed["id"] for closed in world.records
                         if closed["what"] == "closed without an answer" and closed["node"] == entry["node"]
                         and 0 <= closed["at_ms"] - entry["at_ms"] < 500 and closed["after_ms"] < 2000
                         and closed["id"] in ran]
    closed = sum(entry["what"] == "closed without an answer" for entry in world.records)
    world.record("judged", lost=lost, closed=closed, ends_by_memory=kills, accepted=accepted, steps=STEPS)
    return 1 if len(lost) > 3 else 0


main(case, HERE)
