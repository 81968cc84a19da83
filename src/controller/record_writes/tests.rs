//! Tests of the reads of quota records.

use super::super::handoff::tests::test_controller;
use super::*;
use crate::config::settings::TeamSettings;

/// Guards against an allocation from before the jobs' leaders changed: the answer to a read that was sent in an earlier
/// epoch arrives in the new one.
#[test]
fn quota_record_read_in_an_earlier_epoch_is_ignored() {
    let mut controller = test_controller();
    let team = TeamSettings { name: "t".into(), cpus: 0.0, cpus_max: 10.0, gpus: 0.0, gpus_max: 0.0 };
    controller.quota = QuotaLedger::new(&[team]);
    let row = KeyValue { key: "team/t".into(), value: json!({"a": [5000, 0]}), store_version: 4 };
    let answer = StoreAnswer::Got(Some(row));
    let epoch = controller.membership.epoch;
    controller.apply_quota_record("t", epoch - 1, &answer);
    assert_eq!(controller.quota.usable("t", "a").cpus, 0);
    controller.apply_quota_record("t", epoch, &answer);
    assert_eq!(controller.quota.usable("t", "a").cpus, 5000);
}
