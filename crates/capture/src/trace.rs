//! Traces one request through a capture: its events, the decisions on it, and the metrics behind them.

use crate::reader::Part;
use crate::record::{AuxiliarySteps, Record, Round};
use jaspershunt::{
    Action, Controller, DecisionMetrics, Event, Outcome, Repeat, Request, RequestId, Settings,
};
use jaspershunt_dependencies::Action as DependencyAction;
use std::fmt::Write;

/// An event of the request or a decision on it.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceEntry {
    /// The time of the module's clock, in seconds.
    pub at: f64,
    /// A description of the event or decision.
    pub what: String,
}

/// The trace of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The correlation id, if the capture has it.
    pub name: Option<String>,
    /// The request.
    pub request: Request,
    /// The events and decisions, in order.
    pub entries: Vec<TraceEntry>,
    /// Whether the end of the request is in the capture.
    pub ended: bool,
}

impl Trace {
    /// Formats the trace. Times count from the arrival at the machine.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let name = self.name.as_deref().unwrap_or("?");
        let began = self.entries.first().map_or(0.0, |first| first.at) - self.request.waited;
        // Writing to a String cannot fail.
        let _ = writeln!(text, "request {name} (number {})", self.request.id.0);
        for entry in &self.entries {
            let _ = writeln!(text, "  {:8.3} s  {}", entry.at - began, entry.what);
        }
        if !self.ended {
            let _ = writeln!(text, "            the capture ends before the request");
        }
        text
    }
}

/// Traces the request with the given correlation id or number through a capture. The rounds are replayed to
/// obtain the metrics at each decision.
pub fn trace(parts: &[Part], wanted: &str) -> Option<Trace> {
    let number = wanted.parse::<u64>().ok().map(RequestId);
    let mut builder = TraceBuilder { module: None, settings: None, trace: None };
    for part in parts {
        let Part::Block { records, .. } = part else {
            builder.module = None;
            continue;
        };
        for record in records {
            match record {
                Record::Header(header) => builder.settings = Some(header.settings.clone()),
                Record::Gap { .. } => builder.module = None,
                Record::Snapshot(state) => builder.module = Controller::load(state).ok(),
                Record::AuxiliaryStates(_) => {}
                Record::AuxiliarySteps(steps) => builder.auxiliary_steps(steps),
                Record::Round(round) => {
                    builder.round(round, wanted, number);
                    if builder.trace.as_ref().is_some_and(|trace| trace.ended) {
                        return builder.trace;
                    }
                }
            }
        }
    }
    builder.trace
}

struct TraceBuilder {
    module: Option<Controller>,
    settings: Option<Settings>,
    trace: Option<Trace>,
}

impl TraceBuilder {
    fn round(&mut self, round: &Round, wanted: &str, number: Option<RequestId>) {
        let before = self.module.as_ref().map(|module| module.decision_metrics());
        for event in &round.events {
            self.event(round, event, wanted, number, before);
        }
        if let Some(module) = &mut self.module {
            module.step(round.now, &round.events, &mut Vec::new());
        }
        for action in &round.actions {
            self.action(round, action, before);
        }
    }

    /// Adds the notes of the dependency decisions while the request is open. Their decisions on its calls
    /// show in how the calls end.
    fn auxiliary_steps(&mut self, steps: &AuxiliarySteps) {
        for step in &steps.dependencies {
            for action in &step.actions {
                if let DependencyAction::Note(text) = action {
                    self.push(step.now.as_secs_f64(), format!("meanwhile: {text}"));
                }
            }
        }
    }

    fn push(&mut self, at: f64, what: String) {
        if let Some(trace) = &mut self.trace {
            trace.entries.push(TraceEntry { at, what });
        }
    }

    fn event(
        &mut self,
        round: &Round,
        event: &Event,
        wanted: &str,
        number: Option<RequestId>,
        before: Option<DecisionMetrics>,
    ) {
        if let Event::Settings(settings) = event {
            self.settings = Some((**settings).clone());
        }
        if let Event::Arrived(request) = event {
            let name = round.names.iter().find(|(id, _)| *id == request.id).map(|(_, name)| name.clone());
            if self.trace.is_none() && (name.as_deref() == Some(wanted) || number == Some(request.id)) {
                self.trace =
                    Some(Trace { name, request: request.clone(), entries: Vec::new(), ended: false });
                let what = self.arrival(request, before);
                self.push(round.now, what);
            }
            return;
        }
        let Some(id) = self.trace.as_ref().map(|trace| trace.request.id) else { return };
        match event {
            Event::Ended { id: this, outcome } if *this == id => {
                let what = match outcome {
                    Outcome::Done => "run completed; served".to_string(),
                    Outcome::Failed => "run failed; answered with a failure".to_string(),
                    Outcome::Stopped => "run was stopped".to_string(),
                    other => format!("run ended: {other:?}"),
                };
                self.push(round.now, what);
                let over = matches!(outcome, Outcome::Done | Outcome::Failed);
                self.trace.iter_mut().for_each(|trace| trace.ended |= over);
            }
            Event::CallWanted { id: this } if *this == id => {
                self.push(round.now, "run requests a call and is parked off the cores".to_string());
            }
            Event::CallEnded { id: this, outcome, took } if *this == id => {
                self.push(round.now, format!("call ended after {:.0} ms: {outcome:?}", took * 1000.0));
            }
            Event::Withdrawn { id: this } if *this == id => {
                self.push(round.now, "withdrawn: its caller is gone and no answer is owed".to_string());
                self.trace.iter_mut().for_each(|trace| trace.ended = true);
            }
            _ => {}
        }
    }

    fn arrival(&self, request: &Request, metrics: Option<DecisionMetrics>) -> String {
        let class = self.settings.as_ref().and_then(|set| set.classes.get(request.class));
        let class = class.map_or("?", |class| class.name.as_str());
        let mut what = format!("read: class {class}, caller {}", request.caller.0);
        let _ = write!(what, ", {:.0} ms after arrival at the machine", request.waited * 1000.0);
        if request.retry {
            what.push_str(", marked as a retry");
        }
        if let Some(first) = request.repeats {
            let _ = write!(what, ", repeats request {}", first.0);
        }
        if let Some(metrics) = metrics {
            let _ = write!(what, "; {}", metrics_text(&metrics));
        }
        what
    }

    fn action(&mut self, round: &Round, action: &Action, before: Option<DecisionMetrics>) {
        let Some(trace) = &self.trace else { return };
        let id = trace.request.id;
        let begun = trace.entries.iter().any(|entry| entry.what.starts_with("run:"));
        let what = match action {
            Action::Run(this) if *this == id => "run: started on a core".to_string(),
            Action::Stop(this) if *this == id => "run is being stopped".to_string(),
            Action::ServeFrom(this) if *this == id => {
                "served from another run with the same operation key".to_string()
            }
            Action::Call { id: this, give_up_after } if *this == id => {
                format!("call made with a timeout of {:.0} ms", give_up_after * 1000.0)
            }
            Action::SkipCall(this) if *this == id => "continues without the call".to_string(),
            Action::Fail(this) if *this == id => "failed".to_string(),
            Action::Refuse { id: this, stay_away, last } if *this == id => {
                let why = match before {
                    Some(metrics) => self.why_refused(round, begun, &metrics),
                    None => "reason unknown, since the capture has no state for this time".to_string(),
                };
                let last = if *last { " and no retry elsewhere" } else { "" };
                format!("refused, retry after {:.0} ms{last}: {why}", stay_away * 1000.0)
            }
            _ => return,
        };
        let over = matches!(action, Action::Refuse { .. } | Action::Fail(_));
        self.push(round.now, what);
        self.trace.iter_mut().for_each(|trace| trace.ended |= over);
    }

    /// Infers the reason of a refusal from the metrics and the events of the round, since the module
    /// reports none.
    fn why_refused(&self, round: &Round, begun: bool, before: &DecisionMetrics) -> String {
        let (Some(trace), Some(settings), Some(module)) = (&self.trace, &self.settings, &self.module) else {
            return String::new();
        };
        let request = &trace.request;
        let Some(class) = settings.classes.get(request.class) else { return String::new() };
        let read_at = trace.entries.first().map_or(round.now, |first| first.at);
        let arrived = read_at - request.waited;
        let needs = module.expected_run_time(request.class, request.cost_hint);
        let (aim, left) = (arrived + class.aim - round.now, arrived + class.deadline - round.now);
        let newer = round.events.iter().any(|event| {
            matches!(event, Event::Arrived(other) if other.repeats == Some(request.id) && other.id != request.id)
        });
        let after = module.decision_metrics();
        // The refused request is no longer counted by the module, so it is added.
        let here = module.in_flight_requests_of(request.caller) + 1.0;
        let keyed = matches!(class.repeat, Repeat::Keyed(_));
        let reason = if newer && keyed {
            "replaced by a newer try of the same request".to_string()
        } else if after.leaving && !before.leaving || after.leaving && !begun && round.now <= read_at {
            "the nodo is leaving and the request arrived after the drain grace".to_string()
        } else if begun || left <= 0.05 {
            format!("deadline reached: {:.0} ms left until it", left.max(0.0) * 1000.0)
        } else if round.now <= read_at && before.free_memory_kb < request.held_kb * settings.run_factor {
            format!("not enough memory: {:.0} kB free", before.free_memory_kb)
        } else if aim < needs {
            format!(
                "cannot finish in time: {:.0} ms left until its target, expected run time {:.0} ms",
                aim.max(0.0) * 1000.0,
                needs * 1000.0
            )
        } else if before.queued_requests + 1.0 > before.queue_limit && here > before.caller_credit {
            format!(
                "queue is full and its caller exceeds its credit: {here:.0} requests in flight, credit {:.1}",
                before.caller_credit
            )
        } else if before.queued_requests + 1.0 > before.queue_limit {
            "queue is full, and the requests ahead would delay it past its target".to_string()
        } else {
            "displaced by a request of higher worth".to_string()
        };
        format!("{reason}; {}", metrics_text(before))
    }
}

/// Formats the metrics behind a decision.
fn metrics_text(metrics: &DecisionMetrics) -> String {
    let mut text = format!(
        "{:.0} queued (N_sess) of {:.1} (N_max), {:.0} running of {:.1}, {:.0} parked in calls, \
         service rate (μ) {:.1}/s, credit {:.1} for {:.0} callers",
        metrics.queued_requests,
        metrics.queue_limit,
        metrics.running,
        metrics.run_limit,
        metrics.parked,
        metrics.service_rate,
        metrics.caller_credit,
        metrics.active_callers
    );
    if metrics.retry_storm {
        text.push_str(", retry storm");
    }
    text
}

#[cfg(test)]
mod tests;
