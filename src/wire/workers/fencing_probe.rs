//! A fencing probe: a `POST /do` without commands.

use serde_json::json;

/// The body that tells a worker the fencing token, if it is of this incarnation.
#[must_use]
pub fn body(fencing_token: u64, incarnation: u64) -> String {
    json!({"rein": fencing_token, "ride": incarnation, "calls": []}).to_string()
}
