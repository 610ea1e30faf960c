//! The parsers on random splits of valid messages and on random garbage, from fixed seeds: the result doesn't
//! depend on the splits, and nothing panics or is accepted as something else.

mod common;
use common::*;
use jaspershunt_node::engine::input::{Message, RunEnd};
use jaspershunt_node::fastcgi::memory::RequestBudgets;
use jaspershunt_node::fastcgi::records::{self, kind, put_pair, put_record};
use jaspershunt_node::fastcgi::requests::{MAX_AWAITED, MAX_OPEN, Requests, Step, UnfinishedRequest};
use jaspershunt_node::http;
use jaspershunt_node::interpreter::read_line;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn fixed(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..Default::default()
    }
}

/// Feeds bytes in pieces as a connection does; returns the steps, or `None` if the framing is invalid.
fn feed(requests: &mut Requests, pieces: &[&[u8]], out: &mut Vec<u8>) -> Option<Vec<Step>> {
    let (mut input, mut steps) = (Vec::new(), Vec::new());
    for piece in pieces {
        input.extend(*piece);
        let mut rest = &input[..];
        while let Some(record) = records::next_record(&mut rest).ok()? {
            let step = requests.take(&record, out).ok()?;
            if !matches!(step, Step::Nothing | Step::Stray) {
                steps.push(step);
            }
        }
        input = rest.to_vec();
    }
    Some(steps)
}

fn split_at<'a>(bytes: &'a [u8], at: &[prop::sample::Index]) -> Vec<&'a [u8]> {
    let mut at: Vec<usize> = at.iter().map(|i| i.index(bytes.len() + 1)).chain([0, bytes.len()]).collect();
    at.sort_unstable();
    at.windows(2).map(|ends| &bytes[ends[0]..ends[1]]).collect()
}

fn new_requests() -> Requests {
    Requests::new(RequestBudgets::new(1 << 20, 1).of_connection())
}

proptest! {
    #![proptest_config(fixed(1))]

    #[test]
    fn records_parse_identically_however_they_are_split(
        body in prop::collection::vec(any::<u8>(), 0..2048),
        at in prop::collection::vec(any::<prop::sample::Index>(), 0..20),
        padding in any::<u8>(),
    ) {
        let mut bytes = request(1, 7, "read", &[("LONG", &"y".repeat(300))], &body);
        // An unknown record with padding, and a second request after it.
        bytes.extend([1, 77, 0, 1, 0, 2, padding, 0, 9, 9]);
        bytes.extend(vec![0; padding.into()]);
        bytes.extend(request(2, 8, "sign", &[], b"x"));
        let steps = feed(&mut new_requests(), &split_at(&bytes, &at), &mut Vec::new()).unwrap();
        let [Step::Complete(one), Step::Complete(two)] = &steps[..] else { panic!("{steps:?}") };
        prop_assert_eq!((one.id, &one.body, two.id, &two.body[..]), (1, &body, 2, &b"x"[..]));
        let pairs = records::pairs(&one.params).unwrap();
        prop_assert_eq!((pairs.len(), pairs[0].1.len()), (8, 300));
    }

    #[test]
    fn garbage_never_parses_as_a_request(bytes in prop::collection::vec(any::<u8>(), 0..3000), version in any::<bool>()) {
        let mut bytes = bytes;
        if let Some(first) = bytes.first_mut().filter(|_| version) {
            *first = 1;
        }
        let steps = feed(&mut new_requests(), &[&bytes], &mut Vec::new());
        prop_assert!(steps.is_none_or(|steps| !steps.iter().any(|step| matches!(step, Step::Complete(_)))));
        if let Some(pairs) = records::pairs(&bytes) {
            let length: usize = pairs.iter().map(|(name, value)| 2 + name.len() + value.len()).sum();
            prop_assert!(length <= bytes.len());
        }
        prop_assert!(!matches!(http::read_head(&bytes), Ok(Some(_))));
        prop_assert!(read_line(&bytes).is_err());
    }

    #[test]
    fn reply_heads_parse_identically_however_they_are_split(
        status in 200u16..600, length in 0usize..9999, never in any::<bool>(), at in any::<prop::sample::Index>(),
    ) {
        let marked = if never { "never-started:1\r\n" } else { "" };
        let text = format!("HTTP/1.1 {status} Some reason\r\nContent-Length: {length}\r\n{marked}X:  y \r\n\r\n");
        let part = at.index(text.len());
        prop_assert_eq!(http::read_head(&text.as_bytes()[..part]).unwrap(), None);
        let (head, end) = http::read_head(format!("{text}body").as_bytes()).unwrap().unwrap();
        prop_assert_eq!((head.status, head.length, head.never_started), (status, length, never));
        prop_assert_eq!(end, text.len());
    }

    #[test]
    fn truncated_interpreter_lines_are_rejected_and_whole_ones_parsed(
        result in prop::collection::vec(any::<u8>(), 0..4096), at in any::<prop::sample::Index>(),
    ) {
        use base64::Engine;
        let line = value(5, "ab", "OK", &base64::engine::general_purpose::STANDARD.encode(&result));
        let line = line.trim_end();
        prop_assert!(read_line(&line.as_bytes()[..at.index(line.len())]).is_err());
        let read = Message::Value { pos: 5, uid: "ab".into(), end: RunEnd::Done(result) };
        prop_assert_eq!(read_line(line.as_bytes()), Ok(read));
    }
}

#[test]
fn deep_json_does_not_exhaust_the_stack() {
    assert!(read_line("[".repeat(60_000).as_bytes()).unwrap_err().contains("too many arrays and objects"));
}

#[test]
fn a_gauge_without_a_reading_is_none_and_never_0() {
    let line = br#"{"action":"TOPS","echo":"3-9","meters":[0.25,null,"x",0]}"#;
    let readings = vec![Some(0.25), None, None, Some(0.0)];
    assert_eq!(read_line(line), Ok(Message::Gauges { tag: 3, vouches: 9, readings }));
}

/// Returns the records with which `bytes` are answered.
fn answers(requests: &mut Requests, bytes: &[u8]) -> Vec<(u8, u16, Vec<u8>)> {
    let mut out = Vec::new();
    feed(requests, &[bytes], &mut out).unwrap();
    let (mut rest, mut records) = (&out[..], Vec::new());
    while let Some(record) = records::next_record(&mut rest).unwrap() {
        records.push((record.kind, record.id, record.content.to_vec()));
    }
    records
}

#[test]
fn management_records_and_unknown_roles_are_answered_as_the_protocol_says() {
    let mut bytes = Vec::new();
    let mut wanted = Vec::new();
    put_pair(&mut wanted, b"FCGI_MPXS_CONNS", b"");
    put_record(&mut bytes, kind::GET_VALUES, 0, &wanted);
    put_record(&mut bytes, 99, 0, b"");
    put_record(&mut bytes, 99, 4, b"of no request");
    put_record(&mut bytes, kind::BEGIN_REQUEST, 5, &[0, 3, 1, 0, 0, 0, 0, 0]);
    let answered = answers(&mut new_requests(), &bytes);
    let values = b"\x0f\x01FCGI_MPXS_CONNS1".to_vec();
    let expected = [
        (kind::GET_VALUES_RESULT, 0, values),
        (kind::UNKNOWN_TYPE, 0, vec![99, 0, 0, 0, 0, 0, 0, 0]),
        (kind::END_REQUEST, 5, vec![0, 0, 0, 0, 3, 0, 0, 0]),
    ];
    assert_eq!(answered, expected);
}

fn begin(id: u16) -> Vec<u8> {
    let mut bytes = Vec::new();
    put_record(&mut bytes, kind::BEGIN_REQUEST, id, &[0, 1, 1, 0, 0, 0, 0, 0]);
    bytes
}

/// Feeds requests that must all be whole; returns the ids of those without room.
fn without_room(requests: &mut Requests, bytes: &[u8]) -> Vec<u16> {
    let steps = feed(requests, &[bytes], &mut Vec::new()).unwrap();
    let id_without_room = |step: &Step| match step {
        Step::Complete(whole) => (!whole.has_room).then_some(whole.id),
        other => panic!("{other:?}"),
    };
    steps.iter().filter_map(id_without_room).collect()
}

/// Guards against a refusal before the key is known: requests beyond the limit are read too, up to a second limit.
#[test]
fn requests_beyond_the_open_limit_are_read_without_room_up_to_a_second_limit() {
    let mut requests = new_requests();
    let whole = |id: u16| request(id, id.into(), "read", &[], b"");
    let open = MAX_OPEN as u16;
    let many: Vec<u8> = (1..=open + 2).flat_map(whole).collect();
    assert_eq!(without_room(&mut requests, &many), [open + 1, open + 2]);
    let last = MAX_AWAITED as u16;
    assert_eq!(without_room(&mut requests, &(open + 3..last).flat_map(whole).collect::<Vec<_>>()).len(), 29);
    let steps = feed(&mut requests, &[&begin(last)], &mut Vec::new()).unwrap();
    assert_eq!(steps, [Step::Unreadable(UnfinishedRequest { id: last, params: Vec::new() })]);
}

#[test]
fn unfinished_requests_and_whole_ones_have_memory_of_their_own() {
    // 1,000 bytes for each of two connections, 2,000 for all unfinished requests, 4,000 for whole ones.
    let budgets = RequestBudgets::new(8000, 2);
    let part = |id: u16, bytes: usize| {
        let mut out = begin(id);
        put_record(&mut out, kind::STDIN, id, &vec![0; bytes]);
        out
    };
    let mut flooding = Requests::new(budgets.of_connection());
    let bytes = [part(1, 900), part(2, 1100), part(3, 900), part(4, 200)].concat();
    let steps = feed(&mut flooding, &[&bytes], &mut Vec::new()).unwrap();
    assert_eq!(steps, [Step::Unreadable(UnfinishedRequest { id: 4, params: Vec::new() })]);
    // Another connection still reads requests, one after another, until the whole ones take all of their memory.
    let mut usual = Requests::new(budgets.of_connection());
    let whole = |id: u16| request(id, id.into(), "read", &[], &[0; 700]);
    let size = whole(1).len() - 6 * 8;
    let fit = 4000 / size;
    let ids: Vec<u16> = (1..=fit as u16 + 1).collect();
    let all: Vec<u8> = ids.iter().flat_map(|id| whole(*id)).collect();
    assert_eq!(without_room(&mut usual, &all), ids[fit..]);
    // What was read without room stays reserved until it is answered.
    let steps = feed(&mut usual, &[&part(9, 300)], &mut Vec::new()).unwrap();
    assert!(matches!(steps[..], [Step::Unreadable(_)]), "{steps:?}");
    usual.close(9);
    usual.close(ids[fit]);
    assert_eq!(feed(&mut usual, &[&part(9, 300)], &mut Vec::new()).unwrap(), []);
    drop((flooding, usual));
    assert_eq!((budgets.unfinished.used(), budgets.whole.used()), (0, 0));
}

#[test]
fn an_oversized_request_is_reported_and_its_memory_kept_until_it_is_closed() {
    // 1,000 bytes for the connection itself and 3,000 for all unfinished requests.
    let budgets = RequestBudgets::new(12_000, 3);
    let mut requests = Requests::new(budgets.of_connection());
    let steps = feed(&mut requests, &[&request(2, 2, "read", &[], &[0; 2500])], &mut Vec::new()).unwrap();
    assert!(matches!(steps[..], [Step::Oversize(2), ..]), "{steps:?}");
    assert!(requests.len() == 1 && budgets.whole.used() > 2000);
    requests.close(2);
    assert_eq!((requests.len(), budgets.whole.used(), budgets.unfinished.used()), (0, 0, 0));
}

#[test]
fn an_abort_ends_partial_requests_and_reports_whole_ones() {
    let mut requests = new_requests();
    let mut bytes = request(1, 1, "read", &[], b"");
    put_record(&mut bytes, kind::BEGIN_REQUEST, 2, &[0, 1, 1, 0, 0, 0, 0, 0]);
    put_record(&mut bytes, kind::ABORT_REQUEST, 1, b"");
    put_record(&mut bytes, kind::ABORT_REQUEST, 2, b"");
    let mut out = Vec::new();
    let steps = feed(&mut requests, &[&bytes], &mut out).unwrap();
    assert!(
        matches!(steps[..], [Step::Complete(_), Step::Aborted(1), Step::Ended { close: false }]),
        "{steps:?}"
    );
    assert_eq!(requests.len(), 1);
}

/// Guards against requests of thousands of empty fields that keep the thread from other connections: each field that is
/// looked up is compared with every name.
#[test]
fn no_more_fields_are_decoded_than_the_bound() {
    let fields = |count: usize| {
        let mut bytes = Vec::new();
        (0..count).for_each(|_| records::put_pair(&mut bytes, b"", b""));
        bytes
    };
    let most = fields(records::MAX_PAIRS);
    assert_eq!(records::pairs(&most).map(|pairs| pairs.len()), Some(records::MAX_PAIRS));
    assert_eq!(records::pairs(&fields(records::MAX_PAIRS + 1)), None);
    assert_eq!(records::leading_pairs(&fields(4000)).len(), records::MAX_PAIRS);
}
