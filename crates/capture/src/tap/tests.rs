use super::*;
use jaspershunt::RequestId;

fn round(number: u64, now: f64) -> Message {
    Message::Round(Round { number, now, names: vec![], events: vec![], actions: vec![] })
}

/// Sends rounds to a receiver that accepts the n-th message if `takes(n)`. Returns the accepted messages.
fn send_rounds(rounds: u64, takes: impl Fn(usize) -> bool) -> Vec<Message> {
    let (mut tap, mut over, mut asked) = (Tap::new(0.5), Vec::new(), 0);
    for n in 1..=rounds {
        let now = n as f64 / 10.0;
        let mut hand_over = |message| {
            asked += 1;
            let taken = takes(asked);
            if taken {
                over.push(message);
            }
            taken
        };
        let open = tap.begin(now, || (vec![7], None), &mut hand_over);
        let number = tap.number();
        if !open || !hand_over(round(number, now)) {
            tap.missed();
        }
    }
    over
}

#[test]
fn snapshots_are_sent_at_the_start_and_periodically() {
    let over = send_rounds(11, |_| true);
    let at: Vec<usize> = over
        .iter()
        .enumerate()
        .filter(|(_, p)| matches!(p, Message::Snapshot { .. }))
        .map(|(n, _)| n)
        .collect();
    assert_eq!(at, [0, 6, 12]);
    assert_eq!(over.len(), 14);
}

/// Whichever messages are rejected, each round must be sent or counted as missed, and a snapshot must
/// follow each gap.
#[test]
fn missed_rounds_are_counted_and_followed_by_a_snapshot() {
    for pattern in 0u32..1 << 12 {
        let over = send_rounds(14, |asked| asked > 12 || pattern >> (asked - 1) & 1 == 1);
        let (mut next, mut gap) = (1, false);
        for message in &over {
            match message {
                Message::Missed(rounds) => {
                    next += rounds;
                    gap = true;
                }
                Message::Snapshot { .. } => gap = false,
                Message::Round(round) => {
                    assert!(!gap, "a round follows a gap without a snapshot: {pattern:b}");
                    assert_eq!(round.number, next, "{pattern:b}: {over:?}");
                    next += 1;
                }
                other => panic!("{other:?}"),
            }
        }
    }
}

#[test]
fn a_spike_of_refusals_is_detected_once_and_a_steady_share_is_not() {
    let refuse = |n: u64| Action::Refuse { id: RequestId(n), stay_away: 0.0, last: false };
    let arrived = |n: u64| {
        Event::Arrived(jaspershunt::Request {
            id: RequestId(n),
            class: 0,
            tenant: None,
            caller: jaspershunt::CallerId(1),
            waited: 0.0,
            time_left: None,
            cost_hint: None,
            held_kb: 1.0,
            rank: 0.5,
            retry: false,
            repeats: None,
        })
    };
    let mut detector = RefusalSpikeDetector::new(0.5);
    let mut detected = Vec::new();
    // Each second has 100 requests, of which 10 % are refused at first, then 80 %.
    for second in 0..200u64 {
        let refused = if second < 20 { 10 } else { 80 };
        let events: Vec<Event> = (0..100).map(arrived).collect();
        let actions: Vec<Action> = (0..refused).map(refuse).collect();
        if detector.round(second as f64, &events, &actions) {
            detected.push(second);
        }
    }
    assert_eq!(detected, [20], "the smoothed share adapts to 80 %");
    // A few refusals are not significant.
    let mut detector = RefusalSpikeDetector::new(0.5);
    assert!(!detector.round(0.0, &[arrived(1)], &[refuse(1)]));
}
