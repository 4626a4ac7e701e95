"""A machine stands still and wakes while the leader takes its batch jobs over; what is then read at one machine is asked for
at another one."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from stand_ins_3 import TROUBLE, CouldNotRun, Job, main, rollout_route

FOLDER = os.path.dirname(os.path.abspath(__file__))
TRAINERS = [f"trainer{number}" for number in range(16)]
SETTLE_S = 1.0
MOST_FREEZE_S = 7.7
JOBS = 30
URGENT_JOBS = 6


async def case(fleet):
    record = fleet.record
    routes = [rollout_route(name) for name in TRAINERS]
    # The half of the trainers is more urgent than the other one.
    for number, route in enumerate(routes):
        route["priority"] = number % 2
    await fleet.start(nodes=4, engines=4, plain=0, routes=routes, event_s=0.1)
    while fleet.leader() is None:
        await asyncio.sleep(0.1)
    # Each machine reads every 6 s who the others are; one that started first may not know them before.
    await asyncio.sleep(8)
    leader = fleet.node(fleet.leader()["vm"])
    # A machine that keeps the batch jobs of a trainer of each kind, and isn't the leader.
    kept = {}
    for number, name in enumerate(TRAINERS):
        job = Job(name, 0, 1, 2, 2)
        await job.submit(fleet, fleet.nodes)
        kept.setdefault(fleet.owner(job.id), {})[number % 2] = name
        await job.poll(fleet, fleet.nodes, record.now() + 5)
        await job.end(fleet, fleet.nodes[0])
        owner = next((owner for owner, names in kept.items() if owner != leader.name and len(names) == 2), None)
        if owner:
            break
    else:
        raise CouldNotRun("no machine keeps the batch jobs of both kinds of trainers")
    frozen = fleet.node(owner)
    reader = next(node for node in fleet.nodes if node not in (leader, frozen))
    low, high = (kept[owner][kind] for kind in (1, 0))
    record(f"leader {leader.name}, {frozen.name} stands still, reads at {reader.name}")

    jobs = [Job(low, step, 2, 2, 10) for step in range(1, JOBS + 1)]
    # The engines are taken by an earlier step meanwhile.
    await Job(high, 1, 8, 4, 60).submit(fleet, [reader])
    await asyncio.gather(*(job.submit(fleet, [reader]) for job in jobs))
    for job in jobs:
        await job.read(reader, 0, 0)
    if TROUBLE:
        frozen.signal(signal.SIGSTOP)
        frozen_at = record.now()
        while record.now() < frozen_at + MOST_FREEZE_S and sum(fleet.owner(j.id) == leader.name for j in jobs) < 10:
            await asyncio.sleep(0.01)
        frozen.signal(signal.SIGCONT)
        record(f"{frozen.name} stood still for {record.now() - frozen_at:.1f} s; batch jobs by owner: {owners(fleet, jobs)}")
    else:
        await asyncio.sleep(3)
    for step in range(2, URGENT_JOBS + 2):
        asyncio.create_task(Job(high, step, 4, 4, 80).submit(fleet, [frozen]))
    for _ in range(4):
        await asyncio.sleep(0.5)
        record(f"batch jobs by owner: {owners(fleet, jobs)}")

    # The trainer reads its steps at the leader, and somebody else at a machine without any trouble.
    read_at, lost = {}, set()
    end = record.now() + 25
    while record.now() < end and len(lost) < 10:
        for job in jobs:
            seen = read_at.setdefault(job.id, [])
            status, page = await job.read(leader, 0, 0)
            if status == 200 and len(page["results"]) > (seen[-1][1] if seen else 0):
                seen.append((record.now(), len(page["results"])))
                record(f"{len(page['results'])} results of {job.id} read at {leader.name}")
            asked_at = record.now()
            due = max((count for at, count in seen if asked_at - at > SETTLE_S), default=0)
            if not due:
                continue
            status, page = await job.read(reader, 0, 0)
            if status in (404, 410) or status == 200 and len(page["results"]) < due:
                count = len(page["results"]) if page else None
                lost.add(job.id)
                record(f"{job.id} at {reader.name}: {status}, {count} results, though {due} were read "
                       f"more than {SETTLE_S} s ago")
        await asyncio.sleep(0.05)
    record(f"verdict: {len(lost)} of {len(jobs)} batch jobs have nothing at a position that was read")
    return not lost


def owners(fleet, jobs):
    counts = {}
    for job in jobs:
        owner = fleet.owner(job.id)
        counts[owner] = counts.get(owner, 0) + 1
    return counts


main(case, FOLDER)
