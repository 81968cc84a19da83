//! One small experiment with real processes, as anybody can run it. What it asserts does not depend on how fast the
//! machine is: a slow one only takes longer.

use std::process::Command;

#[test]
fn the_experiment_on_logs_loses_doubles_and_mixes_nothing() {
    let out = Command::new(env!("CARGO_BIN_EXE_hazelsaddle-testbed"))
        .args(["experiment", "logs", "--seed", "5", "--workers", "4", "--kills", "3", "--drains", "1"])
        .args(["--mib", "0", "--json"])
        .output()
        .expect("it runs");
    let text = String::from_utf8_lossy(&out.stdout);
    let last = text.lines().last().unwrap_or("");
    let v: serde_json::Value = serde_json::from_str(last).expect("the last line is JSON");
    for key in ["lost_unmarked", "duplicated", "mixed_attempts", "stalls_unreported"] {
        assert_eq!(v[key], 0, "{v}\n{}", String::from_utf8_lossy(&out.stderr));
    }
    assert_eq!(v["files_put"], v["files_intact"], "{v}");
    assert!(v["lines_recovered"].as_u64() > Some(100) && v["attempts"].as_u64() > Some(3), "{v}");
}

#[test]
fn wrong_arguments_end_with_2_and_say_why() {
    for args in [&["experiment", "logs"][..], &["experiment", "logs", "--seed", "x"], &["up", "now"]] {
        let out =
            Command::new(env!("CARGO_BIN_EXE_hazelsaddle-testbed")).args(args).output().expect("it runs");
        assert_eq!(out.status.code(), Some(2), "{args:?}");
        assert!(!out.stderr.is_empty());
    }
}
