//! What jobs need of their teams' quotas.

use super::JobShard;
use super::job::Job;
use crate::quota::{QuotaLedger, QuotaNeed};
use crate::spec::JobKind;
use crate::units::Resources;
use std::collections::BTreeMap;

/// Priority of a need that precedes all others of its team.
const FIRST_TASK_PRIORITY: u8 = u8::MAX;

impl JobShard {
    /// The needs of the jobs of this shard, by team, in the order in which they should be met.
    pub fn quota_needs(&self, quota: &QuotaLedger) -> BTreeMap<String, Vec<QuotaNeed>> {
        let mut needs: BTreeMap<String, Vec<QuotaNeed>> = BTreeMap::new();
        for id in self.queue_order() {
            if let Some(job) = self.jobs.get(&id)
                && quota.is_limited(&job.spec.team)
            {
                self.add_need(needs.entry(job.spec.team.clone()).or_default(), &id, job);
            }
        }
        // Jobs that are about to end or wait for dependencies get nothing more, but keep what they use. All
        // their attempts must be known first: a claim that shrinks before every machine has reported would
        // free quota for others too soon. A waiting job uses nothing, but an older controller may have
        // claimed quota for it. If the waiting job kept that quota, the very job that it waits for would lack
        // it.
        let keeps_current_use = |job: &Job| {
            (job.pending_outcome.is_some() || job.is_waiting())
                && job.has_known_starts()
                && quota.is_limited(&job.spec.team)
        };
        for (id, job) in self.jobs.iter().filter(|(_, job)| keeps_current_use(job)) {
            let need =
                QuotaNeed { more_tasks: 0, all_or_nothing: true, priority: 0, ..self.need_of(id, job) };
            needs.entry(job.spec.team.clone()).or_default().push(need);
        }
        needs
    }

    /// Adds a queued job's need to those of its team.
    ///
    /// One array of each team that is overdue to begin requests a first task ahead of all others: otherwise
    /// the claims of waiting gangs would leave it nothing for as long as gangs arrive. More than one task
    /// would keep the gangs out.
    fn add_need(&self, team: &mut Vec<QuotaNeed>, id: &str, job: &Job) {
        let need = self.need_of(id, job);
        // A job whose attempts are not all known may have begun long ago.
        let goes_first = job.spec.kind == JobKind::Array
            && job.has_known_starts()
            && self.is_overdue_to_begin(job)
            && !self.failures.is_job_quarantined(id)
            && team.first().is_none_or(|need| need.priority < FIRST_TASK_PRIORITY);
        if goes_first {
            let left = job.spec.task_count.saturating_sub(job.done.len()).min(1) as usize;
            let more = left.saturating_sub(job.assignments.len()) as i64;
            team.insert(0, QuotaNeed { more_tasks: more, priority: FIRST_TASK_PRIORITY, ..need });
        } else {
            team.push(need);
        }
    }

    /// What a job needs, apart from its team's other jobs.
    fn need_of(&self, id: &str, job: &Job) -> QuotaNeed {
        let is_array = job.spec.kind == JobKind::Array;
        let left = job.spec.task_count.saturating_sub(job.done.len()) as usize;
        QuotaNeed {
            in_use: self.resources_in_use(id, job),
            per_task: Resources { memory: 0, ..job.spec.resources_per_task },
            more_tasks: match self.failures.is_job_quarantined(id) && is_array {
                true => i64::from(job.assignments.is_empty()),
                false => left.saturating_sub(job.assignments.len()) as i64,
            },
            all_or_nothing: !is_array,
            is_usage_known: job.has_known_starts(),
            priority: job.spec.priority,
            accepted: job.accepted_wall,
            job: id.to_owned(),
        }
    }
}
