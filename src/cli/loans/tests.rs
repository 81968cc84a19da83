use super::*;
use serde_json::json;

#[test]
fn loans_are_formatted_as_text() {
    assert_eq!(format_loans(&Value::Null), "loans are not switched on\n");
    let loan = json!({"id": 3, "state": "held", "lender": "vision", "gpus": 4.0, "from": "wk-9", "machine": "i-1",
        "borrower": "serve", "job": "wk-1", "for_s": 12, "due_back": "with the replica"});
    let status = json!({"on": true, "read": true, "loans": [loan], "unreadable": {"chat": "fence"}});
    assert_eq!(
        format_loans(&status),
        "3 held: vision lends 4.0 GPUs of wk-9 on i-1 to serve for wk-1, 12 s; due back with the replica\n\
         the ledger of chat can't be read, nothing is lent meanwhile: fence\n"
    );
    assert_eq!(format_loans(&json!({"on": true, "read": true, "loans": []})), "nothing is lent\n");
}
