//! Open-loop loads: arrivals are drawn from a seed and sent when due, whether or not earlier requests were
//! answered.

use crate::site::Site;
use jaspershunt_stand_ins::balancer::Request;
use jaspershunt_stand_ins::truth::Sent;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep_until};

/// Limit on the wait for an answer; longer than any deadline of the settings.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// A request and its time of arrival.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time since the start of the load.
    pub at: Duration,
    /// The request.
    pub request: Request,
}

#[derive(Clone, Debug)]
pub struct Stream {
    pub class: &'static str,
    /// Whether the class is keyed.
    pub keyed: bool,
    /// Requests per second.
    pub rate: f64,
    /// Share of the requests of a keyed class that are sent again a little later.
    pub repeats: f64,
    /// Number of distinct bodies of a class that is not keyed; requests with equal bodies make the same
    /// calls.
    pub distinct_bodies: u64,
}

/// Draws the arrivals of all streams, an independent Poisson process for each.
pub fn arrivals(streams: &[Stream], duration: Duration, seed: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        let mut random = StdRng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(index as u64));
        let mut at = 0.0;
        let mut number = 0u64;
        loop {
            at += -(1.0 - random.random_range(0.0..1.0f64)).ln() / stream.rate;
            if at >= duration.as_secs_f64() {
                break;
            }
            number += 1;
            let subject =
                if stream.keyed { number } else { random.random_range(0..stream.distinct_bodies.max(1)) };
            let body = format!("{}-{subject}", stream.class);
            let key = stream.keyed.then(|| format!("key-{body}"));
            let rank = random.random_range(0.0..1.0);
            let request = Request { key, rank, ..Request::new(stream.class, body.as_bytes()) };
            if stream.keyed && random.random_range(0.0..1.0) < stream.repeats {
                let later = Duration::from_secs_f64(at + random.random_range(0.02..0.5));
                all.push(Arrival { at: later, request: Request { resent: true, ..request.clone() } });
            }
            all.push(Arrival { at: Duration::from_secs_f64(at), request });
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// The result of a load.
#[derive(Clone, Debug, Default)]
pub struct LoadResult {
    /// Each request with its answer, and its time since the start of the load.
    pub sent: Vec<(Duration, Sent)>,
}

/// Sends a load to a site. Calls `each_second` with the results so far.
pub async fn play(
    site: &Site,
    arrivals: Vec<Arrival>,
    mut each_second: impl FnMut(u64, &LoadResult),
) -> LoadResult {
    let began = Instant::now();
    let played: Rc<RefCell<LoadResult>> = Rc::default();
    let mut tasks: Vec<JoinHandle<()>> = Vec::with_capacity(arrivals.len());
    let mut second = 1;
    for Arrival { at, request } in arrivals {
        while at >= Duration::from_secs(second) {
            sleep_until(began + Duration::from_secs(second)).await;
            each_second(second, &played.borrow());
            second += 1;
        }
        sleep_until(began + at).await;
        let (balancer, played) = (site.balancer.clone(), played.clone());
        tasks.push(spawn_local(async move {
            let answer = balancer.send(&request, ANSWER_TIMEOUT).await;
            played.borrow_mut().sent.push((at, Sent { request, answer }));
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    played.take()
}

/// Whether a request was served in full: neither partially nor from a kept reply.
pub fn served_in_full(sent: &Sent) -> bool {
    let labelled =
        sent.answer.header("x-answer-lacks").is_some() || sent.answer.header("x-answer-stale-ms").is_some();
    sent.answer.status == 200 && !labelled
}
