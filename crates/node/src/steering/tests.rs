use super::*;

fn client(n: u32) -> Client {
    Client::Balancer(n)
}

fn peer(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn file(rest: &str) -> File {
    let text = format!(
        "fleet {{\n  name = \"f\"\n  folder = \"x\"\n  region = \"norte\"\n  voter \"n0\" {{ address = \"127.0.0.1:9\" }}\n}}\n\
         steering {{\n  every = \"1s\"\n  capacity = \"50/s\"\n{rest}}}\n"
    );
    jaspershunt_operator::read("f.hcl", &text).unwrap()
}

fn ready(rest: &str) -> (Rc<Steering>, Thread, Receiver<Seen>) {
    let steering = Steering::new(&file(rest), "n0").unwrap();
    let (thread, queue) = steering.starts.take().unwrap();
    (steering, thread, queue)
}

#[test]
fn without_a_block_nothing_is_measured() {
    assert!(Steering::new(&File::default(), "n0").is_none());
}

#[test]
fn observations_beyond_the_queue_are_dropped_and_counted() {
    // Nothing reads the queue, as when the thread is paused.
    let (steering, _thread, queue) = ready("");
    let samples = steering.samples();
    for _ in 0..MAX_QUEUED + 7 {
        samples.tell(Seen::Reset(client(1)));
    }
    assert_eq!(steering.figures.dropped.load(Ordering::Relaxed), 7);
    assert_eq!(queue.try_iter().count(), MAX_QUEUED);
}

#[test]
fn the_file_defines_the_client_of_a_request() {
    let field = |name: &str| (name == "X-Org").then_some(" norte/salta ");
    for (rest, wanted) in [
        ("", Client::Balancer(7)),
        ("  by = \"address\"\n", Client::Address(peer(1).ip())),
        ("  by = \"field\"\n  field = \"X-Org\"\n", Client::Field("norte/salta".into())),
    ] {
        let samples = ready(rest).0.samples();
        assert_eq!(samples.client(peer(1), 7, field), Some(wanted));
    }
    assert_eq!(ready("").0.samples().client(peer(1), u64::MAX, field), None);
}

#[test]
fn gaps_count_as_delays_only_if_the_file_enables_it() {
    for (rest, delays) in [("", 0), ("  delays = \"gaps\"\n", 1)] {
        let (_steering, mut thread, _queue) = ready(rest);
        for ms in [30, 9, 50] {
            let gap = Some(Duration::from_millis(ms));
            thread.record(Seen::Asked { peer: peer(1), client: client(7), gap });
        }
        thread.sample_delays();
        let summary = thread.edge.close_window();
        let (_, cells) = summary.by_source().next().unwrap();
        let cell = cells.values().next().unwrap();
        assert_eq!((cell.requests, cell.round_trips.count()), (3, delays));
        assert!(delays == 0 || (8_800..9_200).contains(&cell.round_trips.value_at_rank(0).unwrap()));
    }
}

#[test]
fn the_clients_tracked_between_two_samples_are_bounded() {
    let (_steering, mut thread, _queue) = ready("");
    for n in 0..3 * MAX_PEERS as u32 {
        thread.record(Seen::Asked { peer: peer(n as u16), client: client(n), gap: None });
        thread.record(Seen::Asked { peer: peer(1), client: client(n), gap: None });
    }
    assert_eq!(thread.clients_by_peer.len(), MAX_PEERS);
    assert!(thread.clients_by_peer.values().all(|over| over.clients.len() <= MAX_CLIENTS_PER_PEER));
    thread.sample_delays();
    assert!(thread.clients_by_peer.is_empty());
}
