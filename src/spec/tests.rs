use super::*;
use serde_json::{Value, json};

fn body() -> Value {
    json!({"uid":"wk-000412","breed":"train","herd":"vision","gait":"group","rank":"high","strides":16,
        "vcpus":8.0,"cards":1.0,"ramGb":64.0,"tack":"img-07","imageGb":6.2,"breedsOfStall":["g8"],
        "paddock":null,"together":true,"scatter":false,"borrowed":true,"rideS":240.0,"restS":30.0,
        "unsaddleS":4.0,"dueS":900.0})
}

#[test]
fn jobs_that_can_never_run_are_told_so() {
    let g8 = MachineType {
        name: "g8".into(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        price: 1.0,
        spot_price: 1.0,
        boot_s: 1.0,
        zones: vec!["a".into()],
    };
    let types: MachineTypes = [("g8".to_owned(), g8)].into();
    let mut team = TeamSettings { name: "vision".into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 };
    let spec = JobSpec::from_value(&body()).unwrap();
    assert_eq!(spec.check(&types, std::slice::from_ref(&team)), Ok(()));
    team.gpus_max = 15.0;
    assert!(spec.check(&types, std::slice::from_ref(&team)).is_err(), "gang of 16 over a limit of 15");
    let array = JobSpec { kind: JobKind::Array, ..spec.clone() };
    assert_eq!(array.check(&types, std::slice::from_ref(&team)), Ok(()));
    assert!(array.check(&types, &[]).is_err(), "unknown team");
    let big = JobSpec { resources_per_task: Resources::rounded_up(97.0, 0.0, 1.0), ..array.clone() };
    assert!(big.check(&types, std::slice::from_ref(&team)).is_err());
    let elsewhere = JobSpec { zone: Some("b".into()), ..array };
    assert!(elsewhere.check(&types, &[team]).is_err());
}
