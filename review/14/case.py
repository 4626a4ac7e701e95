"""The holder of the duties is cut off while the numbers of engines grow, and another machine takes over."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from stand_ins_3 import TROUBLE, Engine, Job, Link, Platform, StoreView, main, rollout_route

FOLDER = os.path.dirname(os.path.abspath(__file__))
CUT_S = 12.0
THAW_S = 0.3
BOOT_S = 4.0
MOST_ENGINES = 3  # that the stand-in starts for a service
SERVICES = ["reader-a", "reader-b", "reader-c"]
TRAINERS = {f"trainer{number}": SERVICES[number % 3] for number in range(18)}
NAMES = [f"edge-{number}" for number in range(8)]


async def start(fleet):
    """Starts three machines whose every path to the platform and to each other is a link of its own."""
    record = fleet.record
    fleet.bounds |= {"engines_check_fences": False}
    fleet.advisors = SERVICES
    scaling = {"min": 1, "max": 1000, "boot-s": BOOT_S, "zone-prices": {"z-a": 1.0}}
    fleet.scaling = {service: scaling for service in SERVICES}
    fleet.platform = await Platform(record).start()
    await fleet.start(nodes=0, engines=0, plain=0, routes=[rollout_route(*trainer) for trainer in TRAINERS.items()])
    fleet.counts = {service: 0 for service in SERVICES}
    for service in SERVICES:
        await boot(fleet, service, 1, 0)
    fleet.links = {name: [] for name in NAMES}
    for name in NAMES:
        fleet.add_node(name)
    for node in fleet.nodes:
        addresses = {}
        for other in fleet.nodes:
            if other is not node:
                link = await Link(("127.0.0.1", other.peer_port), record).start()
                addresses[f"127.0.0.1:{other.peer_port}"] = link.address
                fleet.links[node.name].append(link)
                fleet.links[other.name].append(link)
        view = await StoreView(fleet.store, addresses).start()
        store = await Link(("127.0.0.1", view.port), record).start()
        platform = await Link(("127.0.0.1", fleet.platform.port), record).start()
        fleet.links[node.name] += [store, platform]
        node.change_settings({
            "store": {"address": store.address, "min_lease_ms": 1000},
            "duties": {"address": platform.address, "duties": ["scaling"], "calls_per_s": 20.0},
        })
    for node in fleet.nodes:
        node.start()
    for node in fleet.nodes:
        await node.wait_ready()


async def boot(fleet, service, count, boot_s):
    """Starts the engines that were ordered."""
    await asyncio.sleep(boot_s)
    while fleet.counts[service] < min(count, MOST_ENGINES):
        name = f"i-{service}-{fleet.counts[service]}"
        fleet.counts[service] += 1
        engine = Engine(name, service, fleet.record, fleet.models, event_s=0.1)
        fleet.engines.append(await engine.start())
        await engine.register(fleet.store)


async def case(fleet):
    record = fleet.record
    await start(fleet)
    fleet.platform.on_scale = lambda call: asyncio.create_task(
        boot(fleet, call["service"], call["group-count"], BOOT_S))
    while fleet.leader() is None:
        await asyncio.sleep(0.1)
    await asyncio.sleep(12)
    holder = fleet.node(fleet.leader()["vm"])
    record(f"holder of the duties: {holder.name}")

    # All trainers ask for more and more, as in a burst.
    async def burst(trainer, pause_s):
        await asyncio.sleep(pause_s)
        for step in range(100):
            job = Job(trainer, step, 3, 4, 40)
            await job.submit(fleet, [node for node in fleet.nodes if node is not holder])
            await asyncio.sleep(0.5)
    traffic = [asyncio.create_task(burst(trainer, 0.06 * number)) for number, trainer in enumerate(TRAINERS)]
    while len(fleet.platform.calls) < 3:
        await asyncio.sleep(0.05)
    await asyncio.sleep(random.uniform(0, 1))
    # The cut comes right after an order was carried out.
    ordered = len(fleet.platform.calls)
    while len(fleet.platform.calls) == ordered:
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.02)
    record(f"cut {holder.name} off" if TROUBLE else "nothing is cut")
    if TROUBLE:
        for link in fleet.links[holder.name]:
            link.cut()
    await asyncio.sleep(CUT_S)
    healed_at = record.now()
    record("the cut ends")
    for link in fleet.links[holder.name]:
        link.heal()
    await asyncio.sleep(16)
    for task in traffic:
        task.cancel()

    highest, lower = {}, []
    for call in fleet.platform.calls:
        subject, fence = call["subject"], call["fence"]
        just_healed = healed_at <= call["at"] <= healed_at + THAW_S
        if fence < highest.get(subject, 0) and not just_healed:
            lower.append(call)
        highest[subject] = max(highest.get(subject, 0), fence)
    for call in lower:
        record(f"verdict: {call['subject']} from {call['holder']} at {call['at']:.3f} s has the fencing token "
               f"{call['fence']}, after a higher one")
    record(f"verdict: {len(fleet.platform.calls)} calls, {len(lower)} with a lower fencing token")
    return not lower


main(case, FOLDER)
