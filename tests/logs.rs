//! The command line for logs, against log stores over loopback.

use hazelsaddle_logs::chunk::Kind;
use hazelsaddle_logs::client::Client;
use hazelsaddle_logs::config::{StoreConfig, sample};
use hazelsaddle_logs::key::AttemptKey;
use hazelsaddle_logs::members::{List, Member};
use hazelsaddle_logs::serve::{self, Running};
use hazelsaddle_logs::shipper::{Shipper, options};
use hazelsaddle_logs::spool::Policy;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

fn start_stores(folder: &std::path::Path) -> Vec<Running> {
    let start = |i: usize| {
        let mut text = sample()
            .replace("store-0\n", &format!("s{i}\n"))
            .replace("/var/lib/hazelsaddle/", &format!("{}/", folder.display()));
        for port in ["7101", "7102", "7103"] {
            text = text.replace(&format!("127.0.0.1:{port}"), "127.0.0.1:0");
        }
        serve::start(StoreConfig::parse("test", &text).expect("valid")).expect("it starts")
    };
    let all: Vec<Running> = (0..3).map(start).collect();
    let member = |(i, s): (usize, &Running)| Member {
        name: format!("s{i}"),
        zone: String::new(),
        link: s.link.to_string(),
        peer: s.peer.to_string(),
        http: s.http.to_string(),
        leaving: false,
    };
    let list = List { version: 2, members: all.iter().enumerate().map(member).collect() };
    let body = serde_json::to_string(&list).expect("JSON");
    for s in &all {
        ureq::put(&format!("http://{}/v1/members", s.http)).send_string(&body).expect("taken");
    }
    all
}

fn command(addresses: &str, args: &[&str]) -> Command {
    let mut c = Command::new(env!("CARGO_BIN_EXE_hazelsaddle"));
    c.args(args).env("HAZELSADDLE_STORES", addresses).stdin(Stdio::null());
    c
}

fn run_command(addresses: &str, args: &[&str]) -> (String, Option<i32>) {
    let Output { stdout, status, .. } = command(addresses, args).output().expect("it runs");
    (String::from_utf8(stdout).expect("text"), status.code())
}

/// A task is drained and continues elsewhere as another attempt, and the store that is followed fails in between.
/// Each line is shown once, and following ends when the task is done.
#[test]
fn following_continues_over_a_new_attempt_and_a_store_failure() {
    let folder = std::env::temp_dir().join(format!("hazelsaddle-logs-{}", std::process::id()));
    let mut all = start_stores(&folder);
    let addresses = all.iter().map(|s| s.http.to_string()).collect::<Vec<_>>().join(",");
    let client = Client::new(all.iter().map(|s| s.link).collect());
    let attempt = |n| {
        let of = AttemptKey::new("wk-000007", 0, n).expect("valid");
        Shipper::start(client.clone(), options(of, "t", Policy::Block))
    };
    let first = attempt(1);
    first.write(Kind::Out, b"a0\na1\n");
    let follow = command(&addresses, &["logs", "wk-000007/0", "--follow"]).stdout(Stdio::piped()).spawn();
    let follow = follow.expect("it runs");
    std::thread::sleep(Duration::from_millis(500));
    all.remove(0).stop();
    first.write(Kind::Err, b"a2\n");
    assert!(first.close("drained", Duration::from_secs(60)).through);
    let second = attempt(2);
    for n in 0..50 {
        second.write(Kind::Out, format!("b{n}\n").as_bytes());
    }
    assert!(second.close("done", Duration::from_secs(60)).through);
    let seen = follow.wait_with_output().expect("it ends when the task is done");
    let expected: String =
        ["a0\na1\na2\n".to_owned()].into_iter().chain((0..50).map(|n| format!("b{n}\n"))).collect();
    assert_eq!((String::from_utf8(seen.stdout).expect("text"), seen.status.code()), (expected, Some(0)));

    // The remaining queries, to the two stores that are left.
    let run_logs = |args: &[&str]| run_command(&addresses, &[&["logs"], args].concat());
    assert_eq!(run_logs(&["wk-000007/0", "--attempt", "1"]), ("a0\na1\na2\n".into(), Some(0)));
    assert_eq!(run_logs(&["wk-000007", "--tail", "1"]), ("wk-000007/0/2 | b49\n".into(), Some(0)));
    assert_eq!(run_logs(&["wk-000007/0", "--grep", "^b1$"]), ("b1\n".into(), Some(0)));
    assert_eq!(run_logs(&["wk-000007/0", "--since", "1h", "--grep", "b7"]), ("b7\n".into(), Some(0)));
    assert_eq!(run_logs(&["wk-000007/0", "--since", "2999-01-01T00:00:00Z"]), (String::new(), Some(0)));
    let json: serde_json::Value =
        serde_json::from_str(&run_logs(&["wk-000007/0", "--tail", "1", "--json"]).0).expect("JSON");
    assert_eq!(
        (&json["attempt"], &json["text"], &json["stream"]),
        (&2.into(), &"b49".into(), &"stdout".into())
    );
    for (args, code) in [
        (&["wk-000008"][..], 3),
        (&["wk-000007/0", "--attempt", "9"], 3),
        (&["wk-000007", "--grep", "("], 2),
        (&["wk-000007", "--since", "noon"], 2),
        (&["../x"], 2),
        (&["--search", "absentword"], 3),
    ] {
        assert_eq!(run_logs(args).1, Some(code), "{args:?}");
    }
    assert_eq!(run_command("127.0.0.1:1", &["logs", "wk-000007"]).1, Some(1), "no store answers");
    all.into_iter().for_each(Running::stop);
    let _ = std::fs::remove_dir_all(&folder);
}
