"""All workers of a plain service crash together for some seconds: see claim.txt."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
import harness  # noqa: E402

CALM = 5.0  # Seconds of traffic on all routes before the disruption.
DOWN = 4.5  # srv_crash, for_s = 4.5 in the site file.
SILENCE = 3.6  # "It is removed ... after three heartbeat intervals of silence."
SETTLE = 6.0  # From the return of the workers to the steady state; contactMs is 3 s.
STEADY = 20.0
POSTS, PULLS = 4, 36  # Clients.
LEAST = 20  # CONFIG: "get 20 or more requests on routes that were added later".
SHARE = 0.25  # "and serve them less than a quarter as often as those on the first routes".


async def traffic(client, daemons, home, method, path, until, answers):
    while harness.now() < until:
        daemon = daemons[home % len(daemons)]
        # The page of the day is the same for all: one path, no body. Each post is one of its own.
        body = os.urandom(400) if method == "POST" else b""
        answer = await client.call(daemon.ip, daemon.front, method, path, body)
        answers.append(answer)
        if answer.status != 200:
            home += 1
        await asyncio.sleep(0.04 if answer.status == 200 else 0.5)


def served(answers):
    return sum(1 for a in answers if a.status == 200 and a.whole)


async def scenario(folder, trouble):
    deployment = harness.Deployment(folder, ["zone-a", "zone-b", "zone-c"])
    try:
        store, record = deployment.store, deployment.record
        await deployment.start_store()
        post = harness.route("post", "unsafe", "desk")
        pull = harness.route("pull", "safe", "desk")
        ask = harness.route("ask", "safe", "other")
        services = ["desk", "other"]
        await store.put("config", "main", harness.config(7, [post, ask], services))
        # One rack has all workers of the service; those of the other service stand elsewhere.
        rack = [await deployment.add_worker("desk", "zone-a") for _ in range(3)]
        for zone in deployment.zones:
            await deployment.add_worker("other", zone)
        await deployment.start_daemons()
        if not await harness.await_ready(deployment.daemons):
            print("the daemons did not become ready")
            return 2
        # Planned work: a version adds a route.
        await store.put("config", "main", harness.config(9, [post, ask, pull], services))
        await asyncio.sleep(2)  # applyMs
        until = harness.now() + CALM + DOWN + SETTLE + STEADY
        posts, pulls = [], []
        clients = [asyncio.ensure_future(traffic(
            harness.Client(record, f"post-{i}"), deployment.daemons, i, "POST", "/post/x", until,
            posts)) for i in range(POSTS)]
        clients += [asyncio.ensure_future(traffic(
            harness.Client(record, f"pull-{i}"), deployment.daemons, i, "GET", "/pull/daily", until,
            pulls)) for i in range(PULLS)]
        await asyncio.sleep(CALM)
        if any(a.status != 200 for a in posts + pulls):
            print("not calm before the disruption")
            return 2
        if trouble:
            for worker in rack:
                worker.stop()
            record.write("rack-crashed", workers=len(rack))
            await asyncio.sleep(SILENCE)
            for worker in rack:
                await store.remove("servers", worker.id)
            await asyncio.sleep(DOWN - SILENCE)
            for _ in rack:
                await deployment.add_worker("desk", "zone-a")
            record.write("rack-back")
        else:
            await asyncio.sleep(DOWN)
        steady = harness.now() + SETTLE
        await asyncio.gather(*clients)
        first = [a for a in posts if a.sent_at > steady]
        later = [a for a in pulls if a.sent_at > steady]
        first_share = served(first) / max(len(first), 1)
        later_share = served(later) / max(len(later), 1)
        refusals = [a for a in later if a.status != 200]
        waits = sorted({a.headers.get("retry-after") for a in refusals}, key=str)
        whole = served(posts + pulls) / max(len(posts + pulls), 1)
        print(f"steady_state: first_routes={served(first)}/{len(first)} "
              f"route_added_later={served(later)}/{len(later)} "
              f"statuses={sorted({str(a.status) for a in later})}")
        if refusals:
            print(f"refused with: {refusals[0].body.decode()} Retry-After {waits[-1]}")
        print(f"whole run: kind 'pull' {served(pulls)}/{len(pulls)}, all requests {whole:.2f}")
        if len(later) < LEAST or first_share == 0:
            print("too few requests to judge")
            return 2
        broken = later_share < SHARE * first_share
        print("CONFIG broken" if broken else "CONFIG held")
        return 1 if broken else 0
    finally:
        await deployment.close()


harness.main(scenario, HERE)
