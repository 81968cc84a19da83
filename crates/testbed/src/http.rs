//! Stand-ins on loopback ports.

use crate::state::State;
use serde_json::{Value, json};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A lock whose holder panicked guards a model that the experiment gives up anyway.
pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An answer's body.
pub fn body(r: ureq::Response) -> Value {
    serde_json::from_reader(r.into_reader()).unwrap_or(Value::Null)
}

/// A free port of this machine, as an address.
///
/// # Errors
/// If none can be had.
pub fn free_port() -> std::io::Result<SocketAddrV4> {
    match std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()? {
        SocketAddr::V4(a) => Ok(a),
        SocketAddr::V6(_) => Err(std::io::Error::other("not IPv4")),
    }
}

/// Serves JSON requests in some threads until `ended`. The handler gets method, path with query, and body.
///
/// # Errors
/// If the address can't be listened on.
pub fn serve(
    addr: SocketAddrV4,
    threads: usize,
    ended: Arc<AtomicBool>,
    handle: impl Fn(&str, &str, &Value) -> (u16, Value) + Send + Sync + 'static,
) -> std::io::Result<()> {
    let server = tiny_http::Server::http(addr).map_err(|e| std::io::Error::other(e.to_string()))?;
    let (server, handle) = (Arc::new(server), Arc::new(handle));
    for _ in 0..threads {
        let (server, handle, ended) = (server.clone(), handle.clone(), ended.clone());
        std::thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                let Ok(Some(mut r)) = server.recv_timeout(Duration::from_millis(100)) else { continue };
                let mut text = String::new();
                let _ = r.as_reader().read_to_string(&mut text);
                let body = serde_json::from_str(&text).unwrap_or(Value::Null);
                let (method, url) = (r.method().as_str().to_owned(), r.url().to_owned());
                let (status, answer) = handle(&method, &url, &body);
                let _ =
                    r.respond(tiny_http::Response::from_string(answer.to_string()).with_status_code(status));
            }
        });
    }
    Ok(())
}

/// The state service on a port. While `away`, every request gets 503.
///
/// # Errors
/// If the address can't be listened on.
pub fn state_service(
    addr: SocketAddrV4,
    state: Arc<Mutex<State>>,
    away: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
) -> std::io::Result<()> {
    let begun = Instant::now();
    let clock = move || begun.elapsed().as_micros() as u64;
    serve(addr, 24, ended, move |method, url, body| {
        if away.load(Ordering::Relaxed) {
            return (503, json!({"error": "trouble"}));
        }
        let until = State::wait_of(url).map(|w| Instant::now() + Duration::from_micros(w.0));
        loop {
            let last = until.is_none_or(|u| Instant::now() >= u);
            if let Some(answer) = lock(&state).http(clock(), method, url, body, last) {
                return answer;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    })
}
