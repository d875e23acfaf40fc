"""An entry of another writer under `servers`, with a field of another type: see claim.txt."""
import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
import harness  # noqa: E402

CALM = 6.0  # Seconds of traffic before the disruption; contactMs is 3 s.
AFTER = 12.0
CLIENTS = 18
WORK = 0.3  # A request runs for so long, so that some are always at a worker.
DEPTH = 20_000  # Arrays inside each other; the entry has 40 KB, an object may have 1 MB.
MOST = 3  # LOST: "more than three times".


async def traffic(client, daemons, number, until, answers):
    """Unsafe requests on a kept connection, one after the other."""
    home = number
    while harness.now() < until:
        # Ingress: a machine that isn't in rotation gets no new connections.
        daemon = daemons[home % len(daemons)]
        if not client.writer and not daemon.in_rotation and any(d.in_rotation for d in daemons):
            home += 1
            continue
        answer = await client.call(daemon.ip, daemon.front, "POST", "/post/x", b"entry")
        answer.vm = daemon
        answers.append(answer)
        if answer.status != 200:
            home += 1  # Retries reach other machines.
            await asyncio.sleep(0.2)


async def scenario(folder, trouble):
    deployment = harness.Deployment(folder, ["zone-a", "zone-b", "zone-c"])
    try:
        store, record = deployment.store, deployment.record
        await deployment.start_store()
        await store.put("config", "main", harness.config(
            7, [harness.route("post", "unsafe", "desk"), harness.route("pull", "safe", "desk")],
            ["desk"]))
        for zone in deployment.zones:
            await deployment.add_worker("desk", zone, work=WORK)
        await deployment.start_daemons()
        if not await harness.await_ready(deployment.daemons):
            print("the daemons did not become ready")
            return 2
        begun = harness.now()
        until = begun + CALM + AFTER
        answers = []
        clients = [asyncio.ensure_future(traffic(
            harness.Client(record, f"client-{i}"), deployment.daemons, i, until, answers))
            for i in range(CLIENTS)]
        await asyncio.sleep(CALM)
        before = [a for a in answers if not (a.whole and a.status == 200)]
        if before or any(d.ends for d in deployment.daemons):
            print(f"not calm before the disruption: {len(before)} requests failed")
            return 2
        written = harness.now()
        if trouble:
            entry = json.dumps({"service": "desk", "state": "ready"})[:-1]
            entry += ',"models":' + "[" * DEPTH + "]" * DEPTH + "}"
            await store.put("servers", "from-another-writer", entry)
            record.write("entry-of-another-writer", bytes=len(entry))
        await asyncio.gather(*clients)
        ran = {rid for worker in deployment.workers for _, rid in worker.runs}
        # LOST: passed on from a kept connection to a sound worker, and the connection closed
        # without an answer.
        lost = [a for a in answers if a.kept and a.closed_early and a.rid in ran]
        good = [a for a in answers if a.whole and a.status == 200 and a.sent_at > written + 2]
        late = [a for a in answers if a.sent_at > written + 2]
        ends = [end for daemon in deployment.daemons for end in daemon.ends]
        for answer in lost:
            record.write("lost", request=answer.rid, vm=answer.vm.name, at=f"{answer.ended_at:.3f}")
        print(f"requests={len(answers)} lost_on_kept_connections={len(lost)} allowed={MOST} "
              f"processes_ended_by_themselves={len(ends)} "
              f"on_machines={sum(1 for d in deployment.daemons if d.ends)}/{len(deployment.daemons)} "
              f"statuses={sorted(set(status for _, status in ends))} "
              f"answered_from_2s_after={len(good)}/{len(late)}")
        broken = len(lost) > MOST
        print("LOST broken" if broken else "LOST held")
        return 1 if broken else 0
    finally:
        await deployment.close()


harness.main(scenario, HERE)
