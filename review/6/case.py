"""The one machine that follows the store for the others loses its path to it."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standin2 import (BOUNDS, BROKEN, HELD, NOT_RUN, TROUBLE, Client, Deployment, Worker, main,
                      plain_config, plain_route)

ZONES = ["dundee-hall"] * 3 + ["crieff-hall"] * 2 + ["kinross-hall"]
TENANTS = [{"name": "t1", "apiKeys": ["k1"], "priority": 1}]
CUT_S = 5.5
APPLY_S = BOUNDS["applyMs"] / 1000
DRAIN_S = BOUNDS["drainMs"] / 1000
CONTACT_S = BOUNDS["contactMs"] / 1000


def config(version, service):
    return plain_config(version, [plain_route("r-1", "/pull/", service)], ["desk", "desk-new"],
                        TENANTS)


async def play(case):
    # What was sent, answered and run.
    deployment = Deployment(case / "record.txt", ZONES)
    try:
        return await run(deployment)
    finally:
        await deployment.stop()


async def run(deployment):
    record, store = deployment.record, deployment.store
    await deployment.start(config(7, "desk"))
    workers = {}
    for service in ("desk", "desk-new"):
        workers[service] = [Worker(record, store, service, zone) for zone in
                            ("dundee-hall", "crieff-hall", "kinross-hall")]
        for worker in workers[service]:
            await worker.start()
            await worker.report()
    if not await deployment.await_ready():
        return NOT_RUN
    client = Client(record)
    done = False
    left = deployment.machines[:3]
    load = asyncio.ensure_future(client.load(left, 49, lambda: done, "grid.example", "/pull/1",
                                             "k1"))
    await asyncio.sleep(3)
    if TROUBLE:
        for machine in deployment.machines[3:]:
            await machine.end()  # lost for good
    await asyncio.sleep(2 * CONTACT_S + 2)
    followers = deployment.followers()
    record.write("followers", names=",".join(machine.name for machine in followers))
    cut = next((machine for machine in followers if machine in left), None)
    if not cut or (TROUBLE and len(followers) != 1):
        return NOT_RUN
    until = time.monotonic() + 5
    while time.monotonic() - store.latest_read.get(cut.name, 0) > 0.02:
        if time.monotonic() > until:
            return NOT_RUN
        await asyncio.sleep(0.01)
    if TROUBLE:
        record.write("cut", machine=cut.name)
        cut.link.cut()
    await asyncio.sleep(0.02)
    await store.put("config", "main", config(12, "desk-new"))
    applied_by = record.now() + APPLY_S
    record.write("acknowledged-config", version=12)
    # It never reports that it drains, and goes on serving for drainMs and some seconds more.
    leaving = workers["desk-new"][0]
    await store.remove("servers", leaving.name)
    gone_by = record.now() + DRAIN_S
    record.write("acknowledged-gone", worker=leaving.name)
    await asyncio.sleep(CUT_S)
    if TROUBLE:
        record.write("healed", machine=cut.name)
        cut.link.heal()
    await asyncio.sleep(3)
    done = True
    await load
    old = []
    for worker in workers["desk"]:
        for _, request_id, _, _ in worker.runs:
            sent_at, machine, _, _ = client.sent[request_id]
            if sent_at > applied_by and machine != cut.name:
                old.append(round((sent_at - applied_by) * 1000))
                record.write("old-config", machine=machine, id=request_id, late_ms=old[-1])
    late = [round((at - gone_by) * 1000) for at, request_id, _, _ in leaving.runs
            if at > gone_by and client.sent[request_id][1] != cut.name]
    answered = sum(1 for status in client.answers.values() if status == 200)
    print(f"{len(client.sent)} sent, {answered} answered 200; by machines in touch, {len(old)} sent "
          f"later than applyMs were run by the old service (up to {max(old, default=0)} ms later), "
          f"and {len(late)} reached the worker that is gone later than drainMs")
    return BROKEN if old or late else HELD


main(pathlib.Path(__file__).resolve().parent, play)
