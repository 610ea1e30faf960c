//! The member's side of the fleet: finds the leader among the voters, renews the member's leases there, has
//! entries committed, and runs the tasks of the operator's file. One keep-alive covers all leases of a
//! member.

use crate::holder::{Grade, HeldLeases, NoPermit, Permit};
use crate::state::{Entry, Fleet, Holder, Outcome, Refusal};
use crate::tasks::{Action as TaskAction, CallOutcome, TaskRunner, TaskSpec};
use crate::timing::LeaseTiming;
use crate::wall_clock::SecondsClock;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Proposed entries that are not yet committed.
pub const MAX_PROPOSALS: usize = 1024;
/// A proposed entry without an outcome is given up after this many lease TTLs.
const GIVE_UP_AFTER_TTLS: u32 = 3;
/// Renewal requests in a row without an answer, after which another voter is asked.
const MAX_UNANSWERED: u32 = 1;
/// Redirects to another voter followed within one renewal interval. Guards against two voters that each name
/// the other as leader.
const MAX_REDIRECTS: u32 = 2;

/// What the caller has to do for the client.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this voter a request to renew all leases.
    Renew {
        /// The voter's name.
        to: String,
        /// The number of the request.
        number: u64,
        /// The leases that this member wants, if the leader does not know them.
        wanted: Option<Vec<String>>,
        /// This member's wall clock, in Unix seconds.
        unix: i64,
        /// The last request that was answered.
        answered: u64,
    },
    /// Send this voter an entry to commit.
    Propose {
        /// The voter's name.
        to: String,
        /// This member's number for the entry, returned with its outcome.
        id: u64,
        /// The entry.
        entry: Entry,
    },
    /// Make a call for a task.
    Call(Call),
    /// An operator's entry was applied with this outcome; `None` if the outcome is unknown.
    Settled {
        /// The number of the entry.
        id: u64,
        /// The outcome.
        outcome: Option<Outcome>,
        /// The entry was sent more than once: where the outcome is a refusal, another copy may still be
        /// committed.
        sent_again: bool,
    },
    /// Report to operators.
    Report(Event),
}

/// A call for a task. Times are those of this process's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The task.
    pub task: String,
    /// The number of the call, returned with its outcome.
    pub number: u64,
    /// Fencing token, sent with the call.
    pub token: u64,
    /// Idempotency key, the same for all retries and holders.
    pub key: u64,
    /// Where the run continues.
    pub cursor: Vec<u8>,
    /// The latest time to send the call; after that it must not be sent.
    pub send_by: Duration,
    /// When the call has to be over.
    pub until: Duration,
}

/// An event reported to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This process now holds a lease.
    Acquired {
        /// The lease.
        lease: String,
        /// The token.
        token: u64,
    },
    /// This process no longer holds a lease.
    Lost {
        /// The lease.
        lease: String,
        /// The token.
        token: u64,
    },
    /// A later incarnation of this member is enrolled, so this one can hold nothing.
    Superseded,
}

#[derive(Clone, Debug)]
struct Proposal {
    entry: Entry,
    since: Duration,
    /// When the entry is sent again.
    resend_at: Duration,
    /// An operator waits for the outcome.
    report: bool,
    /// How often the entry was sent.
    times_sent: u32,
}

/// The state of a member.
#[derive(Clone, Debug)]
pub struct Client {
    timing: LeaseTiming,
    leases: HeldLeases,
    /// The voters' names, in the order of the operator's file.
    voters: Vec<String>,
    /// Index of the voter that requests are sent to.
    current_voter: usize,
    unanswered: u32,
    /// Redirects followed, and since when they are counted.
    redirects: (u32, Duration),
    /// The last request that was answered, and when.
    last_answer: Option<(u64, Duration)>,
    /// The fleet's wall clock, as reported by the leader.
    fleet_clock: Option<SecondsClock>,
    enrolled: bool,
    superseded: bool,
    wanted: BTreeSet<String>,
    /// The leader does not know yet what this member wants.
    send_wanted: bool,
    /// The part of the replicated state that this member needs, as of the last answer, with the entries
    /// committed since.
    view: Fleet,
    runners: BTreeMap<String, TaskRunner>,
    /// Tasks whose view proved out of date; they wait for the next answer.
    stale_tasks: BTreeSet<String>,
    proposals: BTreeMap<u64, Proposal>,
    last_proposal: u64,
    reported: BTreeMap<String, u64>,
    leaving: bool,
}

impl Client {
    /// Creates the state of an incarnation that has received nothing yet.
    pub fn new(me: Holder, timing: LeaseTiming, voters: Vec<String>, tasks: Vec<TaskSpec>) -> Client {
        let runners: BTreeMap<String, TaskRunner> =
            tasks.into_iter().map(|spec| (spec.name.clone(), TaskRunner::new(spec, i64::MAX))).collect();
        let wanted = runners.values().map(|runner| runner.lease().to_string()).collect();
        Client {
            timing,
            leases: HeldLeases::new(me, timing),
            voters,
            current_voter: 0,
            unanswered: 0,
            redirects: (0, Duration::ZERO),
            last_answer: None,
            fleet_clock: None,
            enrolled: false,
            superseded: false,
            wanted,
            send_wanted: true,
            view: Fleet::default(),
            runners,
            stale_tasks: BTreeSet::new(),
            proposals: BTreeMap::new(),
            last_proposal: 0,
            reported: BTreeMap::new(),
            leaving: false,
        }
    }

    /// This incarnation.
    pub fn me(&self) -> &Holder {
        self.leases.me()
    }

    /// The leases of this member.
    pub fn leases(&self) -> &HeldLeases {
        &self.leases
    }

    /// The voter that requests are sent to.
    pub fn current_voter(&self) -> Option<&str> {
        self.voters.get(self.current_voter).map(String::as_str)
    }

    /// When the last request was answered.
    pub fn last_answer_at(&self) -> Option<Duration> {
        self.last_answer.map(|(_, at)| at)
    }

    /// Whether a later incarnation of this member is enrolled.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Checks whether an act may begin now, for callers other than tasks.
    ///
    /// # Errors
    /// The reason why it may not.
    pub fn may_act(&self, now: Duration, lease: &str, grade: Grade) -> Result<Permit, NoPermit> {
        if self.leaving {
            return Err(NoPermit::NotHeld);
        }
        self.leases.may_act(now, lease, grade)
    }

    /// Requests a lease.
    pub fn want(&mut self, lease: &str) {
        self.send_wanted |= self.wanted.insert(lease.to_string());
    }

    /// Stops requesting a lease, and releases it if it is held.
    pub fn unwant(&mut self, now: Duration, lease: &str) {
        self.send_wanted |= self.wanted.remove(lease);
        self.release(now, lease);
    }

    fn release(&mut self, now: Duration, lease: &str) {
        if let Some(token) = self.leases.release(lease) {
            self.propose(now, Entry::Release { lease: lease.to_string(), token }, false);
        }
    }

    /// Prepares the end of this incarnation: nothing new begins, and all leases are released.
    pub fn leave(&mut self, now: Duration) {
        if std::mem::replace(&mut self.leaving, true) {
            return;
        }
        self.wanted.clear();
        self.send_wanted = true;
        let held: Vec<String> = self.leases.all_held(now).map(|(name, _)| name.to_string()).collect();
        held.iter().for_each(|lease| self.release(now, lease));
        let gone = Entry::Gone { holder: self.me().clone() };
        self.propose(now, gone, false);
    }

    /// Whether this incarnation has left, as far as it can know.
    pub fn has_left(&self) -> bool {
        self.leaving && self.proposals.is_empty()
    }

    /// Has an entry committed. Its outcome is returned with [`Action::Settled`] if `report` is set. Without
    /// `report`, an entry that is already proposed is not proposed twice.
    pub fn propose(&mut self, now: Duration, entry: Entry, report: bool) -> Option<u64> {
        if let Some((id, _)) = self.proposals.iter().find(|(_, other)| other.entry == entry && !report) {
            return Some(*id);
        }
        if self.proposals.len() >= MAX_PROPOSALS {
            return None;
        }
        self.last_proposal += 1;
        self.proposals.insert(
            self.last_proposal,
            Proposal { entry, since: now, resend_at: Duration::ZERO, report, times_sent: 0 },
        );
        Some(self.last_proposal)
    }

    /// Returns what has to be done, after time has passed or a message has arrived. `unix` is this member's
    /// wall clock, in Unix seconds.
    pub fn step(&mut self, now: Duration, unix: i64) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(unix) = self.unix_seconds(now)
            && !self.leaving
        {
            self.run_tasks(now, unix, &mut actions);
        }
        if self.voters.is_empty() {
            return actions;
        }
        if let Some(number) = self.leases.start_renewal(now) {
            self.unanswered += 1;
            if self.unanswered > MAX_UNANSWERED {
                (self.unanswered, self.current_voter) = (1, (self.current_voter + 1) % self.voters.len());
                self.proposals.values_mut().for_each(|proposal| proposal.resend_at = now);
            }
            let answered = self.last_answer.map_or(0, |(number, _)| number);
            let wanted = self.send_wanted.then(|| self.wanted.iter().cloned().collect());
            actions.push(Action::Renew {
                to: self.voters[self.current_voter].clone(),
                number,
                wanted,
                unix,
                answered,
            });
            let enrol = Entry::Enrol { holder: self.me().clone() };
            if !self.enrolled && !self.leaving {
                self.propose(now, enrol, false);
            }
        }
        let to = &self.voters[self.current_voter];
        let (resend_at, give_up) =
            (now + self.timing.renewal_interval(), self.timing.ttl * GIVE_UP_AFTER_TTLS);
        self.proposals.retain(|id, proposal| {
            if now.saturating_sub(proposal.since) > give_up {
                if proposal.report {
                    actions.push(Action::Settled { id: *id, outcome: None, sent_again: true });
                }
                return false;
            }
            if proposal.resend_at <= now {
                proposal.resend_at = resend_at;
                proposal.times_sent = proposal.times_sent.saturating_add(1);
                let (id, entry) = (*id, proposal.entry.clone());
                actions.push(Action::Propose { to: to.clone(), id, entry });
            }
            true
        });
        self.report_leases(now, &mut actions);
        actions
    }

    /// The fleet's wall clock in Unix seconds, once it is known.
    pub fn unix_seconds(&self, now: Duration) -> Option<i64> {
        self.fleet_clock.map(|fleet_clock| fleet_clock.unix_seconds(now))
    }

    /// Reports the leases acquired and lost since the last report.
    fn report_leases(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let held: BTreeMap<String, u64> =
            self.leases.all_held(now).map(|(name, held)| (name.to_string(), held.token)).collect();
        for (lease, token) in self.reported.iter().filter(|(lease, token)| held.get(*lease) != Some(token)) {
            actions.push(Action::Report(Event::Lost { lease: lease.clone(), token: *token }));
        }
        for (lease, token) in held.iter().filter(|(lease, token)| self.reported.get(*lease) != Some(token)) {
            actions.push(Action::Report(Event::Acquired { lease: lease.clone(), token: *token }));
        }
        self.reported = held;
    }

    fn run_tasks(&mut self, now: Duration, unix: i64, actions: &mut Vec<Action>) {
        let names: Vec<String> =
            self.runners.keys().filter(|name| !self.stale_tasks.contains(*name)).cloned().collect();
        for name in names {
            let Some(runner) = self.runners.get_mut(&name) else { continue };
            let wanted = runner.step(now, unix, &self.leases, &self.view);
            self.handle_task_actions(now, &name, wanted, actions);
        }
    }

    fn handle_task_actions(
        &mut self,
        now: Duration,
        task: &str,
        wanted: Vec<TaskAction>,
        actions: &mut Vec<Action>,
    ) {
        for action in wanted {
            match action {
                TaskAction::Propose(entry) => drop(self.propose(now, entry, false)),
                TaskAction::Call { number, token, key, cursor, until } => {
                    let grade = self.runners.get(task).map(|runner| runner.spec().grade);
                    // Guards against a pause of this process between its check of the lease and the act,
                    // which counts as delay.
                    let send_by = match grade {
                        Some(Grade::Timed { max_delay, .. }) => now + max_delay,
                        _ => until,
                    };
                    let task = task.to_string();
                    actions.push(Action::Call(Call { task, number, token, key, cursor, send_by, until }));
                }
                // The caller steps often enough.
                TaskAction::Wake(_) => {}
            }
        }
    }

    /// Records the outcome of a task's call.
    pub fn call_ended(&mut self, now: Duration, task: &str, number: u64, outcome: CallOutcome) {
        if let Some(runner) = self.runners.get_mut(task) {
            let rejected = outcome == CallOutcome::OldToken;
            let wanted = runner.on_call_outcome(now, number, outcome);
            let mut actions = Vec::new();
            self.handle_task_actions(now, task, wanted, &mut actions);
            if rejected {
                self.leases.renew_soon();
            }
        }
    }

    /// Applies the leader's answer to a renewal request.
    pub fn on_answer(&mut self, now: Duration, from: &str, answer: &RenewalAnswer) {
        self.switch_to(from);
        self.unanswered = 0;
        self.leases.renewed(now, answer.number, &answer.leases);
        if self.last_answer.is_none_or(|(number, _)| number < answer.number) {
            self.last_answer = Some((answer.number, now));
            self.enrolled = answer.enrolled;
            self.superseded &= !answer.enrolled;
            self.send_wanted = answer.send_wanted;
            if let Some(unix) = answer.unix {
                match &mut self.fleet_clock {
                    Some(fleet_clock) => fleet_clock.observe(now, unix),
                    None => {
                        // Due times before this incarnation's start are not missed runs.
                        self.runners.values_mut().for_each(|runner| runner.set_first_seen(unix));
                        self.fleet_clock = Some(SecondsClock::new(now, unix));
                    }
                }
            }
            if let Some(view) = Fleet::load(&answer.view) {
                self.view = view;
                self.stale_tasks.clear();
            }
        }
        // Releases leases that are held but no longer wanted.
        let unwanted: Vec<String> = answer
            .leases
            .iter()
            .map(|(lease, _)| lease.clone())
            .filter(|lease| !self.wanted.contains(lease))
            .collect();
        unwanted.iter().for_each(|lease| self.release(now, lease));
    }

    fn switch_to(&mut self, name: &str) {
        if let Some(index) = self.voters.iter().position(|voter| voter == name)
            && index != self.current_voter
        {
            self.current_voter = index;
            self.proposals.values_mut().for_each(|proposal| proposal.resend_at = Duration::ZERO);
        }
    }

    /// The voter that was asked is not the leader; it may know who is.
    pub fn on_not_leader(&mut self, now: Duration, from: &str, leader: Option<&str>) {
        if self.current_voter() != Some(from) {
            return;
        }
        if now.saturating_sub(self.redirects.1) >= self.timing.renewal_interval() {
            self.redirects = (0, now);
        }
        let known = leader.filter(|leader| *leader != from && self.redirects.0 < MAX_REDIRECTS);
        match known {
            Some(leader) => {
                self.redirects.0 += 1;
                self.unanswered = 0;
                self.switch_to(leader);
                // Makes the request due again at once, counted from now.
                self.leases.renew_soon();
            }
            // Guards against a retry storm while there is no leader: the next voter is asked only when the
            // next request is due.
            None => {
                self.current_voter = (self.current_voter + 1) % self.voters.len().max(1);
                self.unanswered = 0;
            }
        }
    }

    /// The connection to a voter broke: if it is the current voter, requests go to the next one at once, not
    /// only at the next renewal.
    pub fn on_connection_lost(&mut self, now: Duration, voter: &str) {
        if self.current_voter() != Some(voter) || self.voters.len() < 2 {
            return;
        }
        let next = self.voters[(self.current_voter + 1) % self.voters.len()].clone();
        self.on_not_leader(now, voter, Some(&next));
    }

    /// Records the outcome of an entry of this member, or that the entry was not committed (`None`).
    pub fn on_outcome(&mut self, now: Duration, id: u64, outcome: Option<Outcome>) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(outcome) = outcome else {
            // The outcome is unknown: the entry is sent again, which is safe for all entries.
            if let Some(proposal) = self.proposals.get_mut(&id) {
                proposal.resend_at = proposal.resend_at.min(now + self.timing.renewal_interval() / 4);
            }
            return actions;
        };
        let Some(Proposal { entry, report, times_sent, .. }) = self.proposals.remove(&id) else {
            return actions;
        };
        match &entry {
            Entry::Enrol { .. } => {
                let refused = outcome == Outcome::Refused(Refusal::OldIncarnation);
                if refused && !self.superseded {
                    actions.push(Action::Report(Event::Superseded));
                }
                self.superseded = refused;
                self.enrolled |= !refused;
                self.leases.renew_soon();
            }
            Entry::BeginRun { task, .. }
            | Entry::SaveCursor { task, .. }
            | Entry::EndRun { task, .. }
            | Entry::SkipDue { task, .. } => {
                let task = task.clone();
                if matches!(outcome, Outcome::Refused(_)) {
                    // Guards against repeated proposals from a view that is out of date.
                    self.stale_tasks.insert(task.clone());
                    self.leases.renew_soon();
                } else {
                    self.view.apply(&entry);
                }
                if let Some(runner) = self.runners.get_mut(&task) {
                    let wanted = runner.on_outcome(now, &entry, &outcome);
                    self.handle_task_actions(now, &task, wanted, &mut actions);
                }
            }
            _ => {}
        }
        if report {
            actions.push(Action::Settled { id, outcome: Some(outcome), sent_again: times_sent > 1 });
        }
        actions
    }
}

/// The leader's answer to a renewal request.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RenewalAnswer {
    /// The number of the request.
    pub number: u64,
    /// The leases and tokens that are renewed.
    pub leases: Vec<(String, u64)>,
    /// Whether this incarnation is the current one of its member.
    pub enrolled: bool,
    /// The next request has to list the leases that this member wants.
    pub send_wanted: bool,
    /// The fleet's wall clock in Unix seconds, if enough clocks are known.
    pub unix: Option<i64>,
    /// The part of the replicated state that this member needs ([`Fleet::view_for`]).
    pub view: Vec<u8>,
}

#[cfg(test)]
mod tests;
