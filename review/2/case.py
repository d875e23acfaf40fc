"""An entry of another writer under `servers` that can't be read, then a release: see claim.txt."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
import harness  # noqa: E402

CALM = 5.0  # Seconds of traffic before the disruption; contactMs is 3 s.
GAP = 6.0  # From the draining of one worker to that of the next.
SERVES_ON = 5.0  # A draining worker serves for drainMs "and a little longer (at times many seconds)".
DRAIN = 2.0  # drainMs.
CLIENTS = 6

# Another writer cut its text inside a character outside the basic plane. JSON.stringify and
# json.dumps write what is left of the character as this escape; the text is JSON all the same.
UNREADABLE = r'{"service":"desk","note":"caf\u00e9 \ud83d","state":"ready"}'


async def traffic(client, daemons, home, until, answers):
    while harness.now() < until:
        daemon = daemons[home % len(daemons)]
        if not client.writer and not daemon.in_rotation and any(d.in_rotation for d in daemons):
            home += 1
            continue
        answer = await client.call(daemon.ip, daemon.front, "POST", "/post/x", b"entry")
        answers.append(answer)
        if answer.status != 200:
            home += 1
        await asyncio.sleep(0.05 if answer.status == 200 else 0.3)


async def scenario(folder, trouble):
    deployment = harness.Deployment(folder, ["zone-a", "zone-b", "zone-c"])
    try:
        store, record = deployment.store, deployment.record
        await deployment.start_store()
        await store.put("config", "main", harness.config(
            7, [harness.route("post", "unsafe", "desk")], ["desk"]))
        old = [await deployment.add_worker("desk", zone) for zone in deployment.zones]
        await deployment.start_daemons()
        if not await harness.await_ready(deployment.daemons):
            print("the daemons did not become ready")
            return 2
        until = harness.now() + CALM + GAP * (len(old) - 1) + SERVES_ON + 8
        answers = []
        clients = [asyncio.ensure_future(traffic(
            harness.Client(record, f"client-{i}"), deployment.daemons, i, until, answers))
            for i in range(CLIENTS)]
        await asyncio.sleep(CALM)
        if any(a.status != 200 for a in answers):
            print("not calm before the disruption")
            return 2
        if trouble:
            await store.put("servers", "from-another-writer", UNREADABLE)
            record.write("entry-of-another-writer", bytes=len(UNREADABLE))
        await asyncio.sleep(1)

        async def retire(worker):
            await worker.drain()
            await asyncio.sleep(SERVES_ON)
            await worker.leave()

        # The release: the new one starts first, the old one drains.
        retiring = []
        for i, worker in enumerate(old):
            await deployment.add_worker("desk", worker.zone)
            await asyncio.sleep(0.5)
            retiring.append(asyncio.ensure_future(retire(worker)))
            if i + 1 < len(old):
                await asyncio.sleep(GAP - 0.5)
        await asyncio.gather(*retiring)
        released = harness.now()
        await asyncio.gather(*clients)
        late = [(at - worker.draining_at, rid) for worker in old for at, rid in worker.runs
                if at > worker.draining_at + DRAIN]
        for after, rid in late:
            record.write("late", request=rid, after_draining=f"{after:.3f}")
        last = [a for a in answers if a.sent_at > released + 2]
        good = [a for a in last if a.status == 200]
        new = sum(len(worker.runs) for worker in deployment.workers if worker not in old)
        ends = sum(len(daemon.ends) for daemon in deployment.daemons)
        print(f"requests={len(answers)} reached_a_draining_worker_after_drainMs={len(late)} "
              f"latest_s={max((a for a, _ in late), default=0):.1f} run_by_new_workers={new} "
              f"answered_after_the_release={len(good)}/{len(last)} "
              f"statuses_then={sorted(set(str(a.status) for a in last))} processes_ended={ends}")
        print("DRAIN broken" if late else "DRAIN held")
        return 1 if late else 0
    finally:
        await deployment.close()


harness.main(scenario, HERE)
