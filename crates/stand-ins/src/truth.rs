//! Checks a nodo's answers against the records of the fakes.

use crate::balancer::{Answer, Request};
use crate::dependency::{Dependency, Ended};
use crate::interpreter::{CallResult, Interpreter, RunRecord};
use std::collections::{BTreeMap, BTreeSet};

/// A request and its answer.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The request.
    pub request: Request,
    /// The answer.
    pub answer: Answer,
}

/// Mismatches, one line per case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Answers whose labels differ from the records.
    pub labels: Vec<String>,
    /// Keys of which more than one try ran.
    pub doubled: Vec<String>,
    /// Answers of keyed classes that are incomplete or were made from cached replies, whatever their labels.
    pub partial: Vec<String>,
    /// Requests without a complete answer.
    pub unanswered: Vec<String>,
    /// Tries that were refused although they ran.
    pub refused: Vec<String>,
    /// Calls of keyed classes that were repeated after a call that may have had its effect.
    pub repeated: Vec<String>,
}

impl Faults {
    /// Returns whether there are no mismatches.
    pub fn is_empty(&self) -> bool {
        *self == Faults::default()
    }
}

/// Labels that an answer should carry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Truth {
    lacks: bool,
    stale: bool,
}

/// Compares all requests and answers with the records.
pub fn check(sent: &[Sent], interpreter: &Interpreter, dependencies: &[&Dependency]) -> Faults {
    let mut faults = Faults::default();
    let runs = interpreter.runs();
    let mut by_uid: BTreeMap<&str, &RunRecord> = BTreeMap::new();
    let mut tries: BTreeMap<(&str, &[u8]), usize> = BTreeMap::new();
    for run in runs.iter() {
        by_uid.insert(&run.uid, run);
        *tries.entry((&run.class, &run.body)).or_default() += 1;
    }
    let mut keyed: BTreeSet<&str> = BTreeSet::new();
    let succeeded: BTreeSet<(String, Vec<u8>)> = dependencies
        .iter()
        .flat_map(|d| {
            let record = d.record();
            let succeeded = record.calls.iter().filter(|call| call.ended == Ended::Succeeded);
            succeeded.map(|call| (call.uid.clone(), call.body.clone())).collect::<Vec<_>>()
        })
        .collect();
    for one in sent {
        let uid = one.answer.uid.as_str();
        let is_keyed = one.request.key.is_some();
        if one.answer.status == 0 {
            faults.unanswered.push(format!("{uid} of {}", one.request.class));
        }
        let ran = by_uid.get(uid).copied();
        if is_keyed {
            keyed.insert(uid);
            let runs_of_key = tries.get(&(one.request.class.as_str(), one.request.body.as_slice()));
            if one.answer.status == 503 && runs_of_key.is_some() && ran.is_some() {
                faults.refused.push(format!("{uid} of {}", one.request.class));
            }
        }
        if one.answer.status != 200 {
            continue;
        }
        // A repeat is answered with the result of another try of its key.
        let same = |run: &&RunRecord| {
            run.class == one.request.class && run.body == one.request.body && run.end == Some("OK")
        };
        let Some(run) = ran.or_else(|| runs.iter().find(same)) else {
            faults.labels.push(format!("{uid} was served with a result that no run produced"));
            continue;
        };
        let truth = truth(run, &succeeded);
        let labels = Truth {
            lacks: one.answer.header("x-answer-lacks").is_some(),
            stale: one.answer.header("x-answer-stale-ms").is_some(),
        };
        if labels != truth {
            faults
                .labels
                .push(format!("{uid} of {} is labeled {labels:?}, expected {truth:?}", one.request.class));
        }
        if is_keyed && truth != Truth::default() {
            faults.partial.push(format!("{uid} of {}: {truth:?}", one.request.class));
        }
    }
    for ((class, body), runs) in &tries {
        let of_key = |one: &&Sent| {
            one.request.key.is_some() && one.request.class == **class && one.request.body == **body
        };
        if *runs > 1 && sent.iter().any(|one| of_key(&one)) {
            faults.doubled.push(format!("{class} {} ran {runs} times", String::from_utf8_lossy(body)));
        }
    }
    let mut effects: BTreeMap<(String, Vec<u8>), usize> = BTreeMap::new();
    for dependency in dependencies {
        for call in &dependency.record().calls {
            if keyed.contains(call.uid.as_str()) && call.ended != Ended::Rejected {
                *effects.entry((call.uid.clone(), call.body.clone())).or_default() += 1;
            }
        }
    }
    for ((uid, body), made) in effects.into_iter().filter(|(_, made)| *made > 1) {
        faults.repeated.push(format!("{uid} {} was made {made} times", String::from_utf8_lossy(&body)));
    }
    faults
}

/// Derives the labels of a run's answer: incomplete if a call was skipped, stale if a reply does not come
/// from a successful call made for this run.
fn truth(run: &RunRecord, succeeded: &BTreeSet<(String, Vec<u8>)>) -> Truth {
    let mut truth = Truth::default();
    for (index, result) in run.call_results.iter().enumerate() {
        let call = [&run.body[..], format!("#{}", index + 1).as_bytes()].concat();
        match result {
            CallResult::Nothing => truth.lacks = true,
            CallResult::Reply(_) => truth.stale |= !succeeded.contains(&(run.uid.clone(), call)),
        }
    }
    truth
}
