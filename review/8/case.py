"""Work of a guest team beside empty machines: see claim.txt."""
import asyncio, os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from world import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))
# The rule's 90 s, and one for the figures of this script.
BOUND = 91.0
GUEST = "elemzo-vendeg"


async def main(w):
    if not await w.start():
        w.note("controllers were not ready")
        return 2
    w.spawn(w.rules_loop())
    await asyncio.sleep(4)
    def running(job):
        return sum(len(ms) for s, ms in w.on.items() if s.startswith(job.id + "/"))
    services = [Job(w, w.spec(gait="service", breed="arlista-rebuild", strides=6, rideS=0.0, vcpus=15.0, ramGb=51.0, borrowed=False, imageGb=0.3,
                              restS=30.0, unsaddleS=6.0, herd=f"bolt-csapat-{n:02d}")) for n in (0, 1)]
    for s in services:
        await w.submit(s)
    end = NOW() + 14
    while sum(running(s) for s in services) < 12 and NOW() < end:
        await asyncio.sleep(0.2)
    if sum(running(s) for s in services) < 12:
        w.note("the services don't run")
        return 2
    await asyncio.sleep(1)
    herd = GUEST if TROUBLE else "bolt-csapat-02"
    jobs = [Job(w, w.spec(breed="lassu-aratas", herd=herd, rank="normal", strides=n, vcpus=cpus, ramGb=ram, borrowed=False, imageGb=0.3, rideS=8.0), run_s=5.0)
            for n, cpus, ram in ((3, 2.0, 4.8), (1, 15.0, 51.0))]
    for job in jobs:
        if await w.submit(job) not in (200, 201):
            return 2
        job.waits_since, job.longest = NOW(), 0.0
        w.spawn(w.follow(job, 5.0))
    begun = NOW()
    while NOW() - begun < BOUND + 2:
        await asyncio.sleep(0.25)
        for job in jobs:
            cpus, ram = job.spec["vcpus"], job.spec["ramGb"]
            free = [m for m in w.workers.values() if 16.0 - sum(w.jobs[t.job].spec["vcpus"] for t in m.live()) >= cpus
                    and 64.0 - sum(w.jobs[t.job].spec["ramGb"] for t in m.live()) >= ram]
            # Waiting means: none of its tasks is on a machine and some are left, with a machine that has room. The guest has no limit.
            if running(job) or len(job.done_tasks) == job.spec["strides"] or not free:
                job.waits_since = NOW()
            job.longest = max(job.longest, NOW() - job.waits_since)
        if all(j.told_done for j in jobs):
            break
    for job in jobs:
        w.note(job.id, "of", herd, "done", len(job.done_tasks), "of", job.spec["strides"], "longest wait beside room %.1f s" % job.longest,
               "empty machines", sum(1 for m in w.workers.values() if not m.live()), "of", len(w.workers))
    late = [j for j in jobs if j.longest >= BOUND - 1]
    for job in late:
        w.broken("left_waiting", f"{job.id} of {herd} was left waiting for {job.longest:.0f} s beside machines with room")
    return 1 if late else 0


async def run():
    zones = ("buda-a", "buda-b", "pest-c")
    teams = [dict(name=f"bolt-csapat-{n:02d}", cpus=90.0, cpus_max=270.0, gpus=0.0, gpus_max=0.0) for n in range(10)]
    teams.append(dict(name=GUEST, cpus=0.0, cpus_max=0.0, gpus=0.0, gpus_max=0.0))
    # 15 machines in all: the cloud has no more to give, ordinary or spot.
    w = World(seed=8, record=os.path.join(HERE, "record.txt"), machines=15, boot=35.0, log=os.environ.get("LOG_LEVEL", "info"), teams=teams,
              capacity={("tolgy16", z, spot): 0 if spot else 5 for z in zones for spot in (False, True)})
    code = 2
    try:
        code = await asyncio.wait_for(main(w), 116)
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
