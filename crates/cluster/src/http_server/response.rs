//! Responses and their encoding.

use std::fmt::Write as _;

/// A response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Headers beside those that describe the body's length and the connection. Values must not contain line breaks.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// An error response whose JSON body names the reason. The reason must need no escaping in JSON.
    pub(super) fn error(status: u16, reason: &str) -> Response {
        Response {
            status,
            headers: vec![("Content-Type", "application/json".into())],
            body: format!("{{\"error\":\"{reason}\"}}").into_bytes(),
        }
    }

    /// The bytes on the wire. `has_body` is false for the response to a HEAD request, which only states the length.
    pub(super) fn encode(&self, is_last: bool, has_body: bool) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        for (name, value) in &self.headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        let _ = write!(head, "Content-Length: {}\r\n", self.body.len());
        if is_last {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        if has_body {
            bytes.extend_from_slice(&self.body);
        }
        bytes
    }
}

/// The standard phrase of the status codes in use; clients ignore it.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        206 => "Partial Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        416 => "Range Not Satisfiable",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Unknown",
    }
}
