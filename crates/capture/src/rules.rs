//! Checks a capture against the four rules, as far as they show in one, independently of the decision code:
//! each request gets one answer by its due time; nothing with an effect runs twice or is refused after it
//! ran; and nothing that arrived after the drain grace runs. The limits of the cores and the dependency do
//! not show in a capture.
//!
//! Only requests whose arrival is in the capture are checked. After a gap or a corrupt part the check
//! restarts without any open requests.

use crate::reader::Part;
use crate::record::{Record, Round};
use jaspershunt::{Action, Event, Outcome, Repeat, Request, RequestId, Settings};
use std::collections::BTreeMap;
use std::fmt;

/// Tolerance for an answer after its due time, as the rules for sockets allow.
const ANSWER_SLACK_SECONDS: f64 = 0.05;
/// Maximum number of requests tracked, ended ones included, to detect repeats; the oldest are removed first.
const MAX_TRACKED: usize = 100_000;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The round in which the violation shows.
    pub round: u64,
    /// The request.
    pub id: RequestId,
    /// Which rule.
    pub rule: Rule,
}

/// The rule that was violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// There was no answer by the due time.
    NotAnswered,
    /// The request was answered twice.
    AnsweredTwice,
    /// A request with an effect ran twice.
    RanTwice,
    /// The request was refused after it ran.
    RefusedAfterRun,
    /// The request ran although it arrived after the drain grace of a leaving nodo.
    RunAfterGrace,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.rule {
            Rule::NotAnswered => "was not answered by its due time",
            Rule::AnsweredTwice => "was answered twice",
            Rule::RanTwice => "ran twice",
            Rule::RefusedAfterRun => "was refused after it ran",
            Rule::RunAfterGrace => "ran although it arrived after the drain grace",
        };
        write!(f, "round {}: request {} {what}", self.round, self.id.0)
    }
}

struct TrackedRequest {
    request: Request,
    arrived: f64,
    due: f64,
    /// Whether an answer is still owed.
    answer_owed: bool,
    /// Whether an answer was given.
    answered: bool,
    ran: bool,
}

/// Checks the rules over the parts of a capture.
#[derive(Default)]
pub struct RuleChecker {
    settings: Option<Settings>,
    tracked: BTreeMap<RequestId, TrackedRequest>,
    /// The time of the first request to leave.
    leaving_since: Option<f64>,
    violations: Vec<Violation>,
}

impl RuleChecker {
    /// Creates a checker that has processed no parts.
    pub fn new() -> RuleChecker {
        RuleChecker::default()
    }

    /// Processes the next part of a capture.
    pub fn take(&mut self, part: &Part) {
        match part {
            Part::Corrupt { .. } => self.tracked.clear(),
            Part::Block { records, .. } => records.iter().for_each(|record| self.record(record)),
        }
    }

    /// Returns all violations.
    pub fn end(self) -> Vec<Violation> {
        self.violations
    }

    fn record(&mut self, record: &Record) {
        match record {
            Record::Header(header) => self.settings = Some(header.settings.clone()),
            Record::Snapshot(_) | Record::AuxiliaryStates(_) | Record::AuxiliarySteps(_) => {}
            Record::Gap { .. } => self.tracked.clear(),
            Record::Round(round) => {
                if let Some(settings) = self.settings.take() {
                    let changed = self.round(&settings, round);
                    self.settings = Some(changed.unwrap_or(settings));
                }
            }
        }
    }

    fn round(&mut self, settings: &Settings, round: &Round) -> Option<Settings> {
        let mut changed: Option<&Settings> = None;
        for event in &round.events {
            match event {
                Event::Arrived(request) => {
                    self.arrived(changed.unwrap_or(settings), request, round.now);
                }
                // An answer given anyway has no recipient and is no violation.
                Event::Withdrawn { id } => self.no_answer_owed(*id),
                // The answer is sent when the run ends, unless one was given before.
                Event::Ended { id, outcome: Outcome::Done | Outcome::Failed } => {
                    if let Some(tracked) = self.tracked.get_mut(id) {
                        (tracked.answer_owed, tracked.answered) = (false, true);
                    }
                }
                Event::Ended { id, outcome: Outcome::NotStarted } => {
                    if let Some(tracked) = self.tracked.get_mut(id) {
                        tracked.ran = false;
                    }
                }
                // New settings keep the class indices of open requests.
                Event::Settings(new) => changed = Some(&**new),
                Event::Leave { .. } => self.leaving_since = self.leaving_since.or(Some(round.now)),
                _ => {}
            }
        }
        for action in &round.actions {
            match action {
                Action::Run(id) => self.ran(settings, *id, round.number),
                Action::Refuse { id, .. } => {
                    let effect = |tracked: &TrackedRequest| {
                        settings.classes[tracked.request.class].repeat != Repeat::Safe
                    };
                    if self.tracked.get(id).is_some_and(|tracked| tracked.ran && effect(tracked)) {
                        self.report(round.number, *id, Rule::RefusedAfterRun);
                    }
                    self.answered(*id, round.number);
                }
                Action::Fail(id) => self.answered(*id, round.number),
                _ => {}
            }
        }
        let late =
            |tracked: &TrackedRequest| tracked.answer_owed && round.now > tracked.due + ANSWER_SLACK_SECONDS;
        let lost: Vec<RequestId> =
            self.tracked.iter().filter(|(_, tracked)| late(tracked)).map(|(id, _)| *id).collect();
        for id in lost {
            self.report(round.number, id, Rule::NotAnswered);
            self.no_answer_owed(id);
        }
        while self.tracked.len() > MAX_TRACKED {
            self.tracked.pop_first();
        }
        changed.cloned()
    }

    fn report(&mut self, round: u64, id: RequestId, rule: Rule) {
        self.violations.push(Violation { round, id, rule });
    }

    fn arrived(&mut self, settings: &Settings, request: &Request, now: f64) {
        let arrived = now - request.waited;
        let deadline = settings.classes[request.class].deadline;
        let due = request.time_left.map_or(arrived + deadline, |left| now + left).max(now);
        let tracked = TrackedRequest {
            request: request.clone(),
            arrived,
            due,
            answer_owed: true,
            answered: false,
            ran: false,
        };
        self.tracked.insert(request.id, tracked);
    }

    fn no_answer_owed(&mut self, id: RequestId) {
        if let Some(tracked) = self.tracked.get_mut(&id) {
            tracked.answer_owed = false;
        }
    }

    fn answered(&mut self, id: RequestId, round: u64) {
        match self.tracked.get_mut(&id) {
            Some(tracked) if tracked.answered => self.report(round, id, Rule::AnsweredTwice),
            Some(tracked) => (tracked.answer_owed, tracked.answered) = (false, true),
            None => {}
        }
    }

    fn ran(&mut self, settings: &Settings, id: RequestId, round: u64) {
        let Some(tracked) = self.tracked.get(&id) else { return };
        let class = tracked.request.class;
        let (arrived, before) = (tracked.arrived, tracked.ran);
        let late = self.leaving_since.is_some_and(|left| arrived > left + settings.drain_grace);
        // Resuming a paused run is not a second run.
        let again = before && settings.halt != jaspershunt::StopMode::Pause;
        let twice = match settings.classes[class].repeat {
            Repeat::Safe => false,
            Repeat::Unsafe => again,
            Repeat::Keyed(window) => {
                let first = tracked.request.repeats.and_then(|first| self.tracked.get(&first));
                let within = |first: &TrackedRequest| first.ran && arrived <= first.arrived + window;
                again || first.is_some_and(|first| first.request.class == class && within(first))
            }
        };
        if let Some(tracked) = self.tracked.get_mut(&id) {
            tracked.ran = true;
        }
        if late {
            self.report(round, id, Rule::RunAfterGrace);
        }
        if twice {
            self.report(round, id, Rule::RanTwice);
        }
    }
}

/// Checks rounds under the given settings.
pub fn check_rounds(settings: &Settings, rounds: &[Round]) -> Vec<Violation> {
    let mut rules = RuleChecker::new();
    rules.settings = Some(settings.clone());
    rounds.iter().for_each(|round| rules.record(&Record::Round(round.clone())));
    rules.end()
}

/// Checks a whole capture.
pub fn check<'a>(parts: impl IntoIterator<Item = &'a Part>) -> Vec<Violation> {
    let mut rules = RuleChecker::new();
    for part in parts {
        rules.take(part);
    }
    rules.end()
}
