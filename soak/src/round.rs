//! One round: a fleet, a series and its judgement.

use std::time;

use dandelionspool::bench::fleet;
use dandelionspool::bench::load;
use serde::Serialize;

use crate::Error;
use crate::act;
use crate::judge;
use crate::series;
use crate::stage;
use crate::watch;

/// Longest until every node runs the last version after the last fault.
const SETTLE: time::Duration = time::Duration::from_secs(20);

/// Time between two looks at a node that is waited for.
const LOOK: time::Duration = time::Duration::from_millis(100);

/// What a round showed.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The series that was played.
    pub series: series::Series,
    /// Calls made, repeats by callers among them.
    pub calls: usize,
    /// Of them, served.
    pub served: usize,
    /// Promises that were broken.
    pub breaches: Vec<judge::Breach>,
}

/// Plays the series of `seed`.
///
/// # Errors
///
/// The round can't be played; nothing is known of the promises then.
pub async fn play(seed: u64, shape: series::Shape) -> Result<Report, Error> {
    let series = series::Series::draw(seed, shape);
    let mut fleet = stage::start(shape).await?;
    let (stop, stopped) = tokio::sync::oneshot::channel();
    let watch = tokio::spawn(watch::Watch::new(&fleet).run(stopped));
    let calls = tokio::spawn(load::drive(stage::load(&fleet, &series)));
    let mut player = act::Player::new(1);
    player.play(&mut fleet, &series).await?;
    let tally = calls.await??;
    let mut breaches = settle(&mut fleet, player.version).await;
    // The watch may have ended by itself only if it panicked.
    let _ = stop.send(());
    breaches.extend(watch.await?);
    let mut records = player.records;
    for host in 0..shape.hosts {
        records.push(act::record(&fleet, host).await?);
    }
    breaches.extend(judge::judge(&series, &tally.results, &records));
    let served = tally.results.iter().filter(|t| t.outcome == load::Outcome::Served).count();
    Ok(Report { series, calls: tally.results.len(), served, breaches })
}

/// Waits until every node is ready and runs `version` or a later one; gives those that don't.
async fn settle(fleet: &mut fleet::Fleet, version: u64) -> Vec<judge::Breach> {
    let until = time::Instant::now() + SETTLE;
    let mut behind = Vec::new();
    for host in 0..fleet.hosts().len() {
        loop {
            let state = match fleet.status(host).await {
                Ok(status) if status["version"].as_u64() >= Some(version) => break,
                Ok(status) => format!("version {}", status["version"]),
                Err(error) => error.to_string(),
            };
            if time::Instant::now() >= until {
                behind.push(judge::Breach::Behind { host, state });
                break;
            }
            tokio::time::sleep(LOOK).await;
        }
    }
    behind
}
