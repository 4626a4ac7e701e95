"""The loss of one machine, whose open batch jobs all go to the leader, which has too little memory for them."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-in-2"))
from world import (ENGINES, PLAIN, TROUBLE, CannotRun, batch_job, batch_route, enforce_memory, main,  # noqa: E402
                   now_ms, plain_route, read, submit)

SMALL_MB, LARGE_MB = 120, 512
TRAINERS = 8
ITEMS = 16
# With the base64 form of the bodies, about 16 MB a batch job; max-body-bytes is 33.5 MB.
BODY_BYTES = 750_000
EVENTS, EVENT_MS = 100, 60
STABLE_WINDOW_MS = 3_000
UNPLACED_MS = 5_000
STEP_MS = 12_000


async def case(world):
    await world.start_store()
    for number in range(24):
        await world.add_engine(f"engine-{number}", "advisor", models=("m0",), slots=6, event_ms=EVENT_MS)
    await world.add_engine("plain-0", "shopfront", slots=32)
    prefixes = [f"/advice{number}/" for number in range(TRAINERS)]
    await world.configure(3, [plain_route(), *map(batch_route, prefixes)], [ENGINES, PLAIN])
    world.memory_mb = SMALL_MB
    small = [world.add_node(zone).start() for zone in ("dk-east-a", "dk-east-b", "dk-east-c")]
    await world.wait_ready()
    await asyncio.sleep(2)
    world.memory_mb = LARGE_MB
    large = world.add_node("dk-east-a").start()
    await world.wait_ready()

    limits = {**{node: SMALL_MB for node in small}, large: LARGE_MB}
    kills = {node.name: 0 for node in world.nodes}
    platform = asyncio.create_task(enforce_memory(world, limits, kills))
    submitted_ms = {}
    for number, prefix in enumerate(prefixes):
        job = f"step-{number}"
        body = batch_job(job, ITEMS, prefix, events=EVENTS, body=b"x" * BODY_BYTES)
        answer = await submit(world, large, job, body, prefix)
        if answer is None or answer.status != 202:
            raise CannotRun("a batch job was not accepted")
        submitted_ms[job] = now_ms()
    await asyncio.sleep(1)
    removed_ms = now_ms()
    if TROUBLE:
        limits.pop(large)
        large.kill()
        world.record("removed for good", node=large.name)
    next_positions = {}
    while now_ms() < removed_ms + 35_000:
        for job in submitted_ms:
            _, page = await read(world, small[len(next_positions) % len(small)], job)
            if page is not None:
                next_positions[job] = page["next"]
        await asyncio.sleep(1)
    platform.cancel()
    return judge(world, submitted_ms, removed_ms, kills, next_positions)


def judge(world, submitted_ms, removed_ms, kills, next_positions):
    """LOST: an item that no engine has finished was at no engine for 5 s of steady state before its step's end."""
    runs = [entry for entry in world.records if entry["what"] == "run"]
    done = {entry["id"] for entry in world.records if entry["what"] == "done"}
    lost = []
    for job, at_ms in submitted_ms.items():
        items = [f"{job}-i{number}" for number in range(ITEMS)]
        begun = {run["id"] for run in runs if run["id"] in items}
        for item in items:
            later = [run["at_ms"] for run in runs if run["id"] == item and run["at_ms"] >= removed_ms]
            placed_ms = min(later + [at_ms + STEP_MS])
            if (TROUBLE and item not in done and begun - {item}
                    and placed_ms - removed_ms - STABLE_WINDOW_MS >= UNPLACED_MS):
                lost.append(item)
    unfinished = [job for job in submitted_ms if next_positions.get(job, 0) < ITEMS]
    world.record("judged", lost_items=lost, unfinished_jobs=unfinished, ends_by_memory=kills)
    return 1 if lost or not TROUBLE and unfinished else 0


main(case, HERE)
