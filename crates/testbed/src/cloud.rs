//! The cloud: rents machines, lists them late, takes them back. A machine is a `worker` in threads of this process.

use crate::http::lock;
use crate::worker::{Registry, Worker};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Processors and gigabytes of a machine.
pub const CPUS: u32 = 4;
const RAM_GB: u32 = 16;
/// Machines at the most; twice those at the start, if that is more.
const MOST: usize = 32;
/// The list is so late.
const LAG: Duration = Duration::from_secs(1);
/// New machines take so long.
const BOOT: Duration = Duration::from_millis(500);

struct Machine {
    worker: Option<Worker>,
    zone: String,
    since: Instant,
    failed: bool,
}

/// All machines.
pub struct Cloud {
    machines: BTreeMap<String, Machine>,
    hired: BTreeMap<String, Vec<String>>,
    next: u32,
    most: usize,
    controllers: Vec<(String, SocketAddrV4)>,
    registry: Arc<Registry>,
}

impl Cloud {
    /// No machines yet. `controllers` are names and addresses of those whom workers report to.
    pub fn new(controllers: Vec<(String, SocketAddrV4)>, registry: Arc<Registry>, first: usize) -> Cloud {
        let most = MOST.max(2 * first);
        Cloud { machines: BTreeMap::new(), hired: BTreeMap::new(), next: 0, most, controllers, registry }
    }

    /// A new machine, up after its boot.
    pub fn add(&mut self, zone: &str) -> String {
        self.next += 1;
        let name = format!("i-{:06}", self.next);
        let worker = Worker::start(&name, zone, BOOT, self.controllers.clone(), self.registry.clone());
        self.machines.insert(
            name.clone(),
            Machine { worker: Some(worker), zone: zone.into(), since: Instant::now(), failed: false },
        );
        name
    }
    /// Machines that are up.
    pub fn up(&self) -> Vec<String> {
        self.machines.iter().filter(|(_, m)| m.worker.is_some()).map(|(n, _)| n.clone()).collect()
    }
    /// A machine loses power: whatever was not through is lost. It is listed as failed.
    pub fn kill(&mut self, name: &str) {
        if let Some(m) = self.machines.get_mut(name) {
            m.failed = true;
            if let Some(w) = m.worker.take() {
                w.kill();
            }
        }
    }
    /// A machine is to be taken away after a notice.
    pub fn drain(&mut self, name: &str, notice: Duration) {
        if let Some(w) = self.machines.get_mut(name).and_then(|m| m.worker.as_ref()) {
            w.drain(notice);
        }
    }
    /// Machines whose notice has run out are gone.
    pub fn sweep(&mut self) {
        let over: Vec<String> = self
            .machines
            .iter()
            .filter(|(_, m)| m.worker.as_ref().is_some_and(Worker::is_over))
            .map(|(n, _)| n.clone())
            .collect();
        for name in over {
            self.give_back(&name);
        }
    }
    fn give_back(&mut self, name: &str) {
        if let Some(w) = self.machines.remove(name).and_then(|m| m.worker) {
            w.kill();
        }
    }
    /// Ends all machines.
    pub fn end(&mut self) {
        for (_, m) in std::mem::take(&mut self.machines) {
            if let Some(w) = m.worker {
                w.kill();
            }
        }
    }

    /// A request as it comes over HTTP, and its answer.
    pub fn http(&mut self, method: &str, url: &str, body: &Value) -> (u16, Value) {
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        match (method, path) {
            ("GET", "/flavors") => {
                let t = json!({"sku": "m4", "vcpus": CPUS, "cards": 0, "ramGb": RAM_GB, "cacheGb": 50, "fetchGbPerS": 5.0,
                    "rate": 0.4, "lowPrice": 0.2, "startupS": 1.0, "paddocks": ["a", "b", "c"]});
                (200, json!({"breedsOfStall": [t]}))
            }
            ("GET", "/rentals") => {
                let after = query.split('&').find_map(|p| p.strip_prefix("after=")).unwrap_or("");
                let listed = |(name, m): (&String, &Machine)| {
                    let stance = if m.failed { "failed" } else { "running" };
                    json!({"uid": name, "addr": "127.0.0.1:9", "stallKind": "m4", "paddock": m.zone, "borrowed": false,
                        "stance": stance, "heldS": m.since.elapsed().as_secs_f64()})
                };
                let old = |(name, m): &(&String, &Machine)| name.as_str() > after && m.since.elapsed() >= LAG;
                let rows: Vec<Value> = self.machines.iter().filter(old).take(500).map(listed).collect();
                (200, json!({"stalls": rows, "more": false}))
            }
            ("POST", "/rentals") => {
                let hire = body["hire"].as_str().unwrap_or("").to_owned();
                if let Some(names) = self.hired.get(&hire) {
                    return (200, json!({"stalls": names}));
                }
                let room = self.most.saturating_sub(self.machines.len());
                let count = (body["count"].as_u64().unwrap_or(0) as usize).min(room);
                if count == 0 || body["borrowed"] == true {
                    return (503, json!({"error": "no capacity"}));
                }
                let zone = body["paddock"].as_str().unwrap_or("a").to_owned();
                let names: Vec<String> = (0..count).map(|_| self.add(&zone)).collect();
                self.hired.insert(hire, names.clone());
                (200, json!({"stalls": names}))
            }
            ("POST", "/rentals/return") => {
                for name in body["stalls"].as_array().into_iter().flatten().filter_map(Value::as_str) {
                    self.give_back(name);
                }
                (200, json!({}))
            }
            _ => (400, json!({"error": "no such request"})),
        }
    }
}

/// The cloud as its users share it.
pub type Shared = Arc<Mutex<Cloud>>;

/// Carries out a request on a shared cloud.
pub fn handle(cloud: &Shared, method: &str, url: &str, body: &Value) -> (u16, Value) {
    lock(cloud).http(method, url, body)
}
