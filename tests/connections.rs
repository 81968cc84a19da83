//! A controller process whose HTTP port has more connections than it can serve, or connections that are of no use.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// How long a controller may take to start, or to answer again.
const PATIENCE: Duration = Duration::from_secs(10);
/// How long a client waits for an answer, as the load balancer's probes do.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections of a crowd: more than the processes of these tests have descriptors for.
const CROWD: usize = 150;

/// A state service that refuses everything and counts the calls, one for each connection.
struct StateService {
    address: SocketAddr,
    calls: Arc<AtomicUsize>,
}

impl StateService {
    fn start() -> StateService {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let calls = Arc::new(AtomicUsize::new(0));
        let counter = calls.clone();
        std::thread::spawn(move || {
            for mut connection in listener.incoming().flatten() {
                counter.fetch_add(1, Ordering::Relaxed);
                let _ = connection.set_read_timeout(Some(ANSWER_TIMEOUT));
                let _ = connection.read(&mut [0; 4096]);
                let refusal =
                    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";
                let _ = connection.write_all(refusal);
            }
        });
        StateService { address, calls }
    }

    fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }
}

/// A controller process with a limit of descriptors; killed when it is dropped.
struct Controller {
    process: Child,
    address: SocketAddr,
    settings: PathBuf,
}

impl Controller {
    /// Starts a controller and waits until it answers. `quota` is the settings' table of that name.
    fn start(name: &str, descriptors: usize, quota: &str, state: SocketAddr) -> Controller {
        let [address, back] = [(); 2].map(|()| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            listener.local_addr().expect("an address")
        });
        let text = format!(
            "member = \"c0\"\napi_addr = \"{address}\"\nback = \"{back}\"\n[outside]\ncloud = \"{state}\"\n\
            state = \"{state}\"\n[settings.workers]\nreport_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\n\
            gang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\nwrite_rps = 20.0\nvalue_kb = 4.0\n\
            txn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n{quota}"
        );
        let settings = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("the settings are written");
        let process = Command::new("sh")
            .arg("-c")
            .arg(format!("ulimit -n {descriptors} && exec \"$0\" run --config \"$1\""))
            .arg(env!("CARGO_BIN_EXE_hazelsaddle"))
            .arg(&settings)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the controller starts");
        let controller = Controller { process, address, settings };
        assert!(controller.answers_within(PATIENCE), "the controller has not started");
        controller
    }

    /// Opens a connection and sends the bytes on it.
    fn connect(&self, bytes: &str) -> std::io::Result<TcpStream> {
        let mut connection = TcpStream::connect_timeout(&self.address, ANSWER_TIMEOUT)?;
        connection.write_all(bytes.as_bytes())?;
        Ok(connection)
    }

    /// Opens up to [`CROWD`] connections, as many as are taken, and sends the bytes on each.
    fn crowd(&self, bytes: &str) -> Vec<TcpStream> {
        (0..CROWD).map_while(|_| self.connect(bytes).ok()).collect()
    }

    /// Whether a health probe on a new connection is answered, with whatever status.
    fn answers(&self) -> bool {
        let url = format!("http://{}/ready", self.address);
        matches!(ureq::get(&url).timeout(ANSWER_TIMEOUT).call(), Ok(_) | Err(ureq::Error::Status(..)))
    }

    fn answers_within(&self, patience: Duration) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < patience {
            if self.answers() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Guards against an HTTP port that is closed for good once a connection could not be accepted.
#[test]
fn http_port_answers_again_after_descriptors_ran_out() {
    let state = StateService::start();
    let controller = Controller::start("descriptors-ran-out", 100, "", state.address);
    let crowd = controller.crowd("GET /status HTTP/1.1\r\nHost: c0\r\n\r\n");
    std::thread::sleep(ANSWER_TIMEOUT);
    drop(crowd);
    assert!(controller.answers_within(PATIENCE), "no answer after the crowd has left");
}

/// Guards against users' connections that take the descriptors which the controller's own calls need.
#[test]
fn state_service_is_called_while_http_connections_take_all_they_may() {
    let state = StateService::start();
    let quota = "[settings.quota]\nfd_limit = 200\n";
    let controller = Controller::start("descriptors-reserved", 200, quota, state.address);
    let crowd = controller.crowd("");
    std::thread::sleep(ANSWER_TIMEOUT);
    let calls = state.calls();
    std::thread::sleep(3 * ANSWER_TIMEOUT);
    assert!(state.calls() > calls, "no call while the crowd is there");
    drop(crowd);
    assert!(controller.answers_within(PATIENCE), "no answer after the crowd has left");
}

/// Guards against clients that lose power in the middle of a request and hold up everybody else.
#[test]
fn half_sent_requests_hold_up_nobody_else() {
    let state = StateService::start();
    let controller = Controller::start("half-sent", 1000, "", state.address);
    let half =
        format!("POST /hello HTTP/1.1\r\nHost: c0\r\nContent-Length: 5000\r\n\r\n{}", " ".repeat(2000));
    let stalled: Vec<TcpStream> = (0..8).map(|_| controller.connect(&half).expect("a connection")).collect();
    std::thread::sleep(ANSWER_TIMEOUT);
    assert!(controller.answers(), "held up by half-sent requests");
    drop(stalled);
}
