//! Machines with their workers: PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers". Arrays and
//! services only. What runs where is checked as it happens.

use crate::http::{self, Answer, Request};
use crate::json::Json;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A job as its user uploaded it for the workers.
#[derive(Clone)]
pub struct JobInfo {
    pub strides: u32,
    /// None: a service.
    pub run: Option<Duration>,
}

/// What all machines share: the uploaded jobs, the kept results, and what runs where.
#[derive(Default)]
pub struct World {
    pub jobs: BTreeMap<String, JobInfo>,
    pub results: BTreeSet<String>,
    /// Tasks that have their image, with machine and mount.
    pub on_machine: BTreeMap<String, Vec<(String, u64)>>,
    /// When a user was told that a job is cancelled, and by when its tasks must be gone.
    pub cancelled: BTreeMap<String, Instant>,
    /// Broken rules.
    pub broken: Vec<String>,
    pub cancel: Duration,
}

impl World {
    pub fn note_broken(&mut self, text: String) {
        crate::note!("BROKEN {text}");
        self.broken.push(text);
    }
}

#[derive(Clone, Copy)]
pub struct Times {
    pub report: Duration,
    pub lease: Duration,
}

struct Task {
    stance: &'static str,
    cause: Option<&'static str>,
    until: Option<Instant>,
}

struct Inner {
    ride: u64,
    hoofbeat: u64,
    rein: u64,
    answered: Instant,
    tasks: BTreeMap<(String, u64), Task>,
    changed: bool,
}

pub struct Machine {
    pub name: String,
    pub kind: String,
    pub zone: String,
    pub borrowed: bool,
    pub addr: SocketAddr,
    times: Times,
    nodes: Vec<(String, SocketAddr)>,
    world: Arc<Mutex<World>>,
    inner: Mutex<Inner>,
    pub gone: AtomicBool,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

impl Machine {
    pub fn start(
        name: &str,
        kind: &str,
        zone: &str,
        times: Times,
        nodes: Vec<(String, SocketAddr)>,
        world: Arc<Mutex<World>>,
    ) -> Arc<Machine> {
        let listener = http::listener();
        let machine = Arc::new(Machine {
            name: name.into(),
            kind: kind.into(),
            zone: zone.into(),
            borrowed: false,
            addr: listener.local_addr().expect("address"),
            times,
            nodes,
            world,
            inner: Mutex::new(Inner {
                ride: 1,
                hoofbeat: 0,
                rein: 0,
                answered: Instant::now(),
                tasks: BTreeMap::new(),
                changed: false,
            }),
            gone: AtomicBool::new(false),
        });
        let direct = machine.clone();
        http::serve(listener, move |request| direct.handle_direct(&request));
        let reporter = machine.clone();
        std::thread::spawn(move || reporter.report_for_ever());
        let ticker = machine.clone();
        std::thread::spawn(move || {
            while !ticker.is_gone() {
                std::thread::sleep(Duration::from_millis(50));
                ticker.tick();
            }
        });
        machine
    }

    pub fn is_gone(&self) -> bool {
        self.gone.load(Ordering::SeqCst)
    }

    /// The cloud takes the machine away, with everything on it.
    pub fn remove(&self) {
        self.gone.store(true, Ordering::SeqCst);
        let mut inner = lock(&self.inner);
        self.drop_all(&mut inner);
    }

    pub fn running(&self) -> usize {
        lock(&self.inner).tasks.values().filter(|t| t.stance == "running").count()
    }

    fn drop_all(&self, inner: &mut Inner) {
        for ((stride, mount), task) in std::mem::take(&mut inner.tasks) {
            if task.stance == "running" {
                self.leave(&stride, mount);
            }
        }
    }

    /// Notes that a task is on this machine, and checks the rules about that.
    fn enter(&self, stride: &str, mount: u64) {
        let mut world = lock(&self.world);
        crate::note!("{} starts {stride} mount {mount}", self.name);
        let others = world.on_machine.entry(stride.to_owned()).or_default();
        others.push((self.name.clone(), mount));
        if others.len() > 1 {
            let text = format!("ran_twice: {stride} on {others:?}");
            world.note_broken(text);
        }
        self.check_cancelled(&mut world, stride, "starts");
    }

    fn check_cancelled(&self, world: &mut World, stride: &str, what: &str) {
        let job = stride.split('/').next().unwrap_or("");
        if let Some(told) = world.cancelled.get(job)
            && told.elapsed() > world.cancel
        {
            let text = format!(
                "ran_cancelled: {stride} {what} on {} {:.1?} after its user was told",
                self.name,
                told.elapsed()
            );
            if !world.broken.contains(&text) {
                world.note_broken(text);
            }
        }
    }

    fn leave(&self, stride: &str, mount: u64) {
        let mut world = lock(&self.world);
        self.check_cancelled(&mut world, stride, "was");
        if let Some(others) = world.on_machine.get_mut(stride) {
            others.retain(|(machine, m)| (machine, *m) != (&self.name, mount));
        }
    }

    fn tick(&self) {
        let mut inner = lock(&self.inner);
        if self.is_gone() {
            return;
        }
        let now = Instant::now();
        if now.duration_since(inner.answered) > self.times.lease {
            crate::note!(
                "{} lease ran out, session {} ends with {} tasks",
                self.name,
                inner.ride,
                inner.tasks.len()
            );
            self.drop_all(&mut inner);
            inner.ride += 1;
            inner.answered = now;
            inner.changed = true;
        }
        let due: Vec<(String, u64)> = inner
            .tasks
            .iter()
            .filter(|(_, t)| t.cause.is_none() && t.until.is_some_and(|until| now >= until))
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            inner.changed = true;
            let job = key.0.split('/').next().unwrap_or("").to_owned();
            let (run, kept) = {
                let world = lock(&self.world);
                (world.jobs.get(&job).and_then(|j| j.run), world.results.contains(&key.0))
            };
            let Some(task) = inner.tasks.get_mut(&key) else { continue };
            if task.stance == "pulling" {
                self.enter(&key.0, key.1);
                task.stance = "running";
                task.until = if kept { Some(now) } else { run.map(|run| now + run) };
            } else {
                task.stance = "ended";
                task.cause = Some("done");
                task.until = None;
                crate::note!("{} done {} mount {}", self.name, key.0, key.1);
                lock(&self.world).results.insert(key.0.clone());
                self.leave(&key.0, key.1);
            }
        }
    }

    fn report(&self, inner: &mut Inner) -> String {
        inner.hoofbeat += 1;
        let strides: Vec<String> = inner
            .tasks
            .iter()
            .map(|((stride, mount), task)| {
                let cause = task.cause.map_or(String::new(), |c| format!(r#","cause":"{c}""#));
                let saved = if task.cause == Some("stopped") { r#","saved":false"# } else { "" };
                format!(r#"{{"stride":"{stride}","mount":{mount},"stance":"{}"{cause}{saved}}}"#, task.stance)
            })
            .collect();
        format!(
            r#"{{"stall":"{}","addr":"{}","stallKind":"{}","paddock":"{}","borrowed":{},"ride":{},"hoofbeat":{},"rein":{},"whistleS":null,"strides":[{}]}}"#,
            self.name,
            self.addr,
            self.kind,
            self.zone,
            self.borrowed,
            inner.ride,
            inner.hoofbeat,
            inner.rein,
            strides.join(",")
        )
    }

    fn execute(&self, inner: &mut Inner, calls: &[Json]) {
        for call in calls {
            let stride = call.field_str("stride").unwrap_or("").to_owned();
            let mount = call.field_u64("mount").unwrap_or(0);
            let key = (stride.clone(), mount);
            match call.field_str("call") {
                Some("run") => self.run(inner, key),
                Some("kill") => {
                    if let Some(task) = inner.tasks.get_mut(&key)
                        && task.cause.is_none()
                    {
                        crate::note!("{} stops {stride} mount {mount}", self.name);
                        if task.stance == "running" {
                            self.leave(&stride, mount);
                        }
                        *task = Task { stance: "ended", cause: Some("stopped"), until: None };
                        inner.changed = true;
                    }
                }
                Some("forget") => {
                    if inner.tasks.get(&key).is_some_and(|task| task.cause.is_some()) {
                        inner.tasks.remove(&key);
                        inner.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    fn run(&self, inner: &mut Inner, key: (String, u64)) {
        if inner.tasks.contains_key(&key) {
            return;
        }
        let (job, index) = key.0.split_once('/').unwrap_or((&key.0, ""));
        let known = lock(&self.world)
            .jobs
            .get(job)
            .is_some_and(|j| index.parse::<u32>().is_ok_and(|i| i < j.strides));
        let busy = inner.tasks.iter().any(|((stride, _), t)| *stride == key.0 && t.cause.is_none());
        let refused = if !known {
            Some("unknown")
        } else if busy {
            Some("busy")
        } else {
            None
        };
        let task = match refused {
            Some(cause) => Task { stance: "ended", cause: Some(cause), until: None },
            None => Task {
                stance: "pulling",
                cause: None,
                until: Some(Instant::now() + Duration::from_millis(300)),
            },
        };
        inner.tasks.insert(key, task);
        inner.changed = true;
    }

    fn handle_direct(&self, request: &Request) -> Answer {
        if self.is_gone() {
            return None;
        }
        let mut inner = lock(&self.inner);
        if request.method == "GET" {
            return Some((200, self.report(&mut inner)));
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let (Some(rein), Some(ride)) = (body.field_u64("rein"), body.field_u64("ride")) else {
            return Some((400, "{}".into()));
        };
        if rein < inner.rein || ride != inner.ride {
            return Some((409, self.report(&mut inner)));
        }
        if rein > inner.rein {
            inner.rein = rein;
            inner.changed = true;
        }
        let calls = body.get("calls").map(|c| c.arr().to_vec()).unwrap_or_default();
        self.execute(&mut inner, &calls);
        Some((200, self.report(&mut inner)))
    }

    fn report_for_ever(&self) {
        let mut node = self.name.bytes().map(usize::from).sum::<usize>() % self.nodes.len();
        let mut connection: Option<BufReader<TcpStream>> = None;
        let mut count = 0u64;
        while !self.is_gone() {
            let sent = Instant::now();
            let (body, ride) = {
                let mut inner = lock(&self.inner);
                inner.changed = false;
                (self.report(&mut inner), inner.ride)
            };
            let answer = exchange(&mut connection, self.nodes[node].1, &body);
            if self.is_gone() {
                return;
            }
            match answer {
                Some((200, text)) => {
                    self.take_answer(sent, ride, &text);
                    count += 1;
                    self.pause(sent, count);
                }
                Some((421, text)) => {
                    connection = None;
                    let rider = Json::parse(&text).and_then(|b| b.field_str("rider").map(str::to_owned));
                    let at = rider.and_then(|r| self.nodes.iter().position(|(name, _)| *name == r));
                    match at.filter(|at| *at != node) {
                        Some(at) => {
                            node = at;
                            std::thread::sleep(Duration::from_millis(100));
                        }
                        None => {
                            node = (node + 1) % self.nodes.len();
                            std::thread::sleep(Duration::from_secs(1));
                        }
                    }
                }
                _ => {
                    connection = None;
                    node = (node + 1) % self.nodes.len();
                    std::thread::sleep(Duration::from_secs(1));
                }
            }
        }
    }

    fn take_answer(&self, sent: Instant, ride: u64, text: &str) {
        let mut inner = lock(&self.inner);
        let body = Json::parse(text).unwrap_or(Json::Null);
        let Some(rein) = body.field_u64("rein") else { return };
        if rein < inner.rein || ride != inner.ride || sent.elapsed() > Duration::from_secs(4) {
            return;
        }
        if rein > inner.rein {
            inner.rein = rein;
            inner.changed = true;
        }
        inner.answered = inner.answered.max(sent);
        let calls = body.get("calls").map(|c| c.arr().to_vec()).unwrap_or_default();
        self.execute(&mut inner, &calls);
    }

    /// Waits for the next report: the period, give or take a quarter, or a change, but at least half a second.
    fn pause(&self, sent: Instant, count: u64) {
        let share = 0.75 + 0.5 * ((count * 7 + self.name.len() as u64 * 3) % 10) as f64 / 10.0;
        let next = sent + self.times.report.mul_f64(share);
        let earliest = sent + Duration::from_millis(500);
        while Instant::now() < next && !self.is_gone() {
            if Instant::now() >= earliest && lock(&self.inner).changed {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

/// One report on a connection that stays open; None if there was no answer within 4 s.
fn exchange(connection: &mut Option<BufReader<TcpStream>>, addr: SocketAddr, body: &str) -> Answer {
    let until = Instant::now() + Duration::from_secs(4);
    if connection.is_none() {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(4)).ok()?;
        let _ = stream.set_nodelay(true);
        *connection = Some(BufReader::new(stream));
    }
    let reader = connection.as_mut()?;
    let text = format!(
        "POST /hello HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    reader.get_mut().write_all(text.as_bytes()).ok()?;
    read_answer(reader, until)
}

fn read_answer(reader: &mut BufReader<TcpStream>, until: Instant) -> Answer {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        read_until(reader, &mut byte, until)?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    })?;
    let mut body = vec![0; length];
    read_until(reader, &mut body, until)?;
    Some((status, String::from_utf8(body).ok()?))
}

fn read_until(reader: &mut BufReader<TcpStream>, buf: &mut [u8], until: Instant) -> Option<()> {
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return None;
    }
    reader.get_ref().set_read_timeout(Some(left)).ok()?;
    reader.read_exact(buf).ok()
}
