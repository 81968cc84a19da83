//! Accepted jobs of a team that is within its guarantee never start, although machines have room.

use crate::cloud;
use crate::deploy::Deployment;
use crate::note;
use crate::sites::{KINCSBOLT_FLAVORS, KINCSBOLT_NEXT};
use crate::state::State;
use crate::users::{Job, Users};
use crate::worker::{JobInfo, Machine, Times, World};
use crate::{Outcome, wait};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const TEAM: &str = "bolt-csapat-00";
const GUARANTEE: f64 = 900.0;
const VCPUS: f64 = 1.0;
const MACHINES: usize = 8;
const ZONES: [&str; 3] = ["buda-a", "buda-b", "pest-c"];
/// One-task jobs come four a second, for 17 s.
const CROWD: usize = 70;
const PACE: f64 = 0.25;
/// Without the crowd.
const FEW: usize = 30;
/// No job is left waiting for this long while a machine that fits has room and its team is under its limit.
const WAITING: f64 = 90.0;

pub fn run(trouble: bool) -> Outcome {
    let (_state, state_addrs) = State::start(3, 250.0, 20.0, 4.0, 12);
    let machines: cloud::Machines = Arc::default();
    let cloud = cloud::start(KINCSBOLT_FLAVORS, machines.clone());
    let mut deployment = Deployment::prepare(&KINCSBOLT_NEXT, &state_addrs, cloud, 2)?;
    for i in 0..3 {
        deployment.start(i)?;
    }
    let users = Users { nodes: deployment.addresses() };
    let world = Arc::new(Mutex::new(World { cancel: Duration::from_secs(51), ..World::default() }));
    let times = Times { report: Duration::from_secs(3), lease: Duration::from_secs(21) };
    for i in 0..MACHINES {
        let name = format!("i-{:06}", 231 + i);
        let machine =
            Machine::start(&name, "tolgy16", ZONES[i % 3], times, users.nodes.clone(), world.clone());
        machines.lock().unwrap_or_else(|e| e.into_inner()).push(machine);
    }
    if !users.wait_ready(20.0) {
        return Err("the controllers are not ready".into());
    }
    let count = if trouble { CROWD } else { FEW };
    let mut submitting = Vec::new();
    let begin = Instant::now();
    for i in 0..count {
        wait((i as f64 * PACE - begin.elapsed().as_secs_f64()).max(0.0));
        let uid = format!("wk-{:06}", 1000 + i);
        let info = JobInfo { strides: 1, run: Some(Duration::from_secs(400)) };
        world.lock().unwrap_or_else(|e| e.into_inner()).jobs.insert(uid.clone(), info);
        let users = users.clone();
        submitting.push(std::thread::spawn(move || {
            let job = Job {
                uid: &uid,
                breed: "nyugta-egyeztet",
                herd: TEAM,
                gait: "batch",
                strides: 1,
                vcpus: VCPUS,
                follows: &[],
            };
            users.submit(i % 3, &job)
        }));
    }
    if !submitting.into_iter().all(|t| t.join().unwrap_or(false)) {
        return Err("a job was not accepted".into());
    }
    note!(
        "{count} jobs of {TEAM} are accepted: {} of its guarantee of {GUARANTEE} processors",
        count as f64 * VCPUS
    );
    let start = Instant::now();
    while start.elapsed().as_secs_f64() < WAITING + 0.5 {
        let running: usize =
            machines.lock().unwrap_or_else(|e| e.into_inner()).iter().map(|m| m.running()).sum();
        note!("{running} of {count} tasks run");
        wait(3.0);
    }
    let list = machines.lock().unwrap_or_else(|e| e.into_inner()).clone();
    for machine in &list {
        note!(
            "{} runs {} tasks of {VCPUS} processors, {} of its 16 are free",
            machine.name,
            machine.running(),
            16.0 - machine.running() as f64 * VCPUS
        );
    }
    let has_room = list.iter().any(|m| !m.is_gone() && 16.0 - m.running() as f64 * VCPUS >= VCPUS);
    let mut waiting = Vec::new();
    for i in 0..count {
        let uid = format!("wk-{:06}", 1000 + i);
        if let Some((200, stance)) = users.poll(i % 3, &uid)
            && stance == "pending"
        {
            waiting.push(uid);
        }
    }
    note!("controllers that ended by themselves: {:?}", deployment.ended());
    note!("{} of {count} jobs wait: {waiting:?}", waiting.len());
    if !waiting.is_empty() && has_room {
        note!(
            "BROKEN: accepted jobs wait, {WAITING} s after the last one was accepted, while machines have room and the team is within its guarantee"
        );
        return Ok(false);
    }
    Ok(true)
}
