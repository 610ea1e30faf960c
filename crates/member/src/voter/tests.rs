use super::*;
use redb::backends::InMemoryBackend;

/// An entry that cannot be parsed counts as applied, so that it does not block later ones.
#[test]
fn an_unparsable_entry_is_skipped() {
    let setup = VoterSetup {
        fleet: "cordoba".into(),
        configured_voters: vec!["n1".into()],
        timing: LeaseTiming { ttl: Duration::from_secs(1), drift_permille: 50 },
        tick: Duration::from_millis(10),
        parts: crate::member::no_parts,
        part_proposals: crate::member::no_part_proposals,
    };
    let me = Holder::new("n1", 1);
    let mut voter = Voter::open(Box::new(InMemoryBackend::new()), setup, me, [5, 6], Duration::ZERO).unwrap();
    // The state that `Store::bootstrap` writes, without opening the disk a second time.
    let state = VoterState::founded(5, "n1");
    voter.store.bootstrap(5, state.save()).unwrap();
    let membership = Membership { voters: vec![5], learners: Vec::new() };
    let snapshot = Snapshot { index: 1, term: 1, membership: membership.clone(), data: state.save() };
    let mut hard = eraftpb::HardState::default();
    (hard.term, hard.commit) = (1, 1);
    let config = Config {
        id: 5,
        applied: 1,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        ..Config::default()
    };
    let quiet = slog::Logger::root(slog::Discard, slog::o!());
    voter.node = RawNode::new(&config, Log::new(hard, snapshot, Vec::new()), &quiet).unwrap();
    (voter.state, voter.membership, voter.applied) = (state, membership, (1, 1));
    let mut now = Duration::ZERO;
    while !voter.is_leader() {
        now += Duration::from_millis(10);
        voter.tick(now, now).unwrap();
        assert!(now < Duration::from_secs(5), "it does not become leader");
    }
    let (before, state) = (voter.applied.1, voter.fleet().clone());
    voter.node.propose(vec![1], vec![0xff; 3]).unwrap();
    voter.process_ready(now).unwrap();
    assert_eq!((voter.applied.1, voter.fleet()), (before + 1, &state));
}
