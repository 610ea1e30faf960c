use super::*;
use redb::backends::InMemoryBackend;

/// An entry that cannot be read counts as applied: what waits for it is not held up.
#[test]
fn an_entry_that_cannot_be_read_is_passed_over() {
    let place = Place {
        fleet: "cordoba".into(),
        named: vec!["n1".into()],
        terms: LeaseTiming { ttl: Duration::from_secs(1), drift_permille: 50 },
        tick: Duration::from_millis(10),
        parts: crate::member::no_parts,
        lead: crate::member::no_lead,
    };
    let me = Holder::new("n1", 1);
    let mut voter = Voter::open(Box::new(InMemoryBackend::new()), place, me, [5, 6], Duration::ZERO).unwrap();
    // As founding would have it, without a second opening.
    let agreed = Agreed::founded(5, "n1");
    voter.store.found(5, agreed.save()).unwrap();
    let seats = Conf { voters: vec![5], learners: Vec::new() };
    let snapshot = Snapshot { index: 1, term: 1, seats: seats.clone(), data: agreed.save() };
    let mut hard = eraftpb::HardState::default();
    (hard.term, hard.commit) = (1, 1);
    let config =
        Config { id: 5, applied: 1, election_tick: ELECTION, heartbeat_tick: HEARTBEAT, ..Config::default() };
    let quiet = slog::Logger::root(slog::Discard, slog::o!());
    voter.node = RawNode::new(&config, Log::new(hard, snapshot, Vec::new()), &quiet).unwrap();
    (voter.agreed, voter.conf, voter.applied) = (agreed, seats, (1, 1));
    let mut now = Duration::ZERO;
    while !voter.leads() {
        now += Duration::from_millis(10);
        voter.tick(now, now).unwrap();
        assert!(now < Duration::from_secs(5), "it does not lead");
    }
    let (before, state) = (voter.applied.1, voter.fleet().clone());
    voter.node.propose(vec![1], vec![0xff; 3]).unwrap();
    voter.pump(now).unwrap();
    assert_eq!((voter.applied.1, voter.fleet()), (before + 1, &state));
}
