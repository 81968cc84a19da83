//! A whole deployment on loopback: state service, cloud and workers in threads of this process; controllers and log
//! stores as processes of their own, so that they can be killed.

use crate::cloud::{self, Cloud};
use crate::http::{free_port, lock, serve, state_service};
use crate::state::State;
use crate::worker::{Registry, Script};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::ffi::OsStr;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["a", "b", "c"];
const REPORT_S: f64 = 1.0;
const LEASE_S: f64 = 9.0;

/// How large a deployment is.
#[derive(Clone, Debug, Default)]
pub struct Size {
    /// Machines at the start.
    pub workers: usize,
    /// Log stores.
    pub stores: usize,
    /// Lines to add to the stores' settings, by section.
    pub settings: Vec<(&'static str, String)>,
    /// The operators' settings of the controllers, as INI.
    pub operators: String,
    /// Whether the state service keeps every change, for an account of what was on record when.
    pub keep_all: bool,
}

struct Process {
    child: Option<Child>,
    verb: &'static str,
    config: PathBuf,
    operators: Option<PathBuf>,
}

/// The deployment.
pub struct LocalCluster {
    program: PathBuf,
    folder: tempfile::TempDir,
    controllers: Vec<Process>,
    stores: Vec<Process>,
    /// Where users reach the controllers.
    pub api: Vec<SocketAddrV4>,
    /// Where readers reach the stores.
    pub doors: Vec<SocketAddrV4>,
    /// Where shippers reach the stores.
    pub links: Vec<SocketAddrV4>,
    /// The cloud.
    pub cloud: cloud::Shared,
    /// What workers share.
    pub registry: Arc<Registry>,
    /// What the state service holds.
    pub state: Arc<Mutex<State>>,
    /// Set while the state service is away.
    pub state_away: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
}

type Failed = Box<dyn std::error::Error>;

impl LocalCluster {
    /// Starts everything. `program` is this laboratory's own binary, which runs controllers and stores, too.
    ///
    /// # Errors
    /// If a port, a file or a process can't be had.
    pub fn start(program: &Path, size: &Size) -> Result<LocalCluster, Failed> {
        let folder = tempfile::tempdir()?;
        let ended = Arc::new(AtomicBool::new(false));
        let state_away = Arc::new(AtomicBool::new(false));
        let ports = |n: usize| (0..n).map(|_| free_port()).collect::<std::io::Result<Vec<_>>>();
        let (api, back) = (ports(3)?, ports(3)?);
        let (links, peers, doors) = (ports(size.stores)?, ports(size.stores)?, ports(size.stores)?);
        let (state_at, cloud_at) = (free_port()?, free_port()?);
        let state = Arc::new(Mutex::new(State::new()));
        if size.keep_all {
            lock(&state).keep = usize::MAX;
        }
        let seen = state.clone();
        state_service(state_at, state.clone(), state_away.clone(), ended.clone())?;
        let registry = Arc::new(Registry {
            scripts: Mutex::new(BTreeMap::new()),
            written: Mutex::new(BTreeMap::new()),
            ran: Mutex::new(Vec::new()),
            revision: Box::new(move || lock(&seen).revision),
            stores: links.clone(),
            scratch: folder.path().to_owned(),
            report: Duration::from_secs_f64(REPORT_S),
            lease: Duration::from_secs_f64(LEASE_S),
        });
        let named = api.iter().enumerate().map(|(i, a)| (format!("c{i}"), *a)).collect();
        let cloud: cloud::Shared = Arc::new(Mutex::new(Cloud::new(named, registry.clone(), size.workers)));
        let shared = cloud.clone();
        serve(cloud_at, 4, ended.clone(), move |m, u, b| cloud::handle(&shared, m, u, b))?;
        let mut town = LocalCluster {
            program: program.to_owned(),
            controllers: Vec::new(),
            stores: Vec::new(),
            api,
            doors,
            links,
            cloud,
            registry,
            state,
            state_away,
            ended,
            folder,
        };
        for i in 0..size.stores {
            let text = store_settings(i, town.folder.path(), size, &town.links, &peers, &town.doors);
            town.stores.push(town.process("store", &format!("s{i}.ini"), &text)?);
        }
        let operators = town.folder.path().join("operators.ini");
        std::fs::write(&operators, &size.operators)?;
        for i in 0..3 {
            let text = controller_settings(i, &town.api, &back, state_at, cloud_at);
            let mut p = town.process("controller", &format!("c{i}.toml"), &text)?;
            p.operators = (!size.operators.is_empty()).then(|| operators.clone());
            town.controllers.push(p);
        }
        for i in 0..3 {
            town.start_controller(i)?;
        }
        for i in 0..size.stores {
            town.start_store(i)?;
        }
        for i in 0..size.workers {
            lock(&town.cloud).add(ZONES[i % 3]);
        }
        Ok(town)
    }

    fn process(&self, verb: &'static str, name: &str, text: &str) -> std::io::Result<Process> {
        let config = self.folder.path().join(name);
        std::fs::write(&config, text)?;
        Ok(Process { child: None, verb, config, operators: None })
    }
    fn run(program: &Path, p: &mut Process) -> std::io::Result<()> {
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(p.config.with_extension("log"))?;
        let child = Command::new(program)
            .arg(p.verb)
            .arg("--config")
            .arg(&p.config)
            .args(p.operators.iter().flat_map(|o| [OsStr::new("--operators"), o.as_os_str()]))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        p.child = Some(child);
        Ok(())
    }
    fn end_of(p: &mut Process) {
        if let Some(mut c) = p.child.take() {
            let _ = c.kill();
            let _ = c.wait();
        }
    }
    /// Starts a controller that was killed.
    ///
    /// # Errors
    /// What the system says.
    pub fn start_controller(&mut self, i: usize) -> std::io::Result<()> {
        LocalCluster::run(&self.program, &mut self.controllers[i])
    }
    /// Kills a controller without a warning.
    pub fn kill_controller(&mut self, i: usize) {
        LocalCluster::end_of(&mut self.controllers[i]);
    }
    /// Starts a store that was killed.
    ///
    /// # Errors
    /// What the system says.
    pub fn start_store(&mut self, i: usize) -> std::io::Result<()> {
        LocalCluster::run(&self.program, &mut self.stores[i])
    }
    /// Kills a store without a warning.
    pub fn kill_store(&mut self, i: usize) {
        LocalCluster::end_of(&mut self.stores[i]);
    }
    /// Which stores run.
    pub fn stores_up(&self) -> Vec<usize> {
        (0..self.stores.len()).filter(|&i| self.stores[i].child.is_some()).collect()
    }
    /// Which controllers run.
    pub fn controllers_up(&self) -> Vec<usize> {
        (0..self.controllers.len()).filter(|&i| self.controllers[i].child.is_some()).collect()
    }
    /// Waits until a store answers its readers.
    pub fn store_answers(&self, i: usize, within: Duration) -> Option<Duration> {
        let begun = Instant::now();
        while begun.elapsed() < within {
            if ureq::get(&format!("http://{}/ready", self.doors[i]))
                .timeout(Duration::from_secs(1))
                .call()
                .is_ok()
            {
                return Some(begun.elapsed());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }
    /// What the processes have written to their logs.
    pub fn logs(&self) -> String {
        let mut all = String::new();
        for p in self.controllers.iter().chain(&self.stores) {
            let log = p.config.with_extension("log");
            all.push_str(&format!(
                "== {}\n{}",
                log.display(),
                std::fs::read_to_string(&log).unwrap_or_default()
            ));
        }
        all
    }
    /// Where its files are while it runs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Submits a job, on any controller, until it is accepted.
    ///
    /// # Errors
    /// If it is refused for good, or not accepted within a minute.
    pub fn submit(&self, id: &str, tasks: u32, script: Script) -> Result<(), String> {
        let body = description(id, tasks, &script).to_string();
        lock(&self.registry.scripts).insert(id.to_owned(), script);
        let begun = Instant::now();
        let mut last = String::new();
        while begun.elapsed() < Duration::from_secs(60) {
            for addr in &self.api {
                let r = ureq::post(&format!("http://{addr}/v1/jobs"))
                    .timeout(Duration::from_secs(5))
                    .send_string(&body);
                match r {
                    Ok(_) => return Ok(()),
                    Err(ureq::Error::Status(s @ (400 | 422), r)) => {
                        return Err(format!("{s} {}", r.into_string().unwrap_or_default()));
                    }
                    Err(e) => last = e.to_string(),
                }
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        Err(format!("{id} was not accepted: {last}"))
    }
    /// A job's state as any controller tells it.
    pub fn stance(&self, id: &str) -> Option<Value> {
        self.api.iter().find_map(|addr| {
            let r = ureq::get(&format!("http://{addr}/v1/jobs/{id}"))
                .timeout(Duration::from_secs(2))
                .call()
                .ok()?;
            Some(crate::http::body(r))
        })
    }
    /// Waits until all these jobs are done. Returns those that are not in time.
    pub fn wait(&self, jobs: &[String], within: Duration, mut each: impl FnMut()) -> Vec<String> {
        let begun = Instant::now();
        let mut open: Vec<String> = jobs.to_vec();
        while !open.is_empty() && begun.elapsed() < within {
            lock(&self.cloud).sweep();
            open.retain(|id| self.stance(id).is_none_or(|s| s["stance"] != "done"));
            each();
            std::thread::sleep(Duration::from_millis(200));
        }
        open
    }
}

/// A job as its user describes it.
#[must_use]
pub fn description(id: &str, tasks: u32, script: &Script) -> Value {
    json!({"uid": id, "breed": "lab", "herd": script.team, "gait": "batch", "rank": "normal",
        "strides": tasks, "vcpus": script.cpus, "cards": 0, "ramGb": 0.5, "tack": "img", "imageGb": 0.1,
        "breedsOfStall": null, "paddock": null, "together": false, "scatter": false, "borrowed": false,
        "rideS": 5.0, "restS": 0.0, "unsaddleS": 0.0, "dueS": null})
}

impl Drop for LocalCluster {
    fn drop(&mut self) {
        lock(&self.cloud).end();
        for p in self.controllers.iter_mut().chain(&mut self.stores) {
            LocalCluster::end_of(p);
        }
        self.ended.store(true, Ordering::Relaxed);
    }
}

fn store_settings(
    i: usize,
    folder: &Path,
    size: &Size,
    links: &[SocketAddrV4],
    peers: &[SocketAddrV4],
    doors: &[SocketAddrV4],
) -> String {
    let mut text = format!(
        "[store]\nname = s{i}\nzone = {}\nfolder = {}\nlink = {}\npeer = {}\nhttp = {}\n\n[stores]\n",
        ZONES[i % 3],
        folder.join(format!("s{i}")).display(),
        links[i],
        peers[i],
        doors[i]
    );
    for j in (0..size.stores).filter(|j| *j != i) {
        text.push_str(&format!("s{j} = {} {} {} {}\n", ZONES[j % 3], links[j], peers[j], doors[j]));
    }
    let mut sections: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (section, line) in &size.settings {
        sections.entry(section).or_default().push(line);
    }
    for (section, lines) in sections {
        text.push_str(&format!("\n[{section}]\n{}\n", lines.join("\n")));
    }
    text
}

fn controller_settings(
    i: usize,
    api: &[SocketAddrV4],
    back: &[SocketAddrV4],
    state: SocketAddrV4,
    cloud: SocketAddrV4,
) -> String {
    let seed = |j: usize| {
        format!("[[seeds]]\nmember = \"c{j}\"\nlocation = \"{}\"\naddr = \"{}\"\n", ZONES[j], back[j])
    };
    let seeds: String = (0..3).filter(|j| *j != i).map(seed).collect();
    format!(
        "member = \"c{i}\"\nlocation = \"{}\"\napi_addr = \"{}\"\nback = \"{}\"\n{seeds}\n[outside]\ncloud = \"{cloud}\"\n\
        state = \"{state}\"\n\n[settings]\ncount = 3\n\n[[settings.teams]]\nname = \"lab-team\"\ncpus = 16.0\ncpus_max = 64.0\n\n\
        [settings.workers]\nreport_s = {REPORT_S:.1}\nlease_s = {LEASE_S:.1}\ngang_wait_s = 10.0\ngang_peer_s = 3.0\n\
        cancel_s = 24.0\n\n[settings.state]\nrps = 400.0\nwrite_rps = 60.0\nvalue_kb = 4.0\ntxn_ops = 8\n\n\
        [settings.cloud]\nrps = 5.0\nlist_lag_s = 1.0\n",
        ZONES[i], api[i], back[i]
    )
}
