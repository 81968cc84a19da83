use super::*;
use std::collections::VecDeque;

/// A connection that brings these pieces, one with each read, then nothing, and records what is written.
struct Script {
    pieces: VecDeque<Vec<u8>>,
    has_ended: bool,
    written: Vec<u8>,
}

impl Read for Script {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        match self.pieces.pop_front() {
            Some(piece) => {
                buffer[..piece.len()].copy_from_slice(&piece);
                Ok(piece.len())
            }
            None if self.has_ended => Ok(0),
            None => Err(ErrorKind::WouldBlock.into()),
        }
    }
}

impl Write for Script {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.written.extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

const MAX_BODY_BYTES: usize = 100;

fn reader(pieces: &[&str]) -> RequestReader<Script> {
    let pieces = pieces.iter().map(|piece| piece.as_bytes().to_vec()).collect();
    RequestReader::new(Script { pieces, has_ended: true, written: Vec::new() }, MAX_BODY_BYTES)
}

fn next(reader: &mut RequestReader<Script>) -> Request {
    match reader.next() {
        Ok(Incoming::Request(request)) => request,
        other => panic!("not a request: {other:?}"),
    }
}

fn error(text: &str) -> RequestError {
    reader(&[text]).next().expect_err("refused")
}

#[test]
fn requests_are_found_however_their_bytes_are_split() {
    let text = "POST /a?b=1 HTTP/1.1\r\nhost: x\r\nContent-Length: 4\r\n\r\nbodyGET /c HTTP/1.1\r\n\r\n";
    for split in 1..text.len() {
        let mut reader = reader(&[&text[..split], &text[split..]]);
        let first = next(&mut reader);
        assert_eq!((first.method.as_str(), first.target.as_str()), ("POST", "/a?b=1"));
        assert_eq!(first.body, b"body");
        assert_eq!(first.header("HOST"), Some("x"));
        assert!(!first.is_last());
        let second = next(&mut reader);
        assert_eq!((second.method.as_str(), second.target.as_str()), ("GET", "/c"));
        assert_eq!(second.body, b"");
        assert_eq!(reader.next(), Err(RequestError::Disconnected));
    }
}

#[test]
fn chunked_bodies_are_joined_and_their_trailer_is_dropped() {
    let text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n10;x=y\r\n0123456789abcdef\r\n\
        0\r\nTrailer: t\r\n\r\nGET /next HTTP/1.1\r\n\r\n";
    for split in 1..text.len() {
        let mut reader = reader(&[&text[..split], &text[split..]]);
        assert_eq!(next(&mut reader).body, b"abc0123456789abcdef");
        assert_eq!(next(&mut reader).target, "/next");
    }
}

#[test]
fn last_request_of_a_connection_is_known() {
    let is_last = |text: &str| next(&mut reader(&[text])).is_last();
    assert!(is_last("GET / HTTP/1.1\r\nConnection: Close\r\n\r\n"));
    assert!(is_last("GET / HTTP/1.1\r\nConnection: x, close\r\n\r\n"));
    assert!(is_last("GET / HTTP/1.0\r\n\r\n"));
    assert!(!is_last("GET / HTTP/1.1\r\nConnection: keep-alive\r\n\r\n"));
}

#[test]
fn what_is_no_request_or_is_too_long_is_refused() {
    let header = |header: &str| error(&format!("POST / HTTP/1.1\r\n{header}\r\n\r\n"));
    assert_eq!(error("nonsense\r\n\r\n"), RequestError::Malformed);
    assert_eq!(header("Content-Length: x"), RequestError::Malformed);
    assert_eq!(header("Content-Length: -1"), RequestError::Malformed);
    assert_eq!(header("Content-Length: 3\r\nTransfer-Encoding: chunked"), RequestError::Malformed);
    assert_eq!(header("Content-Length: 101"), RequestError::BodyTooLong);
    assert_eq!(header("Transfer-Encoding: gzip"), RequestError::UnknownCoding);
    let chunked = |body: &str| error(&format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{body}"));
    assert_eq!(chunked("x\r\n"), RequestError::Malformed);
    assert_eq!(chunked("65\r\n"), RequestError::BodyTooLong);
    assert_eq!(chunked("ffffffffffffffff\r\n"), RequestError::BodyTooLong);
    assert_eq!(chunked("1\r\nab\r\n"), RequestError::Malformed);
    let headers = "a: b\r\n".repeat(MAX_HEADERS + 1);
    assert_eq!(error(&format!("GET / HTTP/1.1\r\n{headers}\r\n")), RequestError::HeadTooLong);
    let long = "a".repeat(1000);
    let pieces: Vec<&str> = std::iter::once("GET /").chain(std::iter::repeat_n(long.as_str(), 20)).collect();
    assert_eq!(reader(&pieces).next(), Err(RequestError::HeadTooLong));
}

#[test]
fn client_that_waits_for_leave_to_send_its_body_gets_it() {
    let mut reader = reader(&["POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", "ab"]);
    assert_eq!(next(&mut reader).body, b"ab");
    assert_eq!(reader.stream.written, CONTINUE);
}

#[test]
fn silent_connection_brings_nothing_and_is_no_error() {
    let mut reader = reader(&[]);
    reader.stream.has_ended = false;
    assert_eq!(reader.next(), Ok(Incoming::Nothing));
}
