//! Compares the CPU of two nodo programs for the same requests, without an operator's file. Runs are in pairs
//! at the same time, so that other load on the machine affects both alike.

use crate::load::{Stream, arrivals, play};
use crate::report::table;
use crate::site::{Site, SitePlan, cpu_seconds, on_one_thread};
use jaspershunt_stand_ins::dependency::DependencyConfig;
use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Bound on the median ratio.
const MAX_CPU_RATIO: f64 = 1.02;

/// Compares two programs. Returns whether the first takes at most 2 % more CPU than the second.
pub fn compare(nodo: &Path, against: &Path, runs: usize, rate: f64, duration: Duration) -> io::Result<bool> {
    let mut rows = Vec::new();
    let mut ratios = Vec::new();
    for run in 0..runs.max(1) {
        let measure_side = |nodo: &Path| on_one_thread(per_request(nodo, run as u64, rate, duration));
        let (measured, reference) = thread::scope(|scope| {
            let other = scope.spawn(|| measure_side(against));
            (measure_side(nodo), other.join().unwrap_or_else(|_| Err(io::Error::other("a run panicked"))))
        });
        let (measured, reference) = (measured?, reference?);
        ratios.push(measured / reference);
        rows.push(vec![
            (run + 1).to_string(),
            format!("{measured:.1}"),
            format!("{reference:.1}"),
            format!("{:.3}", measured / reference),
        ]);
        eprintln!("pair {} of {runs}: ratio {:.3}", run + 1, measured / reference);
    }
    ratios.sort_by(f64::total_cmp);
    let median = ratios[ratios.len() / 2];
    println!("{}", table(&["pair", "µs a request", "against", "ratio"], &rows));
    let holds = median <= MAX_CPU_RATIO;
    println!(
        "cpu: {}: median ratio {median:.3}, bound {MAX_CPU_RATIO}",
        if holds { "holds" } else { "falls short" }
    );
    Ok(holds)
}

async fn per_request(nodo: &Path, seed: u64, rate: f64, duration: Duration) -> io::Result<f64> {
    let plan = SitePlan {
        dependencies: vec![DependencyConfig::new("registro", 32, Duration::from_millis(5))],
        classes: vec![("consulta-estado", false)],
        file: None,
        cores: 16,
        core_time: Duration::from_millis(1),
    };
    let site = Site::start(nodo, &plan).await?;
    let process = site.process_id().ok_or_else(|| io::Error::other("the nodo has ended"))?;
    let stream = Stream { class: "consulta-estado", keyed: false, rate, repeats: 0.0, distinct_bodies: 1000 };
    let before = cpu_seconds(process).unwrap_or(0.0);
    let played = play(&site, arrivals(&[stream], duration, seed), |_, _| {}).await;
    let cpu = cpu_seconds(process).unwrap_or(0.0) - before;
    site.stop().await;
    Ok(cpu * 1e6 / played.sent.len().max(1) as f64)
}
