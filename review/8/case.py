"""A controller of an older epoch that acts again on the word of processes that have just started: see claim.txt."""
import asyncio, os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from world import *
from ring import job_ids

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))
RESTART_S = 4.0
A, B, C = 0, 1, 2


async def main(w):
    if not await w.start():
        w.note("controllers were not ready")
        return 2
    w.spawn(w.rules_loop())
    await asyncio.sleep(5)
    led = job_ids(w.names, range(3))
    ids = [next(i for i, m in led if m == B) for _ in range(3)]
    jobs = [Job(w, w.spec(uid=i, breed="nyugta-egyeztet", strides=3, vcpus=2.0, ramGb=4.8, imageGb=0.3, rideS=80.0, borrowed=False), run_s=300.0) for i in ids]
    for job in jobs:
        if await w.submit(job) not in (200, 201):
            return 2
    await asyncio.sleep(4)
    peers_of_b = [link for (i, j), link in w.peer.items() if B in (i, j)]
    if TROUBLE:
        w.note("controller", B, "loses the state service and the other controllers, not its workers and users")
        w.store.mode[B] = "refuse"
        for link in peers_of_b:
            link.set("reset")
        await asyncio.sleep(14.0)
    # Users cancel, through whichever controller answers.
    for job in jobs[:2]:
        if await w.withdraw(job, node=A, patience=15.0) != "aborted":
            return 2
    told = NOW()
    await asyncio.sleep(1.0)
    if TROUBLE:
        w.note("the state service is out for all; controllers", A, "and", C, "end")
        for i in (A, B, C):
            w.store.mode[i] = "refuse"
        w.kill(A)
        w.kill(C)
        await asyncio.sleep(1.0)
        w.note("controller", B, "reaches the others again")
        for link in peers_of_b:
            link.set("pass")
        await asyncio.sleep(RESTART_S - 1.0)
        w.start_controller(A)
        w.start_controller(C)
    while NOW() - told < 25.0:
        await asyncio.sleep(1.0)
        for job in jobs:
            for node in (A, B, C):
                await w.poll(job, node)
    if TROUBLE:
        w.store.outage_over()
        for i in (A, B, C):
            w.store.mode[i] = "ok"
        w.note("the state service is back")
        await asyncio.sleep(10)
    for job in jobs:
        for node in (A, B, C):
            await w.poll(job, node)
    return 1 if any(rule in ("went_back", "ran_twice", "ran_cancelled") for rule, _ in w.problems) else 0


async def run():
    w = World(seed=8, record=os.path.join(HERE, "record.txt"), machines=9, log=os.environ.get("LOG_LEVEL", "info"),
              teams=[dict(name=f"bolt-csapat-{n:02d}", cpus=90.0, cpus_max=270.0, gpus=0.0, gpus_max=0.0) for n in range(10)])
    code = 2
    try:
        code = await asyncio.wait_for(main(w), 112)
    except asyncio.TimeoutError:
        w.note("out of time")
    finally:
        for rule, text in w.problems[:5]:
            print(rule, text)
        if os.environ.get("KEEP"):
            for i, t in w.log_text().items():
                open(f"/tmp/x/log-case8-{i}.txt", "w").write(t)
        await w.stop()
        w.cleanup()
    sys.stdout.flush()
    os._exit(code)

asyncio.run(run())
