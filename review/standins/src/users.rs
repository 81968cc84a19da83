//! Users: PROTOCOL, "Users -> controller nodes".

use crate::http::{self, Answer};
use crate::json::Json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Users {
    pub nodes: Vec<(String, SocketAddr)>,
}

/// A submission, with the fields that differ between the jobs of a case.
pub struct Job<'a> {
    pub uid: &'a str,
    pub breed: &'a str,
    pub herd: &'a str,
    pub gait: &'a str,
    pub strides: u32,
    pub vcpus: f64,
    pub follows: &'a [String],
}

impl Job<'_> {
    pub fn body(&self) -> String {
        let Job { uid, breed, herd, gait, strides, vcpus, .. } = self;
        let follows = match self.follows.is_empty() {
            true => String::new(),
            false => format!(r#","follows":["{}"]"#, self.follows.join("\",\"")),
        };
        format!(
            r#"{{"uid":"{uid}","breed":"{breed}","herd":"{herd}","gait":"{gait}","rank":"idle","strides":{strides},"vcpus":{vcpus:.1},"cards":0.0,"ramGb":1.5,"tack":"img-01","imageGb":0.2,"breedsOfStall":null,"paddock":null,"together":false,"scatter":false,"borrowed":true,"rideS":30.0,"restS":0.0,"unsaddleS":0.0,"dueS":null{follows}}}"#
        )
    }
}

impl Users {
    /// One request at one node.
    pub fn at(&self, node: usize, method: &str, path: &str, body: &str, timeout: f64) -> Answer {
        let answer = http::call(self.nodes[node].1, method, path, body, Duration::from_secs_f64(timeout));
        let text =
            answer.as_ref().map_or("no answer".to_owned(), |(status, text)| format!("{status} {text}"));
        crate::note!("user {} {method} {path}: {text}", self.nodes[node].0);
        answer
    }

    /// A submission or a cancellation, repeated for up to 60 s as the protocol says; the final answer.
    pub fn repeat(&self, first: usize, path: &str, body: &str) -> Answer {
        let start = Instant::now();
        let mut node = first;
        loop {
            let answer = self.at(node, "POST", path, body, 5.0);
            match answer {
                Some((200 | 201 | 400 | 404 | 422, _)) => return answer,
                _ if start.elapsed() > Duration::from_secs(60) => return None,
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
            node = (node + 1) % self.nodes.len();
        }
    }

    pub fn submit(&self, first: usize, job: &Job) -> bool {
        matches!(self.repeat(first, "/v1/jobs", &job.body()), Some((200 | 201, _)))
    }

    /// Cancels a job; the stance in the answer.
    pub fn withdraw(&self, first: usize, uid: &str) -> Option<String> {
        let (status, text) = self.repeat(first, &format!("/v1/jobs/{uid}/withdraw"), "")?;
        (status == 200).then(|| Json::parse(&text)?.field_str("stance").map(str::to_owned))?
    }

    /// Asks about a job: the status, and the stance if it is 200.
    pub fn poll(&self, node: usize, uid: &str) -> Option<(u16, String)> {
        let (status, text) = self.at(node, "GET", &format!("/v1/jobs/{uid}"), "", 2.0)?;
        let stance = Json::parse(&text).and_then(|b| b.field_str("stance").map(str::to_owned));
        Some((status, stance.unwrap_or_default()))
    }

    /// Waits until all nodes are ready.
    pub fn wait_ready(&self, seconds: f64) -> bool {
        let start = Instant::now();
        while start.elapsed().as_secs_f64() < seconds {
            let ready = |(_, addr): &(String, SocketAddr)| {
                matches!(http::call(*addr, "GET", "/ready", "", Duration::from_secs(1)), Some((200, _)))
            };
            if self.nodes.iter().all(ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        false
    }
}
