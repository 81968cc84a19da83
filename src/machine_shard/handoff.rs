//! Machines that change their home: what a home that lives hands to the next one, and what that makes of it.
//!
//! Why the new home may take the list for complete although the worker has not shown the new token: the old home was the
//! only one to command the machine, it packs after it has adopted the epoch and thus commands no more, and starts travel
//! only in answers. Each that it ever sent is listed, in doubt if need be, with the report that it answered.

use super::*;
use crate::peer::{MachineHandoff, TaskHandoff};

impl MachineShard {
    /// The machines that have another home in `next`, the epoch that directly follows, by that home. To be called
    /// before that epoch is adopted, and only by who does not command any more.
    pub fn hand_over(&self, now: Micros, next: &Membership) -> BTreeMap<usize, Vec<MachineHandoff>> {
        let mut out: BTreeMap<usize, Vec<MachineHandoff>> = BTreeMap::new();
        for (name, x) in &self.machines {
            let Some(to) = next.machine_leader(name).filter(|&h| h != next.me) else { continue };
            let known = x.standing == InventoryState::Known;
            let last_answer = if known { x.heard_at } else { x.last_answer(self.older_silent) };
            // Of one whose end is not yet certain there is nothing to say that the new home does not know.
            if x.standing == InventoryState::Gone || (!known && last_answer > now) {
                continue;
            }
            let tasks = x.entries.iter().filter(|(_, e)| known && e.on_machine());
            out.entry(to).or_default().push(MachineHandoff {
                name: name.clone(),
                kind: x.kind.clone(),
                zone: x.zone.clone(),
                spot: x.spot,
                addr: x.addr.clone(),
                on_record: x.record == Record::Yes,
                known,
                last: x.last,
                silent: now.since(last_answer),
                notice: x.notice_at.map(|t| t.since(now)),
                idle: x.idle_since.map(|t| now.since(t)),
                images: x.images.clone(),
                tasks: tasks
                    .map(|(k, e)| TaskHandoff {
                        key: k.clone(),
                        room: e.room,
                        priority: e.priority,
                        image: e.image,
                        phase: e.phase,
                        action: e.want,
                        sent_to: e.sent_to,
                    })
                    .collect(),
            });
        }
        out
    }

    /// Takes a machine from its home of the epoch directly before. Does nothing to one whose tasks are known already,
    /// or that is another's: the parcel came late, or twice. Returns whether its tasks are known now that were not.
    pub fn handed(&mut self, now: Micros, m: &Membership, h: MachineHandoff) -> bool {
        if m.machine_leader(&h.name) != Some(m.me) || self.returned.contains(&h.name) {
            return false;
        }
        let epoch = self.epoch;
        let new = || Machine::new(now, epoch, h.kind.clone(), h.zone.clone(), h.spot, h.addr.clone());
        let x = self.machines.entry(h.name.clone()).or_insert_with(new);
        if x.standing != InventoryState::Unconfirmed {
            return false;
        }
        if h.on_record {
            x.record = Record::Yes;
        }
        // As of packing: by now it is longer ago, which errs on the late side.
        let heard = Micros(now.0.saturating_sub(h.silent.shortened().0));
        if !h.known {
            x.answered = Some(x.answered.map_or(heard, |t| t.min(heard)));
            return false;
        }
        // A report that came here first was sent after the worker had taken or dropped every answer of the old home:
        // what it lists is all there is. Otherwise it is what the old home listed.
        let newer = x.reported && x.last > h.last;
        if !newer {
            x.entries.clear();
            x.last = h.last;
            x.notice_at = h.notice.map(|t| now + t);
            x.idle_since = h.idle.map(|t| Micros(now.0.saturating_sub(t.0)));
            x.heard_at = if x.reported { x.heard_at.max(heard) } else { heard };
            x.reported = true;
        }
        x.images = h.images;
        let next = self.changes.seq + 1;
        for t in h.tasks {
            let handed = Entry {
                room: t.room,
                priority: t.priority,
                image: t.image,
                phase: t.phase,
                want: t.action,
                sent_to: t.sent_to,
                standpoint: OwnerBasis::new(m.job_leader(&t.key.job), next),
            };
            match x.entries.get_mut(&t.key) {
                Some(e) if e.room.is_none() => *e = Entry { phase: e.phase, ..handed },
                None if !newer => {
                    x.entries.insert(t.key, handed);
                }
                _ => {}
            }
        }
        // What the owners of this epoch have said meanwhile goes before what those of the last one did.
        for (key, w) in self.early.remove(&h.name).unwrap_or_default() {
            if let Some(e) = x.entries.get_mut(&key) {
                e.standpoint.named();
                (e.room, e.priority, e.image, e.want) = (Some(w.room), w.priority, w.image, Some(w.action));
            }
        }
        x.standing = InventoryState::Known;
        x.was_open = x.open(now, self.patience);
        self.changes.touch(&h.name, &mut x.version);
        true
    }

    /// Machines whose home is `to` in `next` that are certainly gone: one that has just started does not know, and would
    /// wait for the leases of all that pages of the roll still name.
    pub fn gone_for(&self, to: usize, next: &Membership) -> Vec<String> {
        self.returned.iter().filter(|n| next.machine_leader(n) == Some(to)).cloned().collect()
    }

    /// These are certainly gone.
    pub fn told_gone(&mut self, gone: &[String]) {
        for name in gone {
            self.is_returned(name);
        }
    }
}
