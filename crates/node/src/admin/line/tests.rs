use super::*;
use proptest::prelude::*;

const KNOWN: [(&str, Call); 4] =
    [("PING", Call::Ping), ("INFO", Call::Info), ("LAMEDUCK", Call::Lameduck), ("REJOIN", Call::Rejoin)];

#[test]
fn a_call_is_parsed_only_once_its_line_is_complete() {
    for (word, call) in KNOWN {
        for end in ["\n", "\r\n", " \r\n", "\nPING\n"] {
            let text = format!("{word}{end}");
            let whole = text.find('\n').unwrap();
            for cut in 0..=text.len() {
                let expected = if cut > whole { Ok(Some(call.clone())) } else { Ok(None) };
                assert_eq!(read(&text.as_bytes()[..cut]), expected, "{text:?} cut at {cut}");
            }
        }
    }
}

#[test]
fn fleet_calls_name_a_task_or_a_lease() {
    let read = |line: &str| read(line.as_bytes());
    assert_eq!(read("FLEET SHOW\n"), Ok(Some(Call::Fleet(Fleet::Show))));
    assert_eq!(read("fleet run cierre\r\n"), Ok(Some(Call::Fleet(Fleet::Run("cierre".into())))));
    assert_eq!(
        read("FLEET RELEASE task/cierre\n"),
        Ok(Some(Call::Fleet(Fleet::Release("task/cierre".into()))))
    );
    for line in ["FLEET\n", "FLEET RUN\n", "FLEET RUN a b\n", "FLEETSHOW\n", "FLEET RUN a%\n"] {
        assert_eq!(read(line), Err(NoCall::Unknown), "{line:?}");
    }
}

#[test]
fn route_table_messages_state_their_length() {
    let read = |line: &str| read(line.as_bytes());
    assert_eq!(read("ROUTES SHOW\r\n"), Ok(Some(Call::Routes(Routes::Show))));
    assert_eq!(read("routes say 7000\n{"), Ok(Some(Call::Routes(Routes::Say(7000)))));
    for line in
        ["ROUTES\n", "ROUTES SAY\n", "ROUTES SAY -1\n", "ROUTES SAY 7 7\n", "ROUTES SAY 99999999999\n"]
    {
        assert_eq!(read(line), Err(NoCall::Unknown), "{line:?}");
    }
}

#[test]
fn other_lines_are_rejected() {
    for line in ["\n", "PIN\n", "PINGS\n", "PING INFO\n", " PING\n", "\0PING\n", "GET / HTTP/1.1\r\n"] {
        assert_eq!(read(line.as_bytes()), Err(NoCall::Unknown), "{line:?}");
    }
    assert_eq!(read(&[b'P'; MAX_LINE]), Err(NoCall::TooLong));
    assert_eq!(read(&[b'P'; MAX_LINE - 1]), Ok(None));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn garbage_is_rejected_within_the_length_limit(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        match read(&bytes) {
            Ok(None) => prop_assert!(bytes.len() < MAX_LINE && !bytes.contains(&b'\n')),
            Ok(Some(call)) => {
                let line = String::from_utf8(bytes[..bytes.iter().position(|b| *b == b'\n').unwrap()].to_vec()).unwrap();
                prop_assert!(KNOWN.iter().any(|(word, known)| *known == call && line.trim_end().eq_ignore_ascii_case(word)));
            }
            Err(NoCall::TooLong) => prop_assert!(!bytes[..MAX_LINE].contains(&b'\n')),
            Err(why) => prop_assert_eq!(why, NoCall::Unknown),
        }
    }
}
