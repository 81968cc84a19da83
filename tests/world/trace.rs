//! Records the effects of the controllers, to check that a refactoring changes no behaviour: one line for each effect
//! that a controller requests and that is carried out, with a hash of its bytes on the wire.
//!
//! A line is `TIME CONTROLLER KIND HASH`: simulated time in microseconds, the controller's number, the kind of effect
//! and sixteen hexadecimal digits. No line depends on the names of types, fields or variants in the sources, so these
//! may change: requests are hashed as the clients of `src/store.rs`, `src/fleet.rs` and `src/api.rs` encode them for
//! HTTP.

use super::*;
use hazelsaddle::autoscaler::ScaleOut;
use std::fmt::Write as _;
use twox_hash::XxHash64;

/// The recorded effects of a world's controllers. Recording is off unless a test switches it on.
#[derive(Default)]
pub(crate) struct Trace {
    /// The lines, each with its newline.
    text: String,
}

impl Trace {
    /// Records one effect carried out at a simulated time.
    pub(crate) fn note(&mut self, now: u64, controller: usize, effect: &Effect) {
        let (kind, bytes) = wire(effect);
        let hash = XxHash64::oneshot(0, &bytes);
        writeln!(self.text, "{now} {controller} {kind} {hash:016x}")
            .expect("writing to a string cannot fail");
    }

    /// All lines recorded so far.
    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    /// The number of lines with this kind.
    pub(crate) fn count(&self, kind: &str) -> usize {
        self.text.lines().filter(|line| line.split(' ').nth(2) == Some(kind)).count()
    }

    /// A hash of all lines.
    pub(crate) fn digest(&self) -> u64 {
        XxHash64::oneshot(0, self.text.as_bytes())
    }
}

/// The kinds of effect as written in the lines.
pub(crate) const KINDS: [&str; 6] = ["reply", "frame", "store", "cloud", "probe", "greet"];

/// The kind of an effect and the bytes that leave the process, preceded by the controller's internal ticket or
/// request number.
fn wire(effect: &Effect) -> (&'static str, Vec<u8>) {
    match effect {
        Effect::Reply { ticket, reply } => {
            let retry_after = reply.retry_after.map(|s| format!("Retry-After: {s}\n")).unwrap_or_default();
            let head = format!("{ticket}\n{}\nContent-Type: application/json\n{retry_after}\n", reply.status);
            (KINDS[0], [head.as_bytes(), reply.body.as_bytes()].concat())
        }
        Effect::Send { to: peer, frame } => {
            let bytes = frame.encode().expect("frames can be encoded");
            (KINDS[1], [format!("{peer}\n").as_bytes(), &bytes].concat())
        }
        Effect::Store { id, request, lane } => (
            KINDS[2],
            format!("{id} {}\n{}", u8::from(*lane == StoreLane::Membership), store_request(request))
                .into_bytes(),
        ),
        Effect::Cloud(request) => (KINDS[3], cloud_request(request).into_bytes()),
        Effect::Probe(addresses) => (KINDS[4], joined(addresses).into_bytes()),
        Effect::FencingProbe { epoch: token, probes: list } => {
            let one = |probe: &FencingProbe| {
                let body = json!({"rein": token, "ride": probe.incarnation, "calls": []});
                joined(&[probe.machine.clone(), format!("POST http://{}/do\n{body}", probe.addr)])
            };
            (KINDS[5], list.iter().map(one).collect::<String>().into_bytes())
        }
    }
}

/// Concatenates texts, each prefixed with its length, so that different lists give different results.
fn joined<T: AsRef<str>>(texts: &[T]) -> String {
    texts.iter().map(|text| format!("{}:{}\n", text.as_ref().len(), text.as_ref())).collect()
}

/// A request to the state store: method, path and body as its client sends them.
fn store_request(request: &StoreRequest) -> String {
    match request {
        StoreRequest::Get(key) => format!("GET /store/{key}\n"),
        StoreRequest::List(prefix, after) if after.is_empty() => {
            format!("GET /store?prefix={prefix}&limit=200\n")
        }
        StoreRequest::List(prefix, after) => format!("GET /store?prefix={prefix}&limit=200&after={after}\n"),
        StoreRequest::Transaction(commit) => format!("POST /commit\n{}", commit_body(commit)),
        StoreRequest::Grant(ms) => format!("POST /grants\n{}", json!({ "lifeMs": ms })),
        StoreRequest::Renew(id) => format!("POST /grants/{id}/renew\n{{}}"),
        StoreRequest::Revision => "GET /store?prefix=ring/epoch&limit=1\n".into(),
        // The client's request timeout depends on the wait in µs; the path has milliseconds only.
        StoreRequest::Watch(prefix, after, wait) => {
            format!("GET /changes?prefix={prefix}&after={after}&waitMs={}\n{}", wait.0 / 1000, wait.0)
        }
    }
}

/// The body of a transaction.
fn commit_body(commit: &Transaction) -> String {
    let conditions: Vec<Value> = commit
        .conditions
        .iter()
        .map(|(key, store_version)| json!({"k": key, "mark": store_version}))
        .collect();
    let puts = commit.puts.iter().map(|(key, value, lease)| match lease {
        Some(lease) => json!({"write": key, "v": value, "tether": lease}),
        None => json!({"write": key, "v": value}),
    });
    let writes: Vec<Value> = puts.chain(commit.deletes.iter().map(|key| json!({"drop": key}))).collect();
    json!({"if": conditions, "writes": writes}).to_string()
}

/// A request to the cloud: method, path and body as its client sends them.
fn cloud_request(request: &CloudRequest) -> String {
    match request {
        CloudRequest::MachineTypes => "GET /flavors\n".into(),
        CloudRequest::List(after) if after.is_empty() => "GET /rentals?limit=500\n".into(),
        CloudRequest::List(after) => format!("GET /rentals?after={after}&limit=500\n"),
        CloudRequest::ScaleOut(ScaleOut { name, machine_type: kind, zone, spot, count }) => {
            let body =
                json!({"hire": name, "stallKind": kind, "paddock": zone, "borrowed": spot, "count": count});
            format!("POST /rentals\n{body}")
        }
        CloudRequest::ScaleIn(names) => format!("POST /rentals/return\n{}", json!({ "stalls": names })),
    }
}
