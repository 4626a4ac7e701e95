"""A trainer's batch jobs of 12 MB, which the limits allow, at machines of 120 MB."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-in-2"))
from world import (ENGINES, PLAIN, TROUBLE, batch_job, batch_route, enforce_memory, main, plain_route,  # noqa: E402
                   submit)

MEMORY_MB = 120
ITEMS = 64
# With the base64 form of the bodies, about 12 MB and 0.1 MB a batch job; max-body-bytes is 33.5 MB.
BODY_BYTES = 140_000 if TROUBLE else 600
STEPS = 9


async def case(world):
    world.memory_mb = MEMORY_MB
    await world.start_store()
    for number in range(6):
        await world.add_engine(f"engine-{number}", "advisor", models=("m0",), slots=16, event_ms=20)
    await world.add_engine("plain-0", "shopfront", slots=32)
    await world.configure(3, [plain_route(), batch_route()], [ENGINES, PLAIN])
    for zone in ("dk-east-a", "dk-east-b", "dk-east-c"):
        world.add_node(zone).start()
    await world.wait_ready()
    await asyncio.sleep(2)

    kills = {node.name: 0 for node in world.nodes}
    platform = asyncio.create_task(enforce_memory(world, {node: MEMORY_MB for node in world.nodes}, kills))
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
    world.record("judged", ends_by_memory=kills, accepted=accepted, steps=STEPS)
    # Fault: on a tenth of the machines in use (two at least), processes end by themselves three times.
    return 1 if sum(count >= 3 for count in kills.values()) >= 2 else 0


main(case, HERE)
