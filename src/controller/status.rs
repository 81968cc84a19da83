//! The controller's status for operators: the body of `/status`.

use super::*;
use crate::units::Resources;

impl Controller {
    /// The status of this controller, for operators.
    pub fn status(&mut self, now: Micros) -> Value {
        let membership = &self.membership;
        let (jobs, tasks_placed, tasks_left) = self.job_shard.task_counts();
        let (quarantined_jobs, quarantined_machines) = self.job_shard.quarantined(now);
        let (known_machines, machines) = self.machine_shard.count_known_and_total();
        let waiting = self.job_shard.waiting_jobs();
        let to_row = |job: &&crate::job_shard::Job| {
            let dependencies: Vec<&str> = job.unfinished_dependencies().take(MAX_STATUS_ROWS).collect();
            json!({"job": job.spec.id, "waits_for": dependencies, "for_s": self.rounds.wall.since(job.accepted_wall).as_secs()})
        };
        let oldest: Vec<Value> = waiting.iter().take(MAX_STATUS_ROWS).map(to_row).collect();
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
            "epoch": membership.epoch,
            "members": membership.members.iter().map(|&i| membership.name(i)).collect::<Vec<_>>(),
            "acting": membership.is_leader(now),
            "aside": self.step_down.absence_reason().map(|reason| reason.to_string()),
            "decider": membership.autoscaler().map(|d| membership.name(d)),
            "records_read": self.job_shard.loaded,
            "machines_unheard": self.job_shard.unconfirmed_machine_count(),
            "takeover": self.failover_status(now),
            "home": {"machines": machines, "known": known_machines},
            "jobs": {"live": jobs, "tasks_placed": tasks_placed, "tasks_left": tasks_left},
            "refused": self.request_log.status(now, MAX_STATUS_ROWS),
            "dependencies": self.dependency_status(),
            "waiting": {"jobs": waiting.len(), "oldest": oldest},
            "takes_follows": self.can_accept_dependencies(),
            "pacts": self.coordination_status(),
            "batches": self.batch_status(),
            "suspected": {"jobs": quarantined_jobs, "machines": quarantined_machines},
            "overdue": self.autoscaler.overdue(),
            "teams": teams,
            "teams_unread": self.quota.unread_teams().collect::<Vec<_>>(),
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
