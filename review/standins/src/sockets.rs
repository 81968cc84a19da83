//! A controller that had many users at once, within its socket limit, takes no connection any more, also after they are gone.

use crate::cloud;
use crate::deploy::{Deployment, Failure};
use crate::note;
use crate::sites::{SANAQ, SANAQ_FLAVORS};
use crate::state::State;
use crate::users::{Job, Users};
use crate::worker::{JobInfo, Machine, Times, World};
use crate::{Outcome, wait};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const FD_LIMIT: u32 = 2000;
/// Users' connections for each controller: six tenths of its sockets.
const USERS: usize = 1200;
const JOBS: [&str; 3] = ["wk-001000", "wk-001001", "wk-001002"];
/// A job about which no question is answered for this long, once all troubles are over, counts as forgotten.
const FORGOTTEN: f64 = 75.0;

/// A user's connection stays open until the user closes it.
struct Connection {
    node: usize,
    _stream: TcpStream,
}

/// The load balancer: for every new connection the node with the fewest open ones, up to three; one that failed three
/// times in a row is skipped for 3 s.
struct Balancer {
    nodes: Vec<(String, SocketAddr)>,
    open: Vec<usize>,
    failed: Vec<u32>,
    skipped: Vec<Option<Instant>>,
    /// Whether the stand-in itself has no descriptors left.
    starved: bool,
}

impl Balancer {
    fn connect(&mut self) -> Option<(usize, TcpStream)> {
        let now = Instant::now();
        let mut order: Vec<usize> =
            (0..self.nodes.len()).filter(|&n| self.skipped[n].is_none_or(|until| now >= until)).collect();
        order.sort_by_key(|&n| self.open[n]);
        for node in order {
            match TcpStream::connect_timeout(&self.nodes[node].1, Duration::from_millis(500)) {
                Ok(stream) => {
                    self.failed[node] = 0;
                    self.open[node] += 1;
                    return Some((node, stream));
                }
                Err(e) => {
                    crate::note!("a connection to {} fails: {e}", self.nodes[node].0);
                    self.starved |= e.raw_os_error() == Some(24);
                    self.failed[node] += 1;
                    if self.failed[node] >= 3 {
                        self.failed[node] = 0;
                        self.skipped[node] = Some(now + Duration::from_secs(3));
                    }
                }
            }
        }
        None
    }
}

/// Asks about a job on a connection that stays open; whether there was an answer within 2 s.
fn ask(stream: &mut TcpStream, uid: &str) -> bool {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let text = format!("GET /v1/jobs/{uid} HTTP/1.1\r\nHost: users\r\n\r\n");
    let mut buffer = [0; 4096];
    stream.write_all(text.as_bytes()).is_ok() && stream.read(&mut buffer).is_ok_and(|n| n > 0)
}

pub fn run(trouble: bool) -> Outcome {
    let (_state, state_addrs) = State::start(3, 120.0, 15.0, 8.0, 8);
    let machines: cloud::Machines = Arc::default();
    let cloud = cloud::start(SANAQ_FLAVORS, machines.clone());
    let mut deployment = Deployment::prepare(&SANAQ, &state_addrs, cloud, 1)?;
    deployment.fd_limit = Some(FD_LIMIT);
    for i in 0..3 {
        deployment.start(i)?;
    }
    let users = Users { nodes: deployment.addresses() };
    let world = Arc::new(Mutex::new(World { cancel: Duration::from_secs(43), ..World::default() }));
    let times = Times { report: Duration::from_secs(4), lease: Duration::from_secs(18) };
    for i in 0..4 {
        let name = format!("i-{:06}", 231 + i);
        let machine = Machine::start(&name, "orta8", "astana-zal", times, users.nodes.clone(), world.clone());
        machines.lock().unwrap_or_else(|e| e.into_inner()).push(machine);
    }
    if !users.wait_ready(20.0) {
        return Err("the controllers are not ready".into());
    }
    for (i, uid) in JOBS.into_iter().enumerate() {
        let info = JobInfo { strides: 3, run: Some(Duration::from_secs(200)) };
        world.lock().unwrap_or_else(|e| e.into_inner()).jobs.insert(uid.into(), info);
        let job = Job {
            uid,
            breed: "bet-bolu",
            herd: "platforma-top",
            gait: "batch",
            strides: 3,
            vcpus: 1.0,
            follows: &[],
        };
        if !users.submit(i, &job) {
            return Err("a job was not accepted".into());
        }
    }
    wait(2.0);
    if trouble {
        crowd(&users)?;
    }
    // All troubles are over.
    wait(2.0);
    let start = Instant::now();
    let mut answered: BTreeMap<&str, u32> = BTreeMap::new();
    while start.elapsed().as_secs_f64() < FORGOTTEN + 2.0 {
        let round = Instant::now();
        for node in 0..3 {
            users.at(node, "GET", "/ready", "", 1.0);
            for uid in JOBS {
                if users.poll(node, uid).is_some_and(|(status, _)| status == 200) {
                    *answered.entry(uid).or_default() += 1;
                }
            }
        }
        wait(5.0 - round.elapsed().as_secs_f64().min(5.0));
    }
    note!("answers within {FORGOTTEN} s after the users were gone, by job: {answered:?}");
    note!("controllers that ended by themselves: {:?}", deployment.ended());
    let mut held = true;
    for uid in JOBS.into_iter().filter(|uid| !answered.contains_key(uid)) {
        note!("BROKEN forgotten: no question about {uid} was answered at any controller for {FORGOTTEN} s");
        held = false;
    }
    Ok(held)
}

/// Many users connect, ask about a job, stay connected for a while as the protocol allows, and leave.
fn crowd(users: &Users) -> Result<(), Failure> {
    let mut balancer = Balancer {
        nodes: users.nodes.clone(),
        open: vec![0; 3],
        failed: vec![0; 3],
        skipped: vec![None; 3],
        starved: false,
    };
    let mut open: Vec<Connection> = Vec::new();
    let (mut answered, mut unanswered, mut refused) = (0, 0, 0);
    for i in 0..3 * USERS {
        match balancer.connect() {
            Some((node, mut stream)) => {
                match ask(&mut stream, JOBS[i % 3]) {
                    true => answered += 1,
                    false => unanswered += 1,
                }
                open.push(Connection { node, _stream: stream });
            }
            None => refused += 1,
        }
        if (answered + unanswered + refused) % 300 == 0 {
            note!(
                "{} users connected, by controller {:?}; {answered} were answered, {unanswered} were not, {refused} refused",
                open.len(),
                balancer.open
            );
        }
        // Who gets no answer for long doesn't make the others wait.
        if unanswered + refused > 30 {
            break;
        }
    }
    let most = (0..3).map(|n| open.iter().filter(|c| c.node == n).count()).max().unwrap_or(0);
    note!(
        "{} users connected, at most {most} at one controller; {answered} were answered, {unanswered} were not, {refused} refused",
        open.len()
    );
    wait(3.0);
    drop(open);
    note!("all these users are gone");
    if balancer.starved { Err("the stand-in has too few descriptors".into()) } else { Ok(()) }
}
