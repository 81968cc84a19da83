use super::scheduling_pass::{likely, note_run};
use super::*;
use crate::membership::EpochRecord;
use crate::peer::{
    DesiredState, InventoryState, MachineStatus, MachineStatusDelta, ObservedTask, TaskExit,
};
use crate::quota::QuotaLedger;

fn settings() -> Settings {
    let text = "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\n\
        state = \"10.0.0.9:2\"\n[settings]\n[[settings.teams]]\nname = \"t\"\n[settings.workers]\nreport_s = 3.0\n\
        lease_s = 18.0\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\n\
        write_rps = 15.0\nvalue_kb = 4.0\ntxn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
    Settings::parse("test", text).expect("valid")
}

pub(super) fn raw(kind: &str, tasks: u32, checkpoint: f64) -> Value {
    json!({"uid":"wk-1","breed":"b","herd":"t","gait":kind,"rank":"high","strides":tasks,"vcpus":2.0,
        "cards":0,"ramGb":1.0,"tack":"i","imageGb":1,"together":true,"scatter":false,"borrowed":true,
        "rideS":1,"restS":checkpoint,"unsaddleS":5.0})
}

pub(super) fn whole(
    m: &Membership,
    seq: u64,
    rev_seen: u64,
    machines: Vec<MachineStatus>,
) -> MachineStatusDelta {
    MachineStatusDelta { seq: (m.epoch << 32) + seq, since: 0, rev_seen, machines }
}

/// An owner of one job, and one machine with room as its home describes it.
pub(super) fn owner_of(raw: Value) -> (Membership, QuotaLedger, JobShard, MachineStatus) {
    let s = settings();
    let mut m = Membership::new(&s, 1);
    m.adopt(Micros(1), &EpochRecord { epoch: 1, members: vec![("c0".into(), 1)] }, 1);
    let teams = QuotaLedger::new(&s.teams);
    let mut owner = JobShard::new(&s);
    owner.adopt(&m, false);
    owner.load_done(std::iter::empty());
    owner.keep(Vec::new(), Vec::new());
    let spec = JobSpec::from_value(&raw).expect("valid");
    owner.insert(raw, spec, Micros(1), Ranges::default(), 1, true);
    let room = Resources { cpus: 8000, gpus: 0, memory: 9000 };
    let machine = MachineStatus {
        name: "i-1".into(),
        kind: "k".into(),
        zone: "z".into(),
        spot: true,
        standing: InventoryState::Known,
        open: true,
        notice: None,
        free: room,
        total: room,
        by_priority: Vec::new(),
        images: Vec::new(),
        busy: 0,
        idle: None,
        silent: None,
        tasks: Vec::new(),
    };
    (m, teams, owner, machine)
}

#[test]
fn what_can_save_is_stopped_with_grace_before_its_machine_is_taken() {
    for (checkpoint, stops) in [(10.0, true), (0.0, false)] {
        let (m, teams, mut owner, mut machine) = owner_of(raw("batch", 1, checkpoint));
        let now = Micros::from_millis(1000);
        owner.digest(now, &m, 0, whole(&m, 1, 0, vec![machine.clone()]));
        owner.plan(now, now, &m, &teams);
        let DesiredState { rev, list: wanted, .. } = owner.wanted(0, &m);
        assert_eq!(wanted[0].want, DesiredAction::Run);
        machine.tasks = vec![ObservedTask { key: wanted[0].key.clone(), phase: TaskPhase::Running }];
        machine.notice = Some(Micros::from_millis(9000));
        owner.digest(now, &m, 0, whole(&m, 2, rev, vec![machine]));
        owner.make_room(now, &m);
        // What stays as it was is not said again.
        let expected = stops.then_some(DesiredAction::Stop(Micros::from_millis(5000)));
        assert_eq!(owner.wanted(0, &m).list.first().map(|w| w.want), expected);
    }
}

/// The cost of a message to a home is that of what changed, not of all that runs there.
#[test]
fn a_home_hears_only_what_changed() {
    let (m, teams, mut owner, machine) = owner_of(raw("batch", 400, 0.0));
    let now = Micros::from_millis(1000);
    let fleet: Vec<MachineStatus> =
        (0..100).map(|i| MachineStatus { name: format!("i-{i}"), ..machine.clone() }).collect();
    owner.digest(now, &m, 0, whole(&m, 1, 0, fleet.clone()));
    owner.plan(now, now, &m, &teams);
    let first = owner.wanted(0, &m);
    assert_eq!(first.list.len(), 400);
    // Not yet seen by the home, so it is said again.
    assert_eq!(owner.wanted(0, &m).list.len(), 400);
    let seen = MachineStatusDelta {
        seq: (m.epoch << 32) + 2,
        since: 0,
        rev_seen: first.rev + 1,
        machines: Vec::new(),
    };
    let on = |d: &MachineStatus| {
        let here = first.list.iter().filter(|w| w.machine == d.name);
        MachineStatus { tasks: here.map(|w| running(&w.key)).collect(), ..d.clone() }
    };
    owner.digest(
        now,
        &m,
        0,
        MachineStatusDelta { machines: fleet.iter().map(on).collect(), ..seen.clone() },
    );
    assert!(owner.wanted(0, &m).list.is_empty());
    let mut one = on(&fleet[7]);
    one.tasks[0].phase = TaskPhase::Exited(TaskExit::Stopped(false));
    let change = MachineStatusDelta { seq: seen.seq + 1, since: seen.seq, machines: vec![one], ..seen };
    assert!(owner.digest(now, &m, 0, change));
    assert_eq!(owner.wanted(0, &m).list.len(), 1);
}

/// Found in an incident on sanaq-forms-grown: in a surge that no fleet could have carried, first come
/// first served made three jobs of four late.
#[test]
fn jobs_that_can_still_be_on_time_go_first_and_short_ones_before_long_ones() {
    let (m, teams, mut owner, _) = owner_of(raw("batch", 50, 0.0));
    owner.objectives = vec![Objective { kind: "finished".into(), class: "b".into(), within_s: 40.0 }];
    let mut add = |id: &str, tasks: u32, accepted_s: u64| {
        let mut r = raw("batch", tasks, 0.0);
        r["uid"] = json!(id);
        let spec = JobSpec::from_value(&r).expect("valid");
        owner.insert(r, spec, Micros::from_millis(accepted_s * 1000), Ranges::default(), 1, true);
    };
    add("wk-2", 9, 90);
    add("wk-3", 2, 58);
    let now = Micros::from_millis(100_000);
    // The first was accepted just after the time of day began.
    owner.jobs.get_mut("wk-1").expect("live").accepted_wall = Micros::from_millis(80_000);
    owner.plan(now, now, &m, &teams);
    assert_eq!(owner.order(), ["wk-2", "wk-1", "wk-3"], "the third can't be on time any more");
    owner.jobs.get_mut("wk-1").expect("live").spec.tasks = 9;
    assert_eq!(owner.order(), ["wk-1", "wk-2", "wk-3"], "by age while the queue is short");
    // Whatever is late goes behind, but what has waited for 45 s to begin is not overtaken for ever.
    owner.note_time(Micros::from_millis(104_000));
    assert_eq!(owner.order(), ["wk-3", "wk-1", "wk-2"]);
}

/// Seen on a day with GPUs: of a gang of 24 small tasks and one of four on GPUs came a shape of 24 on GPUs, which
/// nobody had asked for, and all GPU machines were kept for it while other work waited for them.
#[test]
fn two_unlike_gangs_do_not_make_a_third() {
    let (.., mut owner, _) = owner_of(raw("batch", 1, 0.0));
    let mut note = |tasks: u32, cpus: f64, gpus: f64| {
        let mut r = raw("group", tasks, 0.0);
        (r["vcpus"], r["cards"]) = (json!(cpus), json!(gpus));
        owner.note_shape(Micros(1), &JobSpec::from_value(&r).expect("valid"), Micros(0));
        owner.demands().iter().map(|d| (d.together, d.room.cpus / 1000)).collect::<Vec<_>>()
    };
    note(24, 15.0, 0.0);
    note(4, 96.0, 8.0);
    assert_eq!(note(12, 16.0, 0.0), [(24, 16), (4, 96)], "those that differ a little are one");
}

#[test]
fn guesses_are_corrected_by_what_was_seen() {
    let s = JobSpec::from_value(&json!({"uid":"wk-1","breed":"b","herd":"t","gait":"batch","rank":"idle",
        "strides":1,"vcpus":1.0,"cards":0,"ramGb":1.0,"tack":"i","imageGb":1,"together":false,"scatter":false,
        "borrowed":true,"rideS":40.0,"restS":0,"unsaddleS":0}))
    .expect("valid");
    let mut ran = BTreeMap::new();
    assert_eq!(likely(&ran, &s), s.estimate);
    for _ in 0..3 {
        note_run(&mut ran, &s, Micros::from_millis(20_000));
    }
    assert!(likely(&ran, &s) > Micros::from_millis(35_000), "a few tell little");
    for _ in 0..500 {
        note_run(&mut ran, &s, Micros::from_millis(20_000));
    }
    assert!(likely(&ran, &s) < Micros::from_millis(21_000));
}

pub(super) fn running(key: &TaskKey) -> ObservedTask {
    ObservedTask { key: key.clone(), phase: TaskPhase::Running }
}

#[test]
fn a_job_being_ended_starts_nothing() {
    let (m, teams, mut owner, machine) = owner_of(raw("batch", 3, 0.0));
    let now = Micros::from_millis(1000);
    owner.digest(now, &m, 0, whole(&m, 1, 0, vec![machine]));
    assert!(owner.cancel("wk-1"));
    owner.plan(now, now, &m, &teams);
    assert!(owner.wanted(0, &m).list.is_empty());
}

#[test]
fn a_task_waits_until_its_old_start_is_gone() {
    let (m, teams, mut owner, mut machine) = owner_of(raw("batch", 1, 0.0));
    let now = Micros::from_millis(1000);
    owner.digest(now, &m, 0, whole(&m, 1, 0, vec![machine.clone()]));
    owner.plan(now, now, &m, &teams);
    let DesiredState { rev, list: wanted, .. } = owner.wanted(0, &m);
    let old = TaskKey { attempt: 5, ..wanted[0].key.clone() };
    machine.tasks = vec![running(&old), running(&wanted[0].key)];
    owner.digest(now, &m, 0, whole(&m, 2, rev, vec![machine.clone()]));
    machine.tasks = vec![running(&old)];
    let other = MachineStatus { name: "i-2".into(), tasks: Vec::new(), ..machine.clone() };
    owner.digest(now, &m, 0, whole(&m, 3, rev, vec![machine, other]));
    let later = Micros::from_millis(9000);
    owner.plan(later, later, &m, &teams);
    let wanted = owner.wanted(0, &m).list;
    assert_eq!(wanted.len(), 1);
    assert_eq!((&wanted[0].key, wanted[0].want), (&old, DesiredAction::Stop(Micros(0))));
    // It counts towards its team's room all the while.
    assert_eq!(owner.in_use("wk-1", &owner.jobs["wk-1"]).cpus, 2000);
}

#[test]
fn a_completed_task_is_forgotten_only_once_that_is_on_record() {
    let (m, teams, mut owner, mut machine) = owner_of(raw("batch", 2, 0.0));
    let now = Micros::from_millis(1000);
    owner.digest(now, &m, 0, whole(&m, 1, 0, vec![machine.clone()]));
    owner.plan(now, now, &m, &teams);
    let DesiredState { rev, list: wanted, .. } = owner.wanted(0, &m);
    let done = ObservedTask { key: wanted[0].key.clone(), phase: TaskPhase::Exited(TaskExit::Done) };
    machine.tasks = vec![done, running(&wanted[1].key)];
    let want_of = |owner: &mut JobShard| {
        let list = owner.wanted(0, &m).list;
        list.iter().find(|w| w.key.index == 0).map(|w| w.want)
    };
    for seq in 2..5 {
        owner.digest(now, &m, 0, whole(&m, seq, rev, vec![machine.clone()]));
        assert_eq!(want_of(&mut owner), Some(DesiredAction::Keep));
    }
    let (id, write, _) = owner.next_write(now, false).expect("progress is due");
    let RecordWrite::Progress(_, kept) = write else { panic!("not an end") };
    owner.progress_written(now, &id, kept, 9);
    assert_eq!(want_of(&mut owner), Some(DesiredAction::Forget));
}

#[test]
fn a_new_epoch_leaves_starts_in_doubt_until_their_home_has_seen_them() {
    let (mut m, teams, mut owner, machine) = owner_of(raw("batch", 1, 0.0));
    let now = Micros::from_millis(1000);
    owner.digest(now, &m, 0, whole(&m, 1, 0, vec![machine.clone()]));
    owner.plan(now, now, &m, &teams);
    owner.wanted(0, &m);
    m.adopt(now, &EpochRecord { epoch: 2, members: vec![("c0".into(), 1)] }, 2);
    owner.adopt(&m, true);
    owner.load_done(std::iter::empty());
    // The home has not yet had our wishes of this epoch; whatever it has seen is of the last.
    owner.digest(now, &m, 0, whole(&m, 1, u64::MAX - 1, vec![machine.clone()]));
    assert_eq!(owner.counts().1, 1);
    let rev = owner.wanted(0, &m).rev;
    owner.digest(now, &m, 0, whole(&m, 2, rev, vec![machine]));
    assert_eq!(owner.counts().1, 0, "now its absence is an answer");
}

/// Found on sanaq-forms: a gang without places was taken for one being held, asked for machines
/// only every few seconds and lost the machines kept for it in between.
#[test]
fn a_gang_without_places_asks_for_room_at_every_pass() {
    let (m, teams, mut owner, _) = owner_of(raw("group", 2, 0.0));
    for i in 0..20 {
        let now = Micros::from_millis(1000 + i * 100);
        owner.plan(now, now, &m, &teams);
        let waiting: u32 = owner.demands().iter().map(|d| d.count).sum();
        assert_eq!(waiting, 2, "at pass {i}");
    }
}
