//! Holds a capture against the four rules, as far as they show in it, apart from the code that made the decisions: each
//! request gets one answer by its due time, nothing with an effect runs twice or is turned away after it ran, and nothing
//! that came after the grace is run. What the cores and the dependency survive does not show in a capture.
//!
//! Only requests whose arrival is in the capture are judged, and a gap or a spoilt block is where judging begins anew.

use crate::reader::Part;
use crate::record::{Record, Round};
use jaspershunt::{Action, Event, Outcome, Repeat, Request, RequestId, Settings};
use std::collections::BTreeMap;
use std::fmt;

/// An answer may come so much after its due time, in seconds: what the rules of the sockets allow.
const ANSWER_SLACK_SECONDS: f64 = 0.05;
/// Requests that are remembered after their end at most, for repeats of them; the oldest go first.
const MAX_TRACKED: usize = 100_000;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The round in which it shows.
    pub round: u64,
    /// The request.
    pub id: RequestId,
    /// Which rule.
    pub rule: Rule,
}

/// The rules, in the words of those who count on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// No answer by the due time.
    NotAnswered,
    /// Two answers.
    AnsweredTwice,
    /// An effect twice.
    RanTwice,
    /// Turned away after it ran.
    RefusedAfterRun,
    /// Run though it came after the grace of a nodo that leaves.
    RunAfterGrace,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.rule {
            Rule::NotAnswered => "was not answered by its due time",
            Rule::AnsweredTwice => "was answered twice",
            Rule::RanTwice => "ran twice",
            Rule::RefusedAfterRun => "was turned away after it ran",
            Rule::RunAfterGrace => "was run though it came after the grace",
        };
        write!(f, "round {}: request {} {what}", self.round, self.id.0)
    }
}

struct TrackedRequest {
    request: Request,
    arrived: f64,
    due: f64,
    /// An answer is owed.
    answer_owed: bool,
    /// One was given.
    answered: bool,
    ran: bool,
}

/// The checker.
#[derive(Default)]
pub struct RuleChecker {
    settings: Option<Settings>,
    tracked: BTreeMap<RequestId, TrackedRequest>,
    /// When the nodo was told to leave.
    leaving_since: Option<f64>,
    violations: Vec<Violation>,
}

impl RuleChecker {
    /// Nothing was seen yet.
    pub fn new() -> RuleChecker {
        RuleChecker::default()
    }

    /// Takes the next part of a capture.
    pub fn take(&mut self, part: &Part) {
        match part {
            Part::Corrupt { .. } => self.tracked.clear(),
            Part::Block { records, .. } => records.iter().for_each(|record| self.record(record)),
        }
    }

    /// All that was broken.
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
                // One that is given all the same goes nowhere and does no harm.
                Event::Withdrawn { id } => self.no_answer_owed(*id),
                // With the end of a run its answer goes out, unless one was given before.
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
                // Requests that are open keep their places in it, and with them their classes.
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
        // A paused run that is taken up again is no second run.
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

/// Checks rounds alone, under these settings.
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
