//! Controllers as processes of their own, started by the command of `deploy/service.toml` with settings files in a temporary folder.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

pub struct Node {
    pub name: String,
    pub api: SocketAddr,
    pub back: SocketAddr,
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Deployment {
    pub folder: PathBuf,
    pub nodes: Vec<Node>,
    command: Vec<String>,
    /// The platform's `settings.quota.fd_limit`, if the case keeps to it.
    pub fd_limit: Option<u32>,
}

/// Why a case can't run.
pub type Failure = String;

/// Everything of a settings file that is the same for all controllers.
pub struct Site {
    pub zones: &'static [&'static str],
    pub settings: &'static str,
}

impl Deployment {
    /// Writes the settings of three controllers. `state` has an address for each of them; `case` is the number of the case.
    pub fn prepare(
        site: &Site,
        state: &[SocketAddr],
        cloud: SocketAddr,
        case: u16,
    ) -> Result<Deployment, Failure> {
        let service =
            fs::read_to_string("deploy/service.toml").map_err(|e| format!("deploy/service.toml: {e}"))?;
        let run = service.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let command: Vec<String> = run.ok_or("no run command")?.split(' ').map(str::to_owned).collect();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let held = free_ports(6, case).ok_or("too few free ports")?;
        let addr = |i: usize| held[i].local_addr().expect("address");
        let mut nodes = Vec::new();
        for i in 0..3 {
            nodes.push(Node {
                name: format!("stall-{i}"),
                api: addr(2 * i),
                back: addr(2 * i + 1),
                config: folder.join(format!("stall-{i}.toml")),
                log: folder.join(format!("stall-{i}.log")),
                child: None,
            });
        }
        for (i, node) in nodes.iter().enumerate() {
            let zone = |i: usize| site.zones[i % site.zones.len()];
            let mut text = format!(
                "member = \"{}\"\nlocation = \"{}\"\napi_addr = \"{}\"\nback = \"{}\"\n",
                node.name,
                zone(i),
                node.api,
                node.back
            );
            for (j, other) in nodes.iter().enumerate().filter(|(j, _)| *j != i) {
                text += &format!(
                    "\n[[seeds]]\nmember = \"{}\"\nlocation = \"{}\"\naddr = \"{}\"\n",
                    other.name,
                    zone(j),
                    other.back
                );
            }
            text += &format!("\n[outside]\ncloud = \"{cloud}\"\nstate = \"{}\"\n{}", state[i], site.settings);
            fs::write(&node.config, text).map_err(|e| format!("{}: {e}", node.config.display()))?;
        }
        Ok(Deployment { folder, nodes, command, fd_limit: None })
    }

    pub fn start(&mut self, i: usize) -> Result<(), Failure> {
        let node = &mut self.nodes[i];
        let log = File::options().create(true).append(true).open(&node.log).map_err(|e| e.to_string())?;
        let mut command = match self.fd_limit {
            None => Command::new(&self.command[0]),
            Some(limit) => {
                let mut shell = Command::new("sh");
                shell.arg("-c").arg(format!("ulimit -n {limit} && exec \"$0\" \"$@\"")).arg(&self.command[0]);
                shell
            }
        };
        let child = command
            .args(&self.command[1..])
            .arg(&node.config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{}: {e}", self.command[0]))?;
        crate::note!("{} starts, process {}", node.name, child.id());
        node.child = Some(child);
        Ok(())
    }

    pub fn addresses(&self) -> Vec<(String, SocketAddr)> {
        self.nodes.iter().map(|node| (node.name.clone(), node.api)).collect()
    }

    /// Ends a controller at once.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.nodes[i].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            crate::note!("{} killed", self.nodes[i].name);
        }
    }

    /// The names of controllers that ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for node in &mut self.nodes {
            if let Some(child) = &mut node.child
                && let Ok(Some(status)) = child.try_wait()
            {
                ended.push(format!("{} ({status})", node.name));
            }
        }
        ended
    }
}

/// Free ports below those that the system gives to clients, so that no stand-in and no connection takes one of them before
/// its controller has started or after its controller has closed it. Each case has a range of its own. All are held until
/// all are known.
fn free_ports(count: usize, case: u16) -> Option<Vec<TcpListener>> {
    let range = 16_000 + case * 4000..20_000 + case * 4000;
    let first = range.start + std::process::id() as u16 % 200 * 10;
    let ports = (first..range.end).filter_map(|port| TcpListener::bind(("127.0.0.1", port)).ok());
    let held: Vec<TcpListener> = ports.take(count).collect();
    (held.len() == count).then_some(held)
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for i in 0..self.nodes.len() {
            self.kill(i);
        }
        if let Ok(keep) = std::env::var("KEEP_LOGS") {
            let _ = fs::create_dir_all(&keep);
            for node in &self.nodes {
                let _ = fs::copy(&node.log, PathBuf::from(&keep).join(format!("{}.log", node.name)));
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
