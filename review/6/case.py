"""A machine that loses its member row while it works; its batch jobs are taken over by nobody once it is gone."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-in-2"))
from world import (ENGINES, PLAIN, TROUBLE, CannotRun, batch_job, batch_route, main, now_ms, plain_route, read,  # noqa: E402
                   submit)

ROUTES = 10
# The platform's page: a call without a response may be executed seconds later; the bench: 1 to 6 s later.
LATE_S = 3.0
STABLE_WINDOW_MS = 3_000
UNPLACED_MS = 5_000
STEP_MS = 12_000


async def case(world):
    await world.start_store()
    for number in range(6):
        await world.add_engine(f"engine-{number}", "advisor", models=("m0",), event_ms=100)
    await world.add_engine("plain-0", "shopfront")
    prefixes = [f"/advice{number}/" for number in range(ROUTES)]
    await world.configure(3, [plain_route(), *map(batch_route, prefixes)], [ENGINES, PLAIN])
    other = world.add_node("dk-east-a").start()
    world.add_node("dk-east-b").start()
    await world.wait_ready()
    await asyncio.sleep(4)

    # A machine is added. Trouble: the answer to its first write of its member row is lost, and the write is done late.
    added = world.add_node("dk-east-c")
    member = "wp/member/" + added.name
    late = []

    def on_txn(request, body):
        if TROUBLE and not late and [put["key"] for put in body["puts"]] == [member]:
            late.append(now_ms())
            world.record("late write", keys=[member], done_after_s=LATE_S)
            return LATE_S
        return None

    world.store.on_txn = on_txn
    added.start()
    await world.wait_ready()
    # Steps of the trainers, at the added machine as soon as it is ready.
    await submit_all(world, added, "first", prefixes, items=2, events=3)
    await asyncio.sleep(6)
    world.record("member rows", keys=[key for key in world.store.rows if key.startswith("wp/member/")])

    # The next steps, of which the added machine owns some. It is then removed for good.
    await submit_all(world, added, "step", prefixes, items=4, events=20)
    started_ms = now_ms()
    owned = [job for job in (f"step-{number}" for number in range(ROUTES))
             if world.store.get(f"wp/state/{job}")["owner"]["vm"] == added.name]
    world.record("owned by the added machine", jobs=owned)
    if not owned:
        raise CannotRun("the added machine owns no batch job by the hash of the routes; run it again")
    await asyncio.sleep(1)
    added.kill()
    killed_ms = now_ms()
    world.record("removed for good", node=added.name)
    while now_ms() < started_ms + STEP_MS + 6_000:
        for job in owned:
            await read(world, other, job)
        await asyncio.sleep(1)
    return judge(world, owned, started_ms, killed_ms)


async def submit_all(world, node, name, prefixes, items, events):
    jobs = [submit(world, node, f"{name}-{number}", batch_job(f"{name}-{number}", items, prefix, events=events), prefix)
            for number, prefix in enumerate(prefixes)]
    answers = await asyncio.gather(*jobs)
    if not all(answer is not None and answer.status == 202 for answer in answers):
        raise CannotRun("a batch job was not accepted")


def judge(world, owned, started_ms, killed_ms):
    """LOST: an item that no engine has finished was at no engine for 5 s of steady state before its step's end.

    The steady state begins 3 s after the machine was removed. No version is named, and the engines are idle then.
    """
    runs = [entry for entry in world.records if entry["what"] == "run"]
    done = {entry["id"] for entry in world.records if entry["what"] == "done"}
    lost = []
    for job in owned:
        items = [f"{job}-i{number}" for number in range(4)]
        begun = {run["id"] for run in runs if run["id"] in items}
        for item in items:
            later = [run["at_ms"] for run in runs if run["id"] == item and run["at_ms"] >= killed_ms]
            placed_ms = min(later, default=started_ms + STEP_MS)
            waited_ms = min(placed_ms, started_ms + STEP_MS) - killed_ms - STABLE_WINDOW_MS
            if item not in done and waited_ms >= UNPLACED_MS and begun - {item}:
                lost.append(item)
    ran_later = [run["id"] for run in runs if run["at_ms"] > killed_ms + 500 and run["id"].startswith("step-")]
    world.record("judged", lost_items=lost, items_run_after_the_loss=ran_later)
    return 1 if lost else 0


main(case, HERE)
