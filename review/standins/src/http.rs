//! HTTP/1.1 for stand-ins: a server with a thread for each connection, and a client with one request a connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub url: String,
    pub body: String,
}

/// The answer to a request; None closes the connection without one.
pub type Answer = Option<(u16, String)>;

pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

pub fn serve(listener: TcpListener, handle: impl Fn(Request) -> Answer + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for connection in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || serve_connection(connection, &*handle));
        }
    });
}

fn serve_connection(connection: TcpStream, handle: &(impl Fn(Request) -> Answer + ?Sized)) -> Option<()> {
    let _ = connection.set_nodelay(true);
    let mut out = connection.try_clone().ok()?;
    let mut reader = BufReader::new(connection);
    loop {
        let (first, length, close) = read_head(&mut reader)?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let mut parts = first.split(' ');
        let request = Request {
            method: parts.next()?.to_owned(),
            url: parts.next()?.to_owned(),
            body: String::from_utf8(body).ok()?,
        };
        let (status, text) = handle(request)?;
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            text.len()
        );
        out.write_all(format!("{head}{text}").as_bytes()).ok()?;
        if close {
            return None;
        }
    }
}

/// Reads the first line and the headers: the line, the length of the body, and whether the connection ends after it.
fn read_head(reader: &mut impl BufRead) -> Option<(String, usize, bool)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let (mut length, mut close) = (0, false);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), length, close));
        }
        let (name, value) = line.split_once(':')?;
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().ok()?,
            "connection" => close = value.trim().eq_ignore_ascii_case("close"),
            _ => {}
        }
    }
}

/// One request on a connection of its own; None if there was no complete answer in time.
pub fn call(addr: SocketAddr, method: &str, path: &str, body: &str, timeout: Duration) -> Answer {
    let start = Instant::now();
    // The load balancer turns to another node if one fails to accept within 0.5 s.
    let connection = TcpStream::connect_timeout(&addr, timeout.min(Duration::from_millis(500))).ok()?;
    let _ = connection.set_nodelay(true);
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    (&connection).write_all(text.as_bytes()).ok()?;
    read_answer(&mut BufReader::new(Deadline { connection, until: start + timeout }))
}

/// Reads from a connection until a moment.
struct Deadline {
    connection: TcpStream,
    until: Instant,
}

impl Read for Deadline {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        self.connection.set_read_timeout(Some(left))?;
        self.connection.read(buf)
    }
}

fn read_answer(reader: &mut impl BufRead) -> Answer {
    let (first, length, _) = read_head(reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8(body).ok()?))
}

pub fn query<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = url.split_once('?')?;
    query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}
