//! New settings while requests wait, run and are at calls.

mod common;

use common::*;
use jaspershunt::*;

fn adopt(settings: &Settings) -> Event {
    Event::Settings(Box::new(settings.clone()))
}

/// One core, so that the second request of two waits; class 1 is keyed.
fn server() -> (Settings, Server) {
    let mut set = settings();
    set.cores = 1;
    (set.clone(), Server::new(set))
}

/// Held, running and at a call: each keeps its deadline and its repeat rule, whatever the class is called now.
#[test]
fn open_requests_keep_the_class_they_came_with() {
    let (mut set, mut server) = server();
    assert_eq!(runs(&server.step(0.0, &[arrived(1, 1, 1)])), [1]);
    server.step(0.0, &[arrived(2, 0, 2), arrived(3, 1, 3)]);
    let running = 1;
    let actions = server.step(0.1, &[Event::CallWanted { id: RequestId(running) }]);
    assert_eq!(calls(&actions), [running]);
    // The class of the first is gone and comes back as another, behind; tenants come too, and move every lane.
    set.classes.push(Class { deadline: 1.0, aim: 0.5, ..class("keyed", 9.0, Repeat::Safe) });
    set.tenants.push(Tenant { name: "acme".to_string(), share: 1.0, allowance: 9.0 });
    let actions = server.step(0.2, &[adopt(&set)]);
    assert!(failed(&actions).is_empty() && refused(&actions).is_empty(), "nothing ends by it: {actions:?}");
    let actions =
        server.step(0.3, &[Event::CallEnded { id: RequestId(running), outcome: Outcome::Done, took: 0.2 }]);
    assert!(failed(&actions).is_empty());
    // It falls due as it would have, and fails, as its class is keyed where it came from.
    assert!(failed(&server.step(1.9, &[])).is_empty());
    assert_eq!(failed(&server.step(1.99, &[])), [running]);
}

#[test]
fn a_class_that_was_added_is_run_and_what_waits_still_starts() {
    let (mut set, mut server) = server();
    let first = runs(&server.step(0.0, &[arrived(1, 0, 1), arrived(2, 0, 2)]));
    set.classes.push(class("fresh", 5.0, Repeat::Safe));
    server.step(0.1, &[adopt(&set), arrived(3, 3, 3)]);
    let next = runs(&server.step(0.2, &[ended(first[0], Outcome::Done)]));
    assert_eq!(next, [3], "the worthier class goes first");
    assert_eq!(runs(&server.step(0.3, &[ended(3, Outcome::Done)])), [2]);
}

#[test]
fn new_bounds_hold_from_the_next_start_on_and_settings_that_make_no_sense_change_nothing() {
    let (set, mut server) = server();
    server.step(0.0, &[arrived(1, 0, 1), arrived(2, 0, 2)]);
    let before = server.0.save();
    for bad in
        [Settings { cores: 0, ..set.clone() }, Settings { classes: set.classes[..1].to_vec(), ..set.clone() }]
    {
        let mut other = Server(Controller::load(&before).unwrap());
        other.step(0.0, &[adopt(&bad)]);
        let mut same = Server(Controller::load(&before).unwrap());
        same.step(0.0, &[]);
        assert_eq!(other.0.save(), same.0.save());
    }
    assert_eq!(runs(&server.step(0.1, &[adopt(&Settings { cores: 2, ..set })])), [2]);
}
