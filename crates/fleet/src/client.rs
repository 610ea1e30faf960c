//! A member's side of the fleet: finds the voter that leads, asks it whether its leases go on, has what it proposes agreed, and runs the
//! tasks that its operator's file names. One keep-alive covers all its leases.

use crate::holder::{Grade, HeldLeases, NoPermit, Permit};
use crate::state::{Entry, Fleet, Holder, Outcome, Refusal};
use crate::tasks::{Action as TaskAction, CallOutcome, TaskRunner, TaskSpec};
use crate::timing::LeaseTiming;
use crate::wall_clock::SecondsClock;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Entries that wait to be agreed.
pub const MAX_PROPOSALS: usize = 1024;
/// An entry of which nothing is heard for so many leases' time is given up.
const GIVE_UP_AFTER_TTLS: u32 = 3;
/// After so many questions in a row without an answer another voter is asked.
const MAX_UNANSWERED: u32 = 1;
/// Within the time between two questions a member follows so many words about who leads. Ours: two voters may each name the other.
const MAX_REDIRECTS: u32 = 2;

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask this voter whether all leases go on.
    Renew {
        /// Its name.
        to: String,
        /// Which question.
        number: u64,
        /// What this member would hold, where that has to be said.
        wanted: Option<Vec<String>>,
        /// What its clock on the wall shows.
        unix: i64,
        /// The last question that was answered.
        answered: u64,
    },
    /// Have this voter see to it that an entry is agreed.
    Propose {
        /// Its name.
        to: String,
        /// Which of this member's entries; comes back with what came of it.
        id: u64,
        /// The entry.
        entry: Entry,
    },
    /// Call for a task.
    Call(Call),
    /// An entry of an operator's came to this; `None` if nobody knows.
    Settled {
        /// The entry's number.
        id: u64,
        /// What came of it.
        outcome: Option<Outcome>,
        /// It was said more than once: where this outcome is a refusal, another copy may be agreed yet.
        sent_again: bool,
    },
    /// To be said to operators.
    Report(Event),
}

/// A call for a task. Times are by this process's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The task.
    pub task: String,
    /// Which call; comes back with what came of it.
    pub number: u64,
    /// Shown to what is called.
    pub token: u64,
    /// The same over retries and holders.
    pub key: u64,
    /// Where it goes on.
    pub cursor: Vec<u8>,
    /// It has to leave this process by then, or not at all.
    pub send_by: Duration,
    /// It has to be over by then.
    pub until: Duration,
}

/// What operators are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A lease is held here.
    Acquired {
        /// Its name.
        lease: String,
        /// Its token.
        token: u64,
    },
    /// It is not any more.
    Lost {
        /// Its name.
        lease: String,
        /// Its token.
        token: u64,
    },
    /// This start counts for nothing, as a later one of its name does.
    Superseded,
}

#[derive(Clone, Debug)]
struct Proposal {
    entry: Entry,
    since: Duration,
    /// When it is said again.
    resend_at: Duration,
    /// An operator waits.
    report: bool,
    /// How often it was said.
    times_sent: u32,
}

/// A member's side.
#[derive(Clone, Debug)]
pub struct Client {
    timing: LeaseTiming,
    leases: HeldLeases,
    /// The voters, by name, in the order of the file.
    voters: Vec<String>,
    /// Which of them is asked.
    current_voter: usize,
    unanswered: u32,
    /// Words about who leads that were followed, since when.
    redirects: (u32, Duration),
    /// The last question that was answered, and when.
    last_answer: Option<(u64, Duration)>,
    /// The fleet's time, by the answers.
    fleet_clock: Option<SecondsClock>,
    enrolled: bool,
    superseded: bool,
    wanted: BTreeSet<String>,
    /// The one that leads has to hear what this member wants.
    send_wanted: bool,
    /// The part of the agreed state that concerns this member, as the last answer had it, with what was agreed since.
    view: Fleet,
    runners: BTreeMap<String, TaskRunner>,
    /// Tasks whose part of the view turned out to be old: they wait for the next answer.
    stale_tasks: BTreeSet<String>,
    proposals: BTreeMap<u64, Proposal>,
    last_proposal: u64,
    reported: BTreeMap<String, u64>,
    leaving: bool,
}

impl Client {
    /// A start that has heard nothing yet.
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

    /// This start.
    pub fn me(&self) -> &Holder {
        self.leases.me()
    }

    /// Its leases.
    pub fn leases(&self) -> &HeldLeases {
        &self.leases
    }

    /// The voter that is asked.
    pub fn current_voter(&self) -> Option<&str> {
        self.voters.get(self.current_voter).map(String::as_str)
    }

    /// When the last question was answered.
    pub fn last_answer_at(&self) -> Option<Duration> {
        self.last_answer.map(|(_, at)| at)
    }

    /// A later start of this member is here.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Leave to begin an act now, for whoever acts by another way than a task.
    ///
    /// # Errors
    /// Why not.
    pub fn may_act(&self, now: Duration, lease: &str, grade: Grade) -> Result<Permit, NoPermit> {
        if self.leaving {
            return Err(NoPermit::NotHeld);
        }
        self.leases.may_act(now, lease, grade)
    }

    /// This member would hold a lease.
    pub fn want(&mut self, lease: &str) {
        self.send_wanted |= self.wanted.insert(lease.to_string());
    }

    /// It does not any more; if it holds it, it gives it up.
    pub fn unwant(&mut self, now: Duration, lease: &str) {
        self.send_wanted |= self.wanted.remove(lease);
        self.release(now, lease);
    }

    fn release(&mut self, now: Duration, lease: &str) {
        if let Some(token) = self.leases.release(lease) {
            self.propose(now, Entry::Release { lease: lease.to_string(), token }, false);
        }
    }

    /// This start is about to end: nothing begins any more, and what it holds is given up.
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

    /// It has left, as far as that can be known.
    pub fn has_left(&self) -> bool {
        self.leaving && self.proposals.is_empty()
    }

    /// Has an entry agreed; its number comes back with [`Action::Settled`] if `told`. One that is on its way already is not said twice.
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

    /// Time has passed, or something was heard: what is to be done. `unix` is the time by the wall clock.
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

    /// The fleet's time by the wall, once that is known.
    pub fn unix_seconds(&self, now: Duration) -> Option<i64> {
        self.fleet_clock.map(|fleet_clock| fleet_clock.unix_seconds(now))
    }

    /// Says which leases came and went.
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
                    // Guards against a pause of this process between the look at the lease and the act: it counts as way.
                    let send_by = match grade {
                        Some(Grade::Timed { max_delay, .. }) => now + max_delay,
                        _ => until,
                    };
                    let task = task.to_string();
                    actions.push(Action::Call(Call { task, number, token, key, cursor, send_by, until }));
                }
                // This is stepped often enough.
                TaskAction::Wake(_) => {}
            }
        }
    }

    /// What came of a call for a task.
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

    /// The voter that leads has answered a question.
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
                        // What was due before this start is not missed.
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
        // What is held and not wanted any more.
        let unwanted: Vec<String> = answer
            .leases
            .iter()
            .map(|(lease, _)| lease.clone())
            .filter(|lease| !self.wanted.contains(lease))
            .collect();
        unwanted.iter().for_each(|lease| self.release(now, lease));
    }

    fn switch_to(&mut self, name: &str) {
        if let Some(place) = self.voters.iter().position(|voter| voter == name)
            && place != self.current_voter
        {
            self.current_voter = place;
            self.proposals.values_mut().for_each(|proposal| proposal.resend_at = Duration::ZERO);
        }
    }

    /// The voter that was asked does not lead; perhaps it knows who does.
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
                // The question is due again at once: it counts from now.
                self.leases.renew_soon();
            }
            // Guards against a storm while nobody leads: the next one is asked when the next question is due.
            None => {
                self.current_voter = (self.current_voter + 1) % self.voters.len().max(1);
                self.unanswered = 0;
            }
        }
    }

    /// The connection to a voter broke: if that one is asked, the next one is, at once and not at the next question.
    pub fn on_connection_lost(&mut self, now: Duration, voter: &str) {
        if self.current_voter() != Some(voter) || self.voters.len() < 2 {
            return;
        }
        let next = self.voters[(self.current_voter + 1) % self.voters.len()].clone();
        self.on_not_leader(now, voter, Some(&next));
    }

    /// An entry of this member was agreed, or came to nothing (`None`).
    pub fn on_outcome(&mut self, now: Duration, id: u64, outcome: Option<Outcome>) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(outcome) = outcome else {
            // Nobody knows what became of it: it is said again, as all entries may be.
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
                    // Guards against saying the same again and again, as the view that it comes from is old.
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

/// The answer of the one that leads to a question.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RenewalAnswer {
    /// Which question.
    pub number: u64,
    /// What goes on: leases and tokens.
    pub leases: Vec<(String, u64)>,
    /// This start is the present one of its member.
    pub enrolled: bool,
    /// The next question has to say what this member would hold.
    pub send_wanted: bool,
    /// The fleet's time by the wall, in Unix seconds, where enough clocks were heard.
    pub unix: Option<i64>,
    /// The part of the agreed state that concerns this member ([`Fleet::view_for`]).
    pub view: Vec<u8>,
}

#[cfg(test)]
mod tests;
