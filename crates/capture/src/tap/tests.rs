use super::*;
use jaspershunt::RequestId;

fn round(number: u64, now: f64) -> Message {
    Message::Round(Round { number, now, names: vec![], events: vec![], actions: vec![] })
}

/// Plays rounds against a way that takes what `takes` says, by the number of the piece; returns what went over.
fn play(rounds: u64, takes: impl Fn(usize) -> bool) -> Vec<Message> {
    let (mut tap, mut over, mut asked) = (Tap::new(0.5), Vec::new(), 0);
    for n in 1..=rounds {
        let now = n as f64 / 10.0;
        let mut hand_over = |piece| {
            asked += 1;
            let taken = takes(asked);
            if taken {
                over.push(piece);
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
fn the_state_goes_along_at_the_beginning_and_each_so_often() {
    let over = play(11, |_| true);
    let at: Vec<usize> = over
        .iter()
        .enumerate()
        .filter(|(_, p)| matches!(p, Message::Snapshot { .. }))
        .map(|(n, _)| n)
        .collect();
    assert_eq!(at, [0, 6, 12]);
    assert_eq!(over.len(), 14);
}

/// Whatever is not taken, and when: rounds are either there or counted as missing, and the state stands behind each gap.
#[test]
fn what_is_missing_is_said_and_the_state_follows() {
    for pattern in 0u32..1 << 12 {
        let over = play(14, |asked| asked > 12 || pattern >> (asked - 1) & 1 == 1);
        let (mut next, mut gap) = (1, false);
        for piece in &over {
            match piece {
                Message::Missed(rounds) => {
                    next += rounds;
                    gap = true;
                }
                Message::Snapshot { .. } => gap = false,
                Message::Round(round) => {
                    assert!(!gap, "a round stands behind a gap without the state: {pattern:b}");
                    assert_eq!(round.number, next, "{pattern:b}: {over:?}");
                    next += 1;
                }
                other => panic!("{other:?}"),
            }
        }
    }
}

#[test]
fn a_jump_of_refusals_is_noticed_once_and_a_steady_share_is_not() {
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
    let mut jump = RefusalSpikeDetector::new(0.5);
    let mut told = Vec::new();
    // A second has 100 requests; the share of them that is refused is 10 % at first, then 80 %.
    for second in 0..200u64 {
        let refused = if second < 20 { 10 } else { 80 };
        let events: Vec<Event> = (0..100).map(arrived).collect();
        let actions: Vec<Action> = (0..refused).map(refuse).collect();
        if jump.round(second as f64, &events, &actions) {
            told.push(second);
        }
    }
    assert_eq!(told, [20], "80 % is what it is used to after that");
    // A few refusals of a few requests say nothing.
    let mut jump = RefusalSpikeDetector::new(0.5);
    assert!(!jump.round(0.0, &[arrived(1)], &[refuse(1)]));
}
