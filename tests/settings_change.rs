//! New settings while requests are queued, running and at calls.

mod common;

use common::*;
use jaspershunt::*;

fn new_settings(settings: &Settings) -> Event {
    Event::Settings(Box::new(settings.clone()))
}

/// One core, so that the second of two requests is queued; class 1 is keyed.
fn server() -> (Settings, Server) {
    let mut set = settings();
    set.cores = 1;
    (set.clone(), Server::new(set))
}

/// Queued, running and at a call: each request keeps its deadline and repeat rule when its class changes.
#[test]
fn in_flight_requests_keep_the_class_they_arrived_with() {
    let (mut set, mut server) = server();
    assert_eq!(runs(&server.step(0.0, &[arrived(1, 1, 1)])), [1]);
    server.step(0.0, &[arrived(2, 0, 2), arrived(3, 1, 3)]);
    let running = 1;
    let actions = server.step(0.1, &[Event::CallWanted { id: RequestId(running) }]);
    assert_eq!(calls(&actions), [running]);
    // A class with the name of the first request's class is appended; a new tenant moves every lane.
    set.classes.push(Class { deadline: 1.0, aim: 0.5, ..class("keyed", 9.0, Repeat::Safe) });
    set.tenants.push(Tenant { name: "acme".to_string(), share: 1.0, allowance: 9.0 });
    let actions = server.step(0.2, &[new_settings(&set)]);
    assert!(
        failed(&actions).is_empty() && refused(&actions).is_empty(),
        "new settings end no request: {actions:?}"
    );
    let actions =
        server.step(0.3, &[Event::CallEnded { id: RequestId(running), outcome: Outcome::Done, took: 0.2 }]);
    assert!(failed(&actions).is_empty());
    // It is due as before, and fails, since the class that it arrived with is keyed.
    assert!(failed(&server.step(1.9, &[])).is_empty());
    assert_eq!(failed(&server.step(1.99, &[])), [running]);
}

#[test]
fn an_added_class_runs_and_queued_requests_still_start() {
    let (mut set, mut server) = server();
    let first = runs(&server.step(0.0, &[arrived(1, 0, 1), arrived(2, 0, 2)]));
    set.classes.push(class("fresh", 5.0, Repeat::Safe));
    server.step(0.1, &[new_settings(&set), arrived(3, 3, 3)]);
    let next = runs(&server.step(0.2, &[ended(first[0], Outcome::Done)]));
    assert_eq!(next, [3], "the class of more worth starts first");
    assert_eq!(runs(&server.step(0.3, &[ended(3, Outcome::Done)])), [2]);
}

#[test]
fn new_limits_apply_from_the_next_start_and_invalid_settings_change_nothing() {
    let (set, mut server) = server();
    server.step(0.0, &[arrived(1, 0, 1), arrived(2, 0, 2)]);
    let before = server.0.save();
    for bad in
        [Settings { cores: 0, ..set.clone() }, Settings { classes: set.classes[..1].to_vec(), ..set.clone() }]
    {
        let mut other = Server(Controller::load(&before).unwrap());
        other.step(0.0, &[new_settings(&bad)]);
        let mut same = Server(Controller::load(&before).unwrap());
        same.step(0.0, &[]);
        assert_eq!(other.0.save(), same.0.save());
    }
    assert_eq!(runs(&server.step(0.1, &[new_settings(&Settings { cores: 2, ..set })])), [2]);
}
