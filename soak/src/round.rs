//! One round: plays a series on a fresh fleet and checks the promises.

use std::time;

use dandelionspool::bench::fleet;
use dandelionspool::bench::load;
use serde::Serialize;

use crate::Error;
use crate::check;
use crate::player;
use crate::series;
use crate::setup;
use crate::watch;

/// Time after the last fault within which every node has to run the last version.
const CONVERGENCE_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Time between two status requests to a node that does not run the last version yet.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Result of a round.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The series that was played.
    pub series: series::Series,
    /// Number of calls made, including retries by callers.
    pub calls: usize,
    /// Number of these calls that were served.
    pub served: usize,
    /// Publications with many routes that were accepted.
    pub wide: u64,
    /// Withdrawals that were acknowledged right before the end of a node.
    pub withdrawals: usize,
    /// Answers that upstreams sent once more.
    pub repeats: u64,
    /// Promises that were broken.
    pub breaches: Vec<check::Breach>,
}

/// Plays the series of `seed`.
///
/// # Errors
///
/// The round can't be played; nothing is known of the promises then.
pub async fn play(seed: u64, shape: series::Shape) -> Result<Report, Error> {
    let series = series::Series::draw(seed, shape);
    let mut fleet = setup::start(shape).await?;
    let (stop, stop_receiver) = tokio::sync::oneshot::channel();
    let watch = tokio::spawn(watch::Watch::new(&fleet).run(stop_receiver));
    let calls = tokio::spawn(load::drive(setup::load(&fleet, &series)));
    let mut player = player::Player::new(1, shape);
    player.play(&mut fleet, &series).await?;
    let tally = calls.await??;
    let mut breaches = await_convergence(&mut fleet, player.version).await;
    // Sending fails only if the watch has panicked, which the next line reports.
    let _ = stop.send(());
    breaches.extend(watch.await?);
    let mut records = std::mem::take(&mut player.records);
    for host in 0..shape.hosts {
        records.push(player::record(&fleet, host).await?);
    }
    breaches.extend(check::check(&series, &tally.results, &records));
    breaches.extend(check::check_withdrawals(&player.withdrawals, &records));
    let served = tally.results.iter().filter(|t| t.outcome == load::Outcome::Served).count();
    let repeats = records.iter().map(|record| record.repeats).sum();
    let (calls, wide) = (tally.results.len(), player.wide);
    let withdrawals = player.withdrawals.len();
    Ok(Report { series, calls, served, wide, withdrawals, repeats, breaches })
}

/// Waits until every node runs `version` or a later one and answers. Returns a breach for each node
/// that does not in time.
async fn await_convergence(fleet: &mut fleet::Fleet, version: u64) -> Vec<check::Breach> {
    let deadline = time::Instant::now() + CONVERGENCE_TIMEOUT;
    let mut behind = Vec::new();
    for host in 0..fleet.hosts().len() {
        loop {
            let state = match fleet.status(host).await {
                Ok(status) if status["version"].as_u64() >= Some(version) => break,
                Ok(status) => format!("version {}", status["version"]),
                Err(error) => error.to_string(),
            };
            if time::Instant::now() >= deadline {
                behind.push(check::Breach::Behind { host, state });
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    behind
}
