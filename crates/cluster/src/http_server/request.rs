//! Reads requests from a connection. The syntax of heads and chunk sizes is `httparse`'s; this module finds where a
//! request ends (RFC 9112, "Message Body Length") and limits its size and the time that it may take to arrive.

use std::io::{ErrorKind, Read, Write};
use std::time::{Duration, Instant};

/// Longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Most headers of a request.
const MAX_HEADERS: usize = 64;
/// Time within which a whole request must arrive, from its first byte on.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Fewest and most bytes read at a time: few while a head is awaited, since each open connection holds that buffer.
const READ_BYTES: std::ops::RangeInclusive<usize> = (2 << 10)..=(64 << 10);
/// What a client that sends `Expect: 100-continue` waits for.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path and the query.
    pub target: String,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
    headers: Vec<(String, String)>,
    is_last: bool,
}

impl Request {
    /// The value of the first header of this name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let is_named = |header: &&(String, String)| header.0.eq_ignore_ascii_case(name);
        self.headers.iter().find(is_named).map(|(_, value)| value.as_str())
    }

    /// Whether the client expects no further response on the connection.
    pub(super) fn is_last(&self) -> bool {
        self.is_last
    }

    fn has_token(&self, name: &str, token: &str) -> bool {
        let tokens = self.header(name).unwrap_or("").split(',');
        tokens.map(str::trim).any(|listed| listed.eq_ignore_ascii_case(token))
    }

    fn body_framing(&self) -> Result<BodyFraming, RequestError> {
        match (self.header("Transfer-Encoding"), self.header("Content-Length")) {
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(BodyFraming::Chunked),
            (Some(_), None) => Err(RequestError::UnknownCoding),
            (Some(_), Some(_)) => Err(RequestError::Malformed),
            (None, None) => Ok(BodyFraming::Length(0)),
            (None, Some(length)) => {
                length.trim().parse().map(BodyFraming::Length).map_err(|_| RequestError::Malformed)
            }
        }
    }
}

/// How the end of a body is found.
#[derive(Clone, Copy)]
enum BodyFraming {
    Length(usize),
    Chunked,
}

/// Why no request can be read from a connection any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestError {
    /// The client has closed the connection, or it has failed.
    #[error("the connection has ended")]
    Disconnected,
    /// Part of a request arrived, and the rest did not in time.
    #[error("the request did not arrive in time")]
    TimedOut,
    /// The bytes are no HTTP request.
    #[error("the request is malformed")]
    Malformed,
    /// The head is too long.
    #[error("the head is too long")]
    HeadTooLong,
    /// The body is too long.
    #[error("the body is too long")]
    BodyTooLong,
    /// The body is in a coding other than `chunked`.
    #[error("the transfer coding is not supported")]
    UnknownCoding,
}

impl RequestError {
    /// The status of the response to the client; None if nobody is there to get one.
    pub(super) fn status(self) -> Option<u16> {
        match self {
            RequestError::Disconnected => None,
            RequestError::TimedOut => Some(408),
            RequestError::Malformed => Some(400),
            RequestError::HeadTooLong => Some(431),
            RequestError::BodyTooLong => Some(413),
            RequestError::UnknownCoding => Some(501),
        }
    }
}

/// What a connection brought.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Incoming {
    /// A whole request.
    Request(Request),
    /// Nothing within the stream's read timeout.
    Nothing,
}

/// Reads one request after another. The stream must have a read timeout, since the time limits are checked after reads.
pub(super) struct RequestReader<S> {
    stream: S,
    max_body_bytes: usize,
    /// Bytes read that belong to no request returned so far.
    buffer: Vec<u8>,
    /// When the first byte of the present request arrived.
    begun: Option<Instant>,
}

impl<S: Read + Write> RequestReader<S> {
    pub(super) fn new(stream: S, max_body_bytes: usize) -> RequestReader<S> {
        RequestReader { stream, max_body_bytes, buffer: Vec::new(), begun: None }
    }

    /// The next request.
    pub(super) fn next(&mut self) -> Result<Incoming, RequestError> {
        let (mut request, head_bytes) = loop {
            if let Some(head) = parse_head(&self.buffer)? {
                break head;
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(RequestError::HeadTooLong);
            }
            if !self.fill(0)? && self.buffer.is_empty() {
                return Ok(Incoming::Nothing);
            }
        };
        self.buffer.drain(..head_bytes);
        request.is_last |= request.has_token("Connection", "close");
        let framing = request.body_framing()?;
        if matches!(framing, BodyFraming::Length(length) if length > self.max_body_bytes) {
            return Err(RequestError::BodyTooLong);
        }
        if request.has_token("Expect", "100-continue") {
            self.stream.write_all(CONTINUE).map_err(|_| RequestError::Disconnected)?;
        }
        request.body = match framing {
            BodyFraming::Length(length) => self.take(length)?,
            BodyFraming::Chunked => self.read_chunks()?,
        };
        self.begun = (!self.buffer.is_empty()).then(Instant::now);
        Ok(Incoming::Request(request))
    }

    /// Reads what has arrived into the buffer, of which `wanted` bytes are of use. Returns false if nothing has arrived
    /// within the stream's read timeout.
    fn fill(&mut self, wanted: usize) -> Result<bool, RequestError> {
        let held = self.buffer.len();
        self.buffer.resize(held + wanted.clamp(*READ_BYTES.start(), *READ_BYTES.end()), 0);
        let result = self.stream.read(&mut self.buffer[held..]);
        self.buffer.truncate(held + result.as_ref().copied().unwrap_or(0));
        let count = match result {
            Ok(0) => return Err(RequestError::Disconnected),
            Ok(count) => count,
            Err(error) => match error.kind() {
                ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted => 0,
                _ => return Err(RequestError::Disconnected),
            },
        };
        if count > 0 && self.begun.is_none() {
            self.begun = Some(Instant::now());
        }
        if self.begun.is_some_and(|begun| begun.elapsed() >= REQUEST_TIMEOUT) {
            return Err(RequestError::TimedOut);
        }
        Ok(count > 0)
    }

    /// Takes the next `count` bytes from the buffer, after they have arrived.
    fn take(&mut self, count: usize) -> Result<Vec<u8>, RequestError> {
        while self.buffer.len() < count {
            self.fill(count - self.buffer.len())?;
        }
        let rest = self.buffer.split_off(count);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    /// Reads a body in the coding `chunked`, with its trailer, which is dropped.
    fn read_chunks(&mut self) -> Result<Vec<u8>, RequestError> {
        let mut body = Vec::new();
        loop {
            let (line_bytes, chunk_bytes) = loop {
                match httparse::parse_chunk_size(&self.buffer) {
                    Ok(httparse::Status::Complete((line, size))) => break (line, size),
                    Ok(httparse::Status::Partial) if self.buffer.len() <= MAX_HEAD_BYTES => self.fill(0)?,
                    _ => return Err(RequestError::Malformed),
                };
            };
            self.take(line_bytes)?;
            if chunk_bytes == 0 {
                self.skip_trailer()?;
                return Ok(body);
            }
            let left = self.max_body_bytes - body.len();
            let Some(chunk_bytes) = usize::try_from(chunk_bytes).ok().filter(|&size| size <= left) else {
                return Err(RequestError::BodyTooLong);
            };
            body.extend(self.take(chunk_bytes)?);
            if self.take(2)? != b"\r\n" {
                return Err(RequestError::Malformed);
            }
        }
    }

    /// Skips the lines after the last chunk up to an empty one.
    fn skip_trailer(&mut self) -> Result<(), RequestError> {
        let mut skipped = 0;
        loop {
            let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") else {
                if skipped + self.buffer.len() > MAX_HEAD_BYTES {
                    return Err(RequestError::HeadTooLong);
                }
                self.fill(0)?;
                continue;
            };
            self.take(end + 2)?;
            skipped += end + 2;
            if end == 0 {
                return Ok(());
            }
            if skipped > MAX_HEAD_BYTES {
                return Err(RequestError::HeadTooLong);
            }
        }
    }
}

/// Parses a request's head, and tells its length; None while it is incomplete. A client of HTTP/1.0 gets one response.
fn parse_head(bytes: &[u8]) -> Result<Option<(Request, usize)>, RequestError> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(RequestError::HeadTooLong),
        Err(_) => return Err(RequestError::Malformed),
    };
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let request = Request {
        method: head.method.unwrap_or_default().to_owned(),
        target: head.path.unwrap_or_default().to_owned(),
        body: Vec::new(),
        headers: head.headers.iter().map(|header| (header.name.to_owned(), text(header.value))).collect(),
        is_last: head.version == Some(0),
    };
    Ok(Some((request, length)))
}

#[cfg(test)]
mod tests;
