//! Tests of the link to the interpreter.

use super::*;

fn uid() -> Rc<str> {
    "ab".into()
}

/// Returns the commands that would be resent after a reconnect.
fn unconfirmed(state: &LinkState) -> Vec<&'static str> {
    let name = |command: &Command| match command {
        Command::Apply { .. } => "apply",
        Command::Break { .. } => "break",
        Command::Continue { .. } => "continue",
        Command::Resolve { .. } => "resolve",
        Command::Stub { .. } => "stub",
        Command::Gauges { .. } => "gauges",
    };
    state.unconfirmed.iter().map(|sent| name(&sent.command)).collect()
}

#[test]
fn commands_that_a_run_has_processed_are_not_resent() {
    let (mut state, mut out) = (LinkState::default(), Vec::new());
    let wait = |pos| Message::Await { pos, uid: uid(), content: vec![] };
    state.send(Command::Apply { uid: uid(), class: "c".into(), body: [].into() }, &mut out);
    assert_eq!(unconfirmed(&state), ["apply"]);
    assert!(state.accept(wait(1)).is_some());
    state.send(Command::Resolve { uid: uid(), content: vec![].into() }, &mut out);
    // A repeated message confirms nothing sent since.
    assert!(state.accept(wait(1)).is_none());
    assert_eq!(unconfirmed(&state), ["resolve"]);
    // Otherwise the next call would be answered with the reply to this one.
    assert!(state.accept(wait(2)).is_some());
    state.send(Command::Stub { uid: uid(), pos: 2 }, &mut out);
    state.send(Command::Break { uid: uid() }, &mut out);
    assert_eq!(unconfirmed(&state), ["stub", "break"]);
    assert!(state.accept(wait(3)).is_some());
    assert_eq!(unconfirmed(&state), ["break"], "a stop command stays unconfirmed");
    assert!(state.accept(Message::Value { pos: 4, uid: uid(), end: RunEnd::Stopped }).is_some());
    assert!(unconfirmed(&state).is_empty());
}

// Guards against a call that is taken for answered with the reply to the call before it: see [`Message::AmbiguousReply`].
#[test]
fn a_call_before_the_second_copy_of_a_reply_is_confirmed_is_ambiguous() {
    let wait = |pos| Message::Await { pos, uid: uid(), content: vec![] };
    for (confirmed, breaks) in [(false, 1), (false, 2), (true, 1)] {
        let (mut state, mut out) = (LinkState::default(), Vec::new());
        assert_eq!(state.accept(wait(1)), Some(wait(1)));
        state.send(Command::Resolve { uid: uid(), content: vec![].into() }, &mut out);
        assert!(!state.has_resent_reply(&uid()), "one copy can only reach the call that it is for");
        for _ in 0..breaks {
            state.resend(&mut out);
        }
        let echo = format!(r#""echo":"0-{}""#, state.sent);
        assert!(String::from_utf8(out.clone()).unwrap().trim_end().ends_with(&format!("{echo}}}")));
        if confirmed {
            state.accept(Message::Gauges { tag: 0, vouches: state.sent, readings: vec![] });
            assert_eq!(state.accept(wait(2)), Some(wait(2)));
        } else {
            assert_eq!(state.accept(wait(2)), Some(Message::AmbiguousReply { pos: 2, uid: uid() }));
        }
        assert!(unconfirmed(&state).is_empty());
        assert_eq!(state.accept(wait(3)), Some(wait(3)));
    }
}

#[test]
fn gauges_confirm_only_the_commands_before_them() {
    let (mut state, mut out) = (LinkState::default(), Vec::new());
    state.send(Command::Break { uid: uid() }, &mut out);
    state.send(Command::Gauges { tag: 7 }, &mut out);
    state.send(Command::Stub { uid: uid(), pos: 1 }, &mut out);
    let line = String::from_utf8(out).unwrap();
    assert!(line.contains(r#""echo":"7-1""#), "{line}");
    state.accept(Message::Gauges { tag: 7, vouches: 1, readings: vec![] });
    assert_eq!(unconfirmed(&state), ["stub"]);
}
