use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn fixed() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() }
}

fn every_message() -> Vec<Message> {
    let entry = |state| Entry { key: "k".into(), digest: u64::MAX, until: 1.76e9, state };
    let work = Work {
        uid: "0123456789abcdef".into(),
        class: 1,
        tenant: Some(0),
        caller: CallerId(4),
        arrived: Some(1.76e9),
        caller_timeout: Some(0.48),
        resent: true,
        cost_hint: None,
        held_kb: 24.5,
        rank: 0.5,
        key: Some("k".into()),
        body: vec![7; 2048],
    };
    vec![
        Message::Hello { version: VERSION, name: "n3".to_string(), listen: "127.0.0.1:1".to_string() },
        Message::Welcome { lameduck: true },
        Message::NotNow { why: "no".to_string() },
        Message::Begin,
        Message::Table(vec![
            entry(State::InFlight),
            entry(State::Done(vec![1; 4096].into())),
            entry(State::Failed),
        ]),
        Message::Yours { doubt: Some((1.76e9, 1.77e9)) },
        Message::Ready,
        Message::Work { ticket: 9, work: RelayedWork::new(work, "sign", Some("acme")) },
        Message::Gone { ticket: 9 },
        Message::Reply {
            ticket: 9,
            reply: Reply::new(Answer::Served(vec![2; 4096].into()), Some(1.5)).into(),
        },
        Message::Ended(entry(State::NeverRan)),
        Message::Connection { input: vec![3; 65_544], used: true, waited_ms: Some(7) },
        Message::Lameduck { on: false },
        Message::Load(Load { kb: 1.5, running: 2, descriptors: 3 }),
        Message::Farewell,
        Message::Yield { version: VERSION, name: "n3".to_string(), listen: "127.0.0.1:1".to_string() },
        Message::Yielded,
        Message::Alive,
        Message::Listener,
    ]
}

#[test]
fn messages_decode_equally_however_the_bytes_are_split() {
    let mut bytes = Vec::new();
    assert!(every_message().iter().all(|message| write(message, &mut bytes)));
    for step in [1, 7, 4099] {
        let (mut input, mut read) = (Vec::new(), Vec::new());
        for piece in bytes.chunks(step) {
            input.extend(piece);
            while let Some(message) = next(&mut input).unwrap() {
                read.push(message);
            }
        }
        assert_eq!(read, every_message());
        assert!(input.is_empty());
    }
}

#[test]
fn every_piece_of_a_table_fits_a_message_and_longer_messages_are_refused() {
    let entry = |bytes| Entry {
        key: "k".repeat(128).into(),
        digest: 1,
        until: 2.0,
        state: State::Done(vec![0; bytes].into()),
    };
    let sizes = [4096; 100].into_iter().chain([65_536; 9]).chain([0; 100]);
    let table: Vec<Entry> = sizes.map(entry).collect();
    let pieces = pieces(table.clone());
    assert_eq!(pieces.concat(), table);
    let mut bytes = Vec::new();
    for piece in pieces {
        assert!(piece.len() <= MAX_PIECE_ENTRIES && write(&Message::Table(piece), &mut bytes));
    }
    let before = bytes.len();
    assert!(!write(&Message::Table(vec![entry(MAX_MESSAGE_BYTES)]), &mut bytes));
    assert_eq!(bytes.len(), before);
    // An excessive length is refused before its bytes arrive.
    assert_eq!(next(&mut u32::MAX.to_le_bytes().to_vec()), Err(InvalidMessage));
}

#[test]
fn a_relayed_try_is_unchanged_and_is_none_where_its_class_or_tenant_is_unknown() {
    let Some(Message::Work { work, .. }) =
        every_message().into_iter().find(|m| matches!(m, Message::Work { .. }))
    else {
        panic!("no message with a try")
    };
    let there = work
        .clone()
        .work(|name| (name == "sign").then_some(5), |name| (name == "acme").then_some(6))
        .unwrap();
    assert_eq!(
        (there.class, there.tenant, &*there.uid, there.body.len()),
        (5, Some(6), "0123456789abcdef", 2048)
    );
    assert_eq!(work.clone().work(|_| None, |_| Some(0)), None);
    assert_eq!(work.work(|_| Some(0), |_| None), None);
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn random_bytes_are_refused_or_kept_and_never_grow(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let mut input = bytes.clone();
        while let Ok(Some(_)) = next(&mut input) {}
        prop_assert!(input.len() <= bytes.len());
    }
}

/// The longest operation key is no correlation id, and an id survives the message.
#[test]
fn entries_of_ids_differ_from_those_of_keys() {
    let entry = Entry::of_id("9b1f03aa5c7e2d41", 5.0);
    assert_eq!(entry.id(), Some("9b1f03aa5c7e2d41"));
    let key = "k".repeat(MAX_KEY_BYTES).into();
    assert_eq!(Entry { key, ..entry }.id(), None);
}
