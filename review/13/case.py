"""A machine that stops hands its batch jobs over to one that stands still; what is then read at one machine is asked for
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
FREEZE_S = 6.5
JOBS = 8
EVENTS = 40
BACKLOG = 4


async def case(fleet):
    record = fleet.record
    await fleet.start(nodes=3, engines=4, plain=0, routes=[rollout_route(name) for name in TRAINERS], event_s=0.1)
    while fleet.leader() is None:
        await asyncio.sleep(0.1)
    # Each machine reads every 6 s who the others are; one that started first may not know them before.
    await asyncio.sleep(8)
    leader = fleet.node(fleet.leader()["vm"])
    # The machine that stops keeps the batch jobs of a trainer, and is not the leader, which keeps those of another one.
    kept_by = {}
    for name in TRAINERS:
        job = Job(name, 0, 1, 4, 2)
        await job.submit(fleet, fleet.nodes)
        kept_by.setdefault(fleet.node(fleet.owner(job.id)), name)
        await job.poll(fleet, fleet.nodes, record.now() + 5)
        await job.end(fleet, fleet.nodes[0])
        if leader in kept_by and len(kept_by) > 1:
            break
    else:
        raise CouldNotRun("the batch jobs of all trainers are kept alike")
    stopping = next(node for node in kept_by if node is not leader)
    name, other = kept_by[stopping], kept_by[leader]
    frozen = next(node for node in fleet.nodes if node not in (leader, stopping))
    record(f"leader {leader.name}, {stopping.name} stops, {frozen.name} stands still")

    # The other trainer has plenty of work under way at the leader.
    for step in range(1, BACKLOG + 1):
        await Job(other, step, 8, 4, EVENTS).submit(fleet, [leader])
    jobs = [Job(name, step, 6, 4, EVENTS) for step in range(1, JOBS + 1)]
    for job in jobs:
        if not await job.submit(fleet, [leader, frozen]) or fleet.owner(job.id) != stopping.name:
            raise CouldNotRun("a batch job is kept elsewhere")
    await asyncio.sleep(1)
    stopping.signal(signal.SIGTERM)
    await asyncio.sleep(1.8)
    if TROUBLE:
        frozen.signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    if TROUBLE:
        frozen.signal(signal.SIGCONT)
    await asyncio.sleep(0.5)
    for job in jobs:
        record(f"{job.id} is kept by {fleet.owner(job.id)}")

    # The trainer reads its steps at the machine that stood still, and somebody else at the leader.
    moved = [job for job in jobs if fleet.owner(job.id) == frozen.name]
    read_at, lost = {}, set()
    end = record.now() + 20
    while record.now() < end and len(lost) < len(moved):
        for job in moved:
            seen = read_at.setdefault(job.id, [])
            status, page = await job.read(frozen, 0, 0)
            if status == 200 and len(page["results"]) > (seen[-1][1] if seen else 0):
                seen.append((record.now(), len(page["results"])))
                record(f"{len(page['results'])} results of {job.id} read at {frozen.name}")
            asked_at = record.now()
            due = max((count for at, count in seen if asked_at - at > SETTLE_S), default=0)
            status, page = await job.read(leader, 0, 0)
            if status in (404, 410) or status == 200 and len(page["results"]) < due:
                count = len(page["results"]) if page else None
                lost.add(job.id)
                record(f"{job.id} at {leader.name}: {status}, {count} results, though {due} were read "
                       f"more than {SETTLE_S} s ago")
        await asyncio.sleep(0.05)
    record(f"verdict: {len(lost)} of {len(moved)} batch jobs have nothing at a position that was read")
    return not lost


main(case, FOLDER)
