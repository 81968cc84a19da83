"""A team's limit after a controller has ended: see claim.txt."""
import asyncio, os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from world import *
from ring import job_ids, owner

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))


async def main():
    team = dict(name="bolt-csapat-00", cpus=90.0, cpus_max=270.0, gpus=0.0, gpus_max=0.0)
    w = World(seed=4, record=os.path.join(HERE, "record.txt"), machines=33, teams=[team], log=os.environ.get("LOG_LEVEL", "info"))
    # "Responses typically take under 10 ms, and now and then a few hundred": here those that list keys.
    w.store.slow_lists = 0.3
    if not await w.start():
        w.note("controllers were not ready")
        return w, 2
    w.spawn(w.rules_loop())
    await asyncio.sleep(6)
    led = job_ids(w.names, range(3))
    def next_id(leader, heir=None):
        return next(i for i, m in led if m == leader and (heir is None or owner("job/" + i, w.names, [0, 1]) == heir))
    # K and G are led by the controller that is going to end.
    last = 2
    long_run = dict(breed="nyugta-egyeztet", vcpus=2.0, ramGb=4.8, borrowed=False, imageGb=0.3)
    ks = [Job(w, w.spec(uid=next_id(last, heir), strides=30, rideS=80.0, **long_run), run_s=200.0) for heir in (0, 1)]
    g = Job(w, w.spec(uid=next_id(last), strides=58, rideS=80.0, **long_run), run_s=200.0)
    for k in ks:
        k.fails_after = 3.0
    async def until(what, seconds):
        end = NOW() + seconds
        while NOW() < end and not what():
            await asyncio.sleep(0.2)
        return what()
    def used():
        return sum(w.jobs[s.rsplit("/", 1)[0]].spec["vcpus"] * len(ms) for s, ms in w.on.items())
    def running(job):
        return sum(len(ms) for s, ms in w.on.items() if s.startswith(job.id + "/"))
    for k in ks:
        if await w.submit(k) not in (200, 201) or not await until(lambda: running(k) == 30, 20):
            w.note("K did not run", running(k))
            return w, 2
    # 150 jobs of one task each, four a second, a third of them led by each controller.
    fillers = [Job(w, w.spec(uid=next_id(n % 3), strides=1, rideS=80.0, **dict(long_run, breed="ajanlat-render", vcpus=1.0, ramGb=2.9)), run_s=300.0)
               for n in range(150)]
    async def put(job):
        await w.submit(job, patience=30)
    puts = []
    for j in fillers:
        puts.append(w.spawn(put(j)))
        await asyncio.sleep(0.25)
    await asyncio.gather(*puts)
    if not await until(lambda: used() >= 269.9, 25):
        w.note("the team does not use its limit", used())
        return w, 2
    w.note("the team uses its limit:", used())
    await asyncio.sleep(2)
    # K was submitted with a mistake: from now on its tasks fail, on every machine.
    for k in ks:
        k.error = True
    if not await until(lambda: all(running(k) <= 1 for k in ks), 15):
        return w, 2
    if await w.submit(g) not in (200, 201):
        return w, 2
    if not await until(lambda: running(g) >= 58, 30):
        w.note("G does not run", running(g))
        return w, 2
    await asyncio.sleep(2)
    # Between two tries of the failing jobs: nothing of them is on a machine or waits to be forgotten.
    def held(job):
        return sum(1 for x in w.workers.values() for t in x.tasks.values() if t.job == job.id)
    if not await until(lambda: not any(held(k) for k in ks), 25):
        w.note("the failing jobs are tried all the time")
        return w, 2
    w.note("used before the disruption:", used(), "problems", len(w.problems))
    if TROUBLE:
        w.kill(last)
    await asyncio.sleep(18)
    w.note("used at the end:", used())
    return w, (1 if any(rule == "quota" for rule, _ in w.problems) else 0)


async def run():
    w, code = None, 2
    try:
        w, code = await asyncio.wait_for(main(), 112)
    finally:
        if w:
            for rule, text in w.problems[:5]:
                print(rule, text)
            await w.stop()
            w.cleanup()
    sys.stdout.flush()
    os._exit(code)

asyncio.run(run())
