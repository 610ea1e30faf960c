//! A server whose expected numbers can be worked out by hand, and helpers to drive it.
#![allow(dead_code)]

use jaspershunt::*;

pub fn class(name: &str, worth: f64, repeat: Repeat) -> Class {
    Class {
        name: name.to_string(),
        worth,
        late_worth: 0.0,
        aim: 2.0,
        aim_stretch: 0.0,
        deadline: 4.0,
        repeat,
        calls: true,
        skip_worth: 0.0,
    }
}

/// Two cores; class 0 is safe, class 1 keyed for 10 s, class 2 unsafe.
pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class("read", 1.0, Repeat::Safe),
            class("keyed", 1.0, Repeat::Keyed(10.0)),
            class("unsafe", 1.0, Repeat::Unsafe),
        ],
        tenants: Vec::new(),
        over_share_worth: 1.0,
        worth_by: WorthBy::Request,
        servers: 4,
        cores: 2,
        cold: false,
        cold_from: 0.25,
        cold_for: 10.0,
        crowd_multiple: 5.0,
        crowd_over: 2.0,
        memory_kb: 10_000.0,
        run_factor: 8.0,
        key_kb: 100.0,
        fresh_for: 0.0,
        halt: StopMode::Pause,
        below: DependencyModel::Shared { fair_calls: 4.0, over: 5.0 },
        linger: 0.2,
        say: CallerFeedback::Credit,
        readiness: true,
        max_stay_away: 1.0,
        drain_grace: 2.0,
        tick: 0.005,
        marks_retry: true,
        idle: 30.0,
    }
}

pub fn request(id: u64, class: usize, caller: u64) -> Request {
    Request {
        id: RequestId(id),
        class,
        tenant: None,
        caller: CallerId(caller),
        waited: 0.0,
        time_left: None,
        cost_hint: None,
        held_kb: 10.0,
        rank: 0.5,
        retry: false,
        repeats: None,
    }
}

pub fn arrived(id: u64, class: usize, caller: u64) -> Event {
    Event::Arrived(request(id, class, caller))
}

pub fn repeated(id: u64, class: usize, of: u64) -> Event {
    Event::Arrived(Request { repeats: Some(RequestId(of)), ..request(id, class, 1) })
}

pub fn ended(id: u64, outcome: Outcome) -> Event {
    Event::Ended { id: RequestId(id), outcome }
}

pub struct Server(pub Controller);

impl Server {
    pub fn new(settings: Settings) -> Server {
        Server(Controller::new(settings).expect("valid settings"))
    }

    pub fn step(&mut self, now: f64, events: &[Event]) -> Vec<Action> {
        let mut out = Vec::new();
        self.0.step(now, events, &mut out);
        out
    }
}

pub fn runs(actions: &[Action]) -> Vec<u64> {
    let run = |a: &Action| if let Action::Run(id) = a { Some(id.0) } else { None };
    actions.iter().filter_map(run).collect()
}

pub fn refused(actions: &[Action]) -> Vec<u64> {
    let refuse = |a: &Action| if let Action::Refuse { id, .. } = a { Some(id.0) } else { None };
    actions.iter().filter_map(refuse).collect()
}

pub fn failed(actions: &[Action]) -> Vec<u64> {
    let fail = |a: &Action| if let Action::Fail(id) = a { Some(id.0) } else { None };
    actions.iter().filter_map(fail).collect()
}

pub fn stopped(actions: &[Action]) -> Vec<u64> {
    let stop = |a: &Action| if let Action::Stop(id) = a { Some(id.0) } else { None };
    actions.iter().filter_map(stop).collect()
}

pub fn advertised(actions: &[Action]) -> Option<f64> {
    actions.iter().rev().find_map(|a| if let Action::Say(value) = a { Some(*value) } else { None })
}

pub fn calls(actions: &[Action]) -> Vec<u64> {
    let call = |a: &Action| if let Action::Call { id, .. } = a { Some(id.0) } else { None };
    actions.iter().filter_map(call).collect()
}
