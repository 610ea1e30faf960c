//! Tests with captures of a small overloaded server: intact, truncated, corrupt and with gaps.

use crate::format::{self, FormatError};
use crate::reader::{Part, parts};
use crate::record::{Header, Record, Round};
use crate::recorder::{Limits, Recorder, Wants};
use crate::replay::{ReplayReport, replay};
use crate::rules::{Rule, check};
use jaspershunt::*;
use std::collections::BTreeMap;

pub(crate) fn settings() -> Settings {
    let class = |name: &str, worth, repeat, skip_worth| Class {
        name: name.to_string(),
        worth,
        late_worth: 0.2,
        aim: 0.5,
        aim_stretch: 0.0,
        deadline: 1.5,
        repeat,
        calls: true,
        skip_worth,
    };
    Settings {
        classes: vec![class("read", 1.0, Repeat::Safe, 0.5), class("sign", 5.0, Repeat::Keyed(5.0), 0.0)],
        tenants: vec![Tenant { name: "acme".into(), share: 1.0, allowance: 20.0 }],
        over_share_worth: 0.05,
        worth_by: WorthBy::Work,
        servers: 3,
        cores: 2,
        cold: true,
        cold_from: 0.3,
        cold_for: 4.0,
        crowd_multiple: 5.0,
        crowd_over: 2.0,
        memory_kb: 3_000.0,
        run_factor: 8.0,
        key_kb: 5.0,
        fresh_for: 0.0,
        halt: StopMode::Drop,
        below: DependencyModel::Shared { fair_calls: 4.0, over: 5.0 },
        linger: 0.2,
        say: CallerFeedback::Credit,
        readiness: true,
        max_stay_away: 1.0,
        drain_grace: 1.0,
        tick: 0.005,
        marks_retry: true,
        idle: 30.0,
    }
}

/// A seeded random number generator (xorshift64*), the same on all platforms.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        (self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 33) % bound
    }
}

/// Simulates an overloaded server in which runs end, calls are lost and callers leave. Before each round,
/// `on_round` gets the module, a function that makes the round from its actions, and a copy of the module to
/// step.
fn simulate_overload(
    seed: u64,
    rounds: u64,
    mut on_round: impl FnMut(&Controller, &dyn Fn(Vec<Action>) -> Round, &mut Controller),
) {
    let mut module = Controller::new(settings()).unwrap();
    let mut random = Random(seed * 2 + 1);
    let mut now = 1e5;
    let (mut next, mut running): (u64, BTreeMap<RequestId, bool>) = (0, BTreeMap::new());
    for number in 1..=rounds {
        // In some rounds no time has passed since the previous one.
        now += random.below(8) as f64 / 1000.0;
        let mut events = Vec::new();
        for _ in 0..random.below(3) {
            next += 1;
            let class = (random.below(4) == 0) as usize;
            let repeats =
                (class == 1 && next > 20 && random.below(5) == 0).then(|| RequestId(next - random.below(20)));
            events.push(Event::Arrived(Request {
                id: RequestId(next),
                class,
                tenant: (random.below(3) > 0).then_some(0),
                caller: CallerId(random.below(6)),
                waited: random.below(20) as f64 / 1000.0,
                time_left: None,
                cost_hint: Some(0.01 + random.below(30) as f64 / 1000.0),
                held_kb: 5.0 + random.below(60) as f64,
                rank: random.below(100) as f64 / 100.0,
                retry: random.below(6) == 0,
                repeats,
            }));
        }
        let in_progress: Vec<(RequestId, bool)> = running.iter().map(|(id, calls)| (*id, *calls)).collect();
        for (id, calls) in in_progress {
            match (calls, random.below(12)) {
                (false, 0) => {
                    running.remove(&id);
                    events.push(Event::Ended { id, outcome: Outcome::Done });
                }
                (false, 1) => events.push(Event::CallWanted { id }),
                (true, 0) => {
                    let outcomes = [
                        Outcome::Done,
                        Outcome::Done,
                        Outcome::Broken,
                        Outcome::GivenUp,
                        Outcome::TurnedAway,
                    ];
                    let outcome = outcomes[random.below(5) as usize];
                    running.insert(id, false);
                    events.push(Event::CallEnded { id, outcome, took: random.below(300) as f64 / 1000.0 });
                }
                (_, 11) if random.below(30) == 0 => events.push(Event::Withdrawn { id }),
                _ => {}
            }
        }
        if random.below(20) == 0 {
            let gauges =
                Gauges { core_use: Some(0.9), on_cores: Some(random.below(9) as f64), ..Gauges::default() };
            events.push(Event::Woke { token: 0, gauges });
        }
        if number + 100 == rounds {
            events.push(Event::Leave { within: 2.0 });
        }
        let mut copy = Controller::load(&module.save()).unwrap();
        let round =
            |actions: Vec<Action>| Round { number, now, names: Vec::new(), events: events.clone(), actions };
        on_round(&module, &round, &mut copy);
        let mut actions = Vec::new();
        module.step(now, &events, &mut actions);
        for action in &actions {
            match action {
                Action::Run(id) | Action::SkipCall(id) => drop(running.insert(*id, false)),
                Action::Call { id, .. } => drop(running.insert(*id, true)),
                _ => {}
            }
        }
    }
}

/// Records a capture of the simulated server. Rounds in `missing` are dropped.
pub(crate) fn capture(seed: u64, rounds: u64, limits: Limits, missing: std::ops::Range<u64>) -> Vec<u8> {
    let header = Header { version: "1".into(), nodo: "n1".into(), epoch: 0.0, settings: settings() };
    let mut recorder = Recorder::new(header, limits);
    let mut bytes = format::file_header().to_vec();
    let mut number = 0;
    simulate_overload(seed, rounds, |before, round, copy| {
        number += 1;
        let input = round(Vec::new());
        let mut actions = Vec::new();
        copy.step(input.now, &input.events, &mut actions);
        if missing.contains(&number) {
            return recorder.missed(1);
        }
        if recorder.wants(input.now) == Wants::Snapshot {
            recorder.snapshot(input.now, before.save()).unwrap();
        }
        if let Some(block) = recorder.round(&round(actions)).unwrap() {
            bytes.extend(block);
        }
    });
    bytes.extend(recorder.flush().unwrap().unwrap_or_default());
    bytes
}

pub(crate) const SMALL: Limits = Limits { block_bytes: 4_000, snapshot_every: 0.5 };

pub(crate) fn read(bytes: &[u8]) -> Vec<Part> {
    parts(bytes).unwrap().collect()
}

fn blocks(parts: &[Part]) -> Vec<(usize, bool, Vec<Record>)> {
    parts
        .iter()
        .filter_map(|part| match part {
            Part::Block { offset, header, records } => Some((*offset, header.snapshot, records.clone())),
            Part::Corrupt { .. } => None,
        })
        .collect()
}

#[test]
fn captures_of_an_overload_replay_identically_ten_times_and_from_every_snapshot() {
    for seed in 1..=5 {
        let bytes = capture(seed, 600, SMALL, 0..0);
        let all = read(&bytes);
        let refused = blocks(&all).into_iter().flat_map(|(_, _, records)| records).filter(|record| {
            matches!(record, Record::Round(round) if round.actions.iter().any(|a| matches!(a, Action::Refuse { .. })))
        });
        assert!(refused.count() > 20, "the simulation must be overloaded");
        for _ in 0..10 {
            let replayed = replay(&all);
            assert_eq!((replayed.same, replayed.difference.clone(), replayed.corrupt.len()), (600, None, 0));
            assert!(replayed.snapshots > 3, "{replayed:?}");
        }
        for from in 0..all.len() {
            if matches!(&all[from], Part::Block { header, .. } if header.snapshot) {
                let replayed = replay(&all[from..]);
                assert_eq!((replayed.difference, replayed.skipped, replayed.corrupt.len()), (None, 0, 0));
            }
        }
    }
}

/// A replay must not depend on the thread or its hash seeds.
#[test]
fn replays_are_identical_on_all_threads() {
    let bytes = capture(3, 300, SMALL, 0..0);
    let here = replay(&read(&bytes));
    let elsewhere: Vec<ReplayReport> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..8).map(|_| scope.spawn(|| replay(&read(&bytes)))).collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    assert!(elsewhere.iter().all(|replayed| *replayed == here) && here.same == 300);
}

#[test]
fn saving_a_loaded_state_gives_the_same_bytes() {
    simulate_overload(9, 500, |before, _, copy| assert!(copy.save() == before.save()));
    assert!(Controller::load(b"").is_err());
    let saved = Controller::new(settings()).unwrap().save();
    assert!(Controller::load(&saved[..saved.len() - 1]).is_err());
    assert!(Controller::load(&[&saved[..], b"x"].concat()).is_err(), "trailing bytes");
}

/// All blocks before the cut must be read, the truncated block reported, and nothing else returned.
#[test]
fn a_capture_cut_at_any_byte_reads_up_to_its_last_intact_block() {
    let bytes = capture(1, 60, Limits { block_bytes: 1_000, snapshot_every: 0.1 }, 0..0);
    let whole = blocks(&read(&bytes));
    assert!(whole.len() > 5);
    for cut in 0..bytes.len() {
        if cut < format::FILE_HEADER_BYTES {
            assert_eq!(parts(&bytes[..cut]).err(), Some(FormatError::NotACapture));
            continue;
        }
        let left = read(&bytes[..cut]);
        let kept = blocks(&left);
        let ends = whole.iter().skip(1).map(|(offset, ..)| *offset).chain([bytes.len()]);
        let expected = ends.filter(|end| *end <= cut).count();
        assert_eq!(kept, whole[..expected]);
        let truncated = left.len() - kept.len();
        let at_a_border = cut == format::FILE_HEADER_BYTES || whole.iter().any(|(offset, ..)| *offset == cut);
        assert_eq!(truncated, usize::from(!at_a_border), "cut at {cut}");
    }
}

#[test]
fn a_flipped_bit_loses_only_the_rounds_up_to_the_next_snapshot() {
    let bytes = capture(2, 200, Limits { block_bytes: 2_000, snapshot_every: 0.1 }, 0..0);
    let whole = blocks(&read(&bytes));
    let mut random = Random(77);
    for (place, (offset, ..)) in whole.iter().enumerate() {
        let end = whole.get(place + 1).map_or(bytes.len(), |(next, ..)| *next);
        for _ in 0..12 {
            let mut corrupt = bytes.clone();
            let at = offset + random.below((end - offset) as u64) as usize;
            corrupt[at] ^= 1 << random.below(8);
            let parts = read(&corrupt);
            assert_eq!(blocks(&parts).len(), whole.len() - 1, "byte {at}");
            let replayed = replay(&parts);
            assert_eq!((replayed.difference, replayed.corrupt.len()), (None, 1), "byte {at}");
            let lost =
                |records: &[Record]| records.iter().filter(|r| matches!(r, Record::Round(_))).count() as u64;
            let until_snapshot: u64 = whole[place..]
                .iter()
                .enumerate()
                .take_while(|(n, (_, snapshot, _))| *n == 0 || !snapshot)
                .map(|(_, (.., records))| lost(records))
                .sum();
            assert_eq!(replayed.same, 200 - until_snapshot, "byte {at}");
        }
    }
}

#[test]
fn later_versions_and_other_files_are_rejected() {
    let mut bytes = capture(1, 20, SMALL, 0..0);
    bytes[6] = 9;
    let refused = parts(&bytes).err().unwrap();
    assert_eq!(refused.to_string(), "the capture has format version 9, and this program reads up to 1");
    assert_eq!(parts(b"GIF89a..").err(), Some(FormatError::NotACapture));
    assert_eq!(parts(b"").err(), Some(FormatError::NotACapture));
    // Noise after a valid file header is a single corrupt part.
    let noise: Vec<u8> =
        format::file_header().into_iter().chain((0..100_000u32).map(|n| (n * 31 % 251) as u8)).collect();
    assert!(matches!(&read(&noise)[..], [Part::Corrupt { offset: 8, length: 100_000, .. }]));
}

#[test]
fn a_gap_is_recorded_and_the_next_block_starts_with_a_snapshot() {
    let bytes = capture(4, 600, SMALL, 250..300);
    let all = read(&bytes);
    let replayed = replay(&all);
    assert_eq!((replayed.difference.clone(), replayed.skipped), (None, 0));
    assert!(replayed.missing >= 50 && replayed.same + replayed.missing == 600, "{replayed:?}");
    let at = blocks(&all).iter().position(|(.., records)| matches!(records[0], Record::Gap { .. })).unwrap();
    assert!(matches!(&blocks(&all)[at].2[1..3], [Record::Header(_), Record::Snapshot(_)]));
}

#[test]
fn the_first_decision_that_differs_is_shown_with_the_rounds_before_it() {
    let mut all = read(&capture(5, 200, SMALL, 0..0));
    let mut changed = None;
    for part in &mut all {
        let Part::Block { records, .. } = part else { continue };
        for record in records {
            let Record::Round(round) = record else { continue };
            let run = round.actions.iter().position(|action| matches!(action, Action::Run(_)));
            if let Some(place) = run.filter(|_| round.number > 50 && changed.is_none()) {
                round.actions.remove(place);
                changed = Some((round.number, place));
            }
        }
    }
    let differs = replay(&all).difference.unwrap();
    assert_eq!(Some((differs.round.number, differs.index)), changed);
    assert_eq!(differs.before.len(), 3);
    assert!(differs.to_string().contains("now:      Some(Run("), "{differs}");
    // 0.0 and -0.0 are equal but have different bits.
    let zero = |value| {
        Record::Round(Round {
            number: 1,
            now: 0.0,
            names: vec![],
            events: vec![],
            actions: vec![Action::Say(value)],
        })
    };
    assert_ne!(postcard::to_stdvec(&zero(0.0)), postcard::to_stdvec(&zero(-0.0)));
}

#[test]
fn an_excessive_length_is_rejected_before_allocation() {
    let bytes = capture(1, 20, SMALL, 0..0);
    let mut head =
        bytes[format::FILE_HEADER_BYTES..format::FILE_HEADER_BYTES + format::BLOCK_HEADER_BYTES].to_vec();
    head[33..37].copy_from_slice(&u32::MAX.to_le_bytes());
    let checksum = crc32c::crc32c(&head[..45]);
    head[45..49].copy_from_slice(&checksum.to_le_bytes());
    assert!(matches!(format::read_block(&head), Err(FormatError::Payload(_))));
}

/// Replaces the first action for which `change` returns replacements.
fn change(parts: &mut [Part], change: impl Fn(&Round, &Action) -> Option<Vec<Action>>) {
    for part in parts {
        let Part::Block { records, .. } = part else { continue };
        for record in records {
            let Record::Round(round) = record else { continue };
            let found =
                round.actions.iter().enumerate().find_map(|(at, action)| Some((at, change(round, action)?)));
            if let Some((at, others)) = found {
                round.actions.splice(at..=at, others);
                return;
            }
        }
    }
    panic!("no action to change");
}

#[test]
fn an_overload_violates_no_rule_and_each_planted_violation_is_found() {
    for seed in 1..=5 {
        assert_eq!(check(&read(&capture(seed, 600, SMALL, 0..0))), [], "{seed}");
    }
    let good = read(&capture(1, 600, SMALL, 0..0));
    let mut twice = good.clone();
    change(&mut twice, |_, action| match action {
        Action::Refuse { .. } => Some(vec![action.clone(), action.clone()]),
        _ => None,
    });
    assert_eq!(check(&twice).iter().map(|broken| broken.rule).collect::<Vec<_>>(), [Rule::AnsweredTwice]);
    let mut lost = good.clone();
    change(&mut lost, |_, action| matches!(action, Action::Refuse { .. }).then(Vec::new));
    assert_eq!(check(&lost).iter().map(|broken| broken.rule).collect::<Vec<_>>(), [Rule::NotAnswered]);
    // A request that ran is run again, and, in the other capture, refused.
    let keyed = |round: &Round, id: RequestId| {
        let this = |event: &Event| matches!(event, Event::Arrived(r) if r.id == id && r.class == 1 && r.repeats.is_none());
        round.events.iter().any(this)
    };
    let mut again = good.clone();
    change(&mut again, |round, action| match action {
        Action::Run(id) if keyed(round, *id) => Some(vec![action.clone(), action.clone()]),
        _ => None,
    });
    assert_eq!(check(&again)[0].rule, Rule::RanTwice);
    let mut refused = good.clone();
    change(&mut refused, |round, action| match action {
        Action::Run(id) if keyed(round, *id) => {
            Some(vec![action.clone(), Action::Refuse { id: *id, stay_away: 0.0, last: false }])
        }
        _ => None,
    });
    assert_eq!(check(&refused)[0].rule, Rule::RefusedAfterRun);
}
