//! How a controller stands, for operators: the body of `/status`.

use super::*;
use crate::units::Resources;

impl Controller {
    /// How things stand, for operators.
    pub fn status(&mut self, now: Micros) -> Value {
        let m = &self.membership;
        let (jobs, placed, left) = self.job_shard.task_counts();
        let (bad_jobs, bad_machines) = self.job_shard.quarantined(now);
        let (known, machines) = self.machine_shard.count_known_and_total();
        let waiting = self.job_shard.waiting_jobs();
        let shown = |j: &&crate::job_shard::Job| {
            let on: Vec<&str> = j.unfinished_dependencies().take(SHOWN).collect();
            json!({"job": j.spec.id, "waits_for": on, "for_s": self.rounds.wall.since(j.accepted_wall).as_secs()})
        };
        let oldest: Vec<Value> = waiting.iter().take(SHOWN).map(shown).collect();
        let teams: BTreeMap<&str, Value> = self
            .quota
            .usage()
            .map(|team| {
                let cpus = |resources: Resources| resources.cpus as f64 / 1000.0;
                let usage =
                    json!({"guaranteed_cpus": cpus(team.guarantee), "claimed_cpus": cpus(team.allocated)});
                (team.team, usage)
            })
            .collect();
        let mut status = json!({
            "member": self.settings.member,
            "epoch": m.epoch,
            "members": m.members.iter().map(|&i| m.name(i)).collect::<Vec<_>>(),
            "acting": m.is_leader(now),
            "aside": self.step_down.absence_reason().map(|reason| reason.to_string()),
            "decider": m.autoscaler().map(|d| m.name(d)),
            "records_read": self.job_shard.loaded,
            "machines_unheard": self.job_shard.unconfirmed_machine_count(),
            "takeover": self.failover_status(now),
            "home": {"machines": machines, "known": known},
            "jobs": {"live": jobs, "tasks_placed": placed, "tasks_left": left},
            "waiting": {"jobs": waiting.len(), "oldest": oldest},
            "takes_follows": self.takes_dependencies(),
            "pacts": self.coordination_status(),
            "batches": self.batch_status(),
            "suspected": {"jobs": bad_jobs, "machines": bad_machines},
            "overdue": self.autoscaler.overdue(),
            "teams": teams,
            "store": {"requests_left": self.state_store.request_limiter.level(now), "writes_left": self.state_store.write_limiter.level(now), "in_flight": self.state_store.in_flight.len()},
        });
        if self.settings.operators.loans.is_some() {
            status["loans"] = self.loan_status();
        }
        if !self.settings.operators.log_stores.is_empty() {
            status["logs"] = json!({"stores": self.settings.operators.log_stores});
        }
        status
    }
}
