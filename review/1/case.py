"""A node stands still for 3.2 s; the end of a batch job that it owned reaches it as it wakes."""

import asyncio
import base64
import json
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import harness as h

NODES, ENGINES, SLOTS = 3, 2, 8
FREEZE_S, CANCEL_S = 3.2, 3.0
LONG, SHORT = 182, 25


async def generate(engine, headers, body, writer):
    """A text of as many events as the prompt says, with 50 ms between them."""
    first = int(headers.get("last-event-id", 0)) + 1
    events = int(json.loads(body)["events"])
    text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
    version = engine.models["m0"]
    for name, value in {**h.seal(engine, headers), "Weight-Versions": version}.items():
        text += f"{name}: {value}\r\n"
    writer.write((text + "\r\n").encode())
    for number in range(first, events + 1):
        await asyncio.sleep(0.05)
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        if number == first:
            engine.begun.append((h.now(), headers["attempt-id"]))
    writer.write(b"0\r\n\r\n")


def batch_job(items, events):
    """A trainer's batch job: its id, its body and the ids of its items."""
    ids = [h.new_id() for _ in range(items)]
    entries = [
        {
            "id": item,
            "path": f"/advice/{number}",
            "headers": {"Model": "m0", "Token-Usage": "271,400"},
            "body": base64.b64encode(json.dumps({"events": events}).encode()).decode(),
            "tokens": 271 + events * 16,
            "group": f"g{number // 4}",
        }
        for number, item in enumerate(ids)
    ]
    step = {"step": 0, "model": "m0", "min-version": 1, "group-count": items // 4}
    return h.new_id(), json.dumps({**step, "entries": entries}).encode(), ids


async def main(record):
    async with h.Cluster(record, NODES) as cluster:
        for number in range(ENGINES):
            engine = await cluster.add_engine(
                f"i-{number}", "advisor", generate, slots=SLOTS, models=["m0"]
            )
            engine.begun = []
        await cluster.start(
            [
                h.route(
                    "advice", "/advice/", "rollout", "advisor",
                    **{"due-ms": 7500, "retention-s": 40.0, "resumable": True},
                )
            ],
            [{"name": "advisor", "max-conns": 140, "engine": {"models": [{"name": "m0"}]}}],
        )
        balancer = h.Balancer(cluster.nodes)
        await asyncio.sleep(4)
        leader = json.loads(cluster.store.rows["wp/keeper"]["value"])["vm"]
        others = [node for node in cluster.nodes if node.name != leader]
        owner, other = others[0], others[1]

        async def submit(node, job, body):
            answer = await h.request(node.front, "POST", "/advice/", {"Attempt-Id": job}, body)
            record(f"batch job {job} submitted to {node.name}: {answer.status}")
            return answer.status

        busy, body, _ = batch_job(ENGINES * SLOTS, LONG)
        await submit(other, busy, body)
        await asyncio.sleep(0.5)
        job, body, items = batch_job(16, SHORT)
        if await submit(owner, job, body) != 202:
            sys.exit(2)
        # The node stands still right after a probe, so it is in rotation for two more seconds.
        await balancer.next_round()
        froze_s = h.now()
        if h.trouble():
            record(f"SIGSTOP to {owner.name}, which owns {job}; the leader is {leader}")
            owner.signal(signal.SIGSTOP)

        async def thaw():
            await asyncio.sleep(froze_s + FREEZE_S - h.now())
            owner.signal(signal.SIGCONT)
            record(f"SIGCONT to {owner.name}")

        thawing = asyncio.create_task(thaw()) if h.trouble() else None
        # The client's connection is given to a node that is still in rotation.
        await asyncio.sleep(froze_s + FREEZE_S - 0.45 - h.now())
        rotation = [node.name for node in balancer.candidates()]
        record(f"in rotation: {', '.join(rotation)}; the end of {job} is sent to {owner.name}")
        if owner.name not in rotation:
            sys.exit(2)
        answer = await h.request(owner.front, "DELETE", f"/lots/{job}", {})
        ended_s = h.now()
        record(f"the end of {job} is answered {answer.status}")
        if answer.status != 200:
            sys.exit(2)
        if thawing:
            await thawing
        await asyncio.sleep(9)
        return judge(record, cluster, set(items), ended_s)


def judge(record, cluster, items, ended_s):
    """UNASKED: an item that reaches an engine over 3 s after the acknowledged end runs."""
    late = 0
    for engine in cluster.engines:
        begun = {item: at_s for at_s, item in engine.begun}
        for arrived_s, item in engine.arrived:
            if item not in items or item not in begun:
                continue
            after_s = arrived_s - ended_s
            record(f"item {item} reached {engine.name} {after_s:+.3f} s from the end, and ran")
            late += after_s > CANCEL_S
    record(f"{late} items ran that reached an engine over {CANCEL_S} s after the end")
    return late > 0


h.run(main, __file__)
