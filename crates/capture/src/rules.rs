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
const SLACK: f64 = 0.05;
/// Requests that are remembered after their end at most, for repeats of them; the oldest go first.
const MAX_KNOWN: usize = 100_000;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
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
    Lost,
    /// Two answers.
    AnsweredTwice,
    /// An effect twice.
    RanTwice,
    /// Turned away after it ran.
    RefusedAfterRun,
    /// Run though it came after the grace of a nodo that leaves.
    RunAfterGrace,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.rule {
            Rule::Lost => "was not answered by its due time",
            Rule::AnsweredTwice => "was answered twice",
            Rule::RanTwice => "ran twice",
            Rule::RefusedAfterRun => "was turned away after it ran",
            Rule::RunAfterGrace => "was run though it came after the grace",
        };
        write!(f, "round {}: request {} {what}", self.round, self.id.0)
    }
}

struct Known {
    request: Request,
    arrived: f64,
    due: f64,
    /// An answer is owed.
    owed: bool,
    /// One was given.
    answered: bool,
    ran: bool,
}

/// The checker.
#[derive(Default)]
pub struct Rules {
    settings: Option<Settings>,
    known: BTreeMap<RequestId, Known>,
    /// When the nodo was told to leave.
    left_at: Option<f64>,
    broken: Vec<Broken>,
}

impl Rules {
    /// Nothing was seen yet.
    pub fn new() -> Rules {
        Rules::default()
    }

    /// Takes the next part of a capture.
    pub fn take(&mut self, part: &Part) {
        match part {
            Part::Spoilt { .. } => self.known.clear(),
            Part::Block { records, .. } => records.iter().for_each(|record| self.record(record)),
        }
    }

    /// All that was broken.
    pub fn end(self) -> Vec<Broken> {
        self.broken
    }

    fn record(&mut self, record: &Record) {
        match record {
            Record::Head(head) => self.settings = Some(head.settings.clone()),
            Record::Snapshot(_) | Record::SideStates(_) | Record::Sides(_) => {}
            Record::Gap { .. } => self.known.clear(),
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
                    if let Some(known) = self.known.get_mut(id) {
                        (known.owed, known.answered) = (false, true);
                    }
                }
                Event::Ended { id, outcome: Outcome::NotStarted } => {
                    if let Some(known) = self.known.get_mut(id) {
                        known.ran = false;
                    }
                }
                // Requests that are open keep their places in it, and with them their classes.
                Event::Settings(new) => changed = Some(&**new),
                Event::Leave { .. } => self.left_at = self.left_at.or(Some(round.now)),
                _ => {}
            }
        }
        for action in &round.actions {
            match action {
                Action::Run(id) => self.ran(settings, *id, round.number),
                Action::Refuse { id, .. } => {
                    let effect = |known: &Known| settings.classes[known.request.class].repeat != Repeat::Safe;
                    if self.known.get(id).is_some_and(|known| known.ran && effect(known)) {
                        self.tell(round.number, *id, Rule::RefusedAfterRun);
                    }
                    self.answered(*id, round.number);
                }
                Action::Fail(id) => self.answered(*id, round.number),
                _ => {}
            }
        }
        let late = |known: &Known| known.owed && round.now > known.due + SLACK;
        let lost: Vec<RequestId> =
            self.known.iter().filter(|(_, known)| late(known)).map(|(id, _)| *id).collect();
        for id in lost {
            self.tell(round.number, id, Rule::Lost);
            self.no_answer_owed(id);
        }
        while self.known.len() > MAX_KNOWN {
            self.known.pop_first();
        }
        changed.cloned()
    }

    fn tell(&mut self, round: u64, id: RequestId, rule: Rule) {
        self.broken.push(Broken { round, id, rule });
    }

    fn arrived(&mut self, settings: &Settings, request: &Request, now: f64) {
        let arrived = now - request.waited;
        let deadline = settings.classes[request.class].deadline;
        let due = request.time_left.map_or(arrived + deadline, |left| now + left).max(now);
        let known = Known { request: request.clone(), arrived, due, owed: true, answered: false, ran: false };
        self.known.insert(request.id, known);
    }

    fn no_answer_owed(&mut self, id: RequestId) {
        if let Some(known) = self.known.get_mut(&id) {
            known.owed = false;
        }
    }

    fn answered(&mut self, id: RequestId, round: u64) {
        match self.known.get_mut(&id) {
            Some(known) if known.answered => self.tell(round, id, Rule::AnsweredTwice),
            Some(known) => (known.owed, known.answered) = (false, true),
            None => {}
        }
    }

    fn ran(&mut self, settings: &Settings, id: RequestId, round: u64) {
        let Some(known) = self.known.get(&id) else { return };
        let class = known.request.class;
        let (arrived, before) = (known.arrived, known.ran);
        let late = self.left_at.is_some_and(|left| arrived > left + settings.drain_grace);
        // A paused run that is taken up again is no second run.
        let again = before && settings.halt != jaspershunt::StopMode::Pause;
        let twice = match settings.classes[class].repeat {
            Repeat::Safe => false,
            Repeat::Unsafe => again,
            Repeat::Keyed(window) => {
                let first = known.request.repeats.and_then(|first| self.known.get(&first));
                let within = |first: &Known| first.ran && arrived <= first.arrived + window;
                again || first.is_some_and(|first| first.request.class == class && within(first))
            }
        };
        if let Some(known) = self.known.get_mut(&id) {
            known.ran = true;
        }
        if late {
            self.tell(round, id, Rule::RunAfterGrace);
        }
        if twice {
            self.tell(round, id, Rule::RanTwice);
        }
    }
}

/// Checks rounds alone, under these settings.
pub fn check_rounds(settings: &Settings, rounds: &[Round]) -> Vec<Broken> {
    let mut rules = Rules::new();
    rules.settings = Some(settings.clone());
    rounds.iter().for_each(|round| rules.record(&Record::Round(round.clone())));
    rules.end()
}

/// Checks a whole capture.
pub fn check<'a>(parts: impl IntoIterator<Item = &'a Part>) -> Vec<Broken> {
    let mut rules = Rules::new();
    for part in parts {
        rules.take(part);
    }
    rules.end()
}
