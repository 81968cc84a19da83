"""A job that follows a cancelled one, while the state service is out: see claim.txt."""
import asyncio, os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from world import *
from ring import job_ids

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))
CANCEL_S = 43.0
RESTART_S = 8.0
A, B, C = 0, 1, 2


async def main(w):
    if not await w.start():
        w.note("controllers were not ready")
        return 2
    w.spawn(w.rules_loop())
    await asyncio.sleep(6)
    led = job_ids(w.names, range(3))
    def next_id(leader):
        return next(i for i, m in led if m == leader)
    task = dict(herd="platforma-top", breed="bet-bolu", vcpus=1.0, ramGb=1.5, imageGb=0.3)
    x = Job(w, w.spec(uid=next_id(A), strides=2, rideS=25.0, **task), run_s=500.0)
    y = Job(w, w.spec(uid=next_id(B), strides=2, rideS=25.0, follows=[x.id], **task), run_s=5.0)
    # Jobs take turns being accepted as users do: each once those that it follows are accepted.
    for job in (x, y):
        end = NOW() + 20
        while await w.submit(job, patience=5.0) not in (200, 201):
            if NOW() > end:
                return 2
    await asyncio.sleep(4)
    if TROUBLE:
        w.note("the state service refuses controller", B)
        w.store.mode[B] = "refuse"
        await asyncio.sleep(1.0)
    if await w.withdraw(x, node=A, patience=10.0) != "aborted":
        return 2
    told = NOW()
    if TROUBLE:
        w.kill(A)
        await asyncio.sleep(1.0)
        w.note("the state service is out for all")
        for i in (A, B, C):
            w.store.mode[i] = "refuse"

        async def back():
            await asyncio.sleep(RESTART_S - 1.0)
            w.start_controller(A)
        w.spawn(back())
    late = []
    while NOW() - told < CANCEL_S + 12.0:
        await asyncio.sleep(1.0)
        for node in (A, B, C):
            asked = NOW()
            got = await w.poll(y, node)
            stance = got[1].get("stance") if got and got[0] == 200 else None
            if stance in ("pending", "running") and asked - told > CANCEL_S:
                late.append((node, stance, asked - told))
    if TROUBLE:
        w.store.outage_over()
        for i in (A, B, C):
            w.store.mode[i] = "ok"
        w.note("the state service is back")
        await asyncio.sleep(12)
    got = await w.poll(y, C)
    for node, stance, after in late[:3]:
        w.broken("orphaned", f"{y.id} is called {stance} by controller {node} {after:.1f} s after the user was told that {x.id} is cancelled")
    return 1 if late else 0


async def run():
    types = [dict(sku="orta8", vcpus=8.0, cards=0.0, ramGb=64.0, cacheGb=70.0, fetchGbPerS=1.0, rate=0.44, lowPrice=0.19, startupS=40.0, paddocks=["astana-zal"])]
    w = World(seed=6, zones=("astana-zal",), record=os.path.join(HERE, "record.txt"), machines=6, boot=40.0, types=types, report_s=4.0, lease_s=18.0,
              gang_wait_s=30.0, gang_peer_s=6.0, cancel_s=CANCEL_S, rps=120.0, write_rps=15.0, value_kb=8.0, txn_ops=8,
              teams=[dict(name="platforma-top", cpus=0.0, cpus_max=0.0, gpus=0.0, gpus_max=0.0)], log=os.environ.get("LOG_LEVEL", "info"))
    code = 2
    try:
        code = await asyncio.wait_for(main(w), 112)
    except asyncio.TimeoutError:
        w.note("out of time")
    finally:
        for rule, text in w.problems[:5]:
            print(rule, text)
        await w.stop()
        w.cleanup()
    sys.stdout.flush()
    os._exit(code)

asyncio.run(run())
