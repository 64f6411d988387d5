//! Plays a series on a fleet.

use std::collections;
use std::time;

use dandelionspool::bench::fleet;
use dandelionspool::standin::fault::rules;
use dandelionspool::standin::upstream::record;
use serde_json::json;

use crate::Error;
use crate::series;
use crate::series::Act;
use crate::stage;

/// Port of the calls of other nodes, counted from a host's base port.
const INNER: u16 = 2;

/// Time from an upstream's refusal of connections to its kill: calls under way end meanwhile, and
/// what it ran is read before the kill takes it along.
const CRASH_PAUSE: time::Duration = time::Duration::from_millis(60);

/// Longest that an upstream takes to start on a busy machine.
const START: time::Duration = time::Duration::from_secs(5);

/// Time between two looks at one that starts.
const LOOK: time::Duration = time::Duration::from_millis(20);

/// Time in which a drained upstream has ended: its grace and a little more.
const DRAIN_PAUSE: time::Duration = time::Duration::from_millis(900);

/// Plays acts and keeps what has to be undone.
#[derive(Debug)]
pub struct Player {
    /// Records of upstreams that have ended.
    pub records: Vec<record::Record>,
    /// The version that was accepted last.
    pub version: u64,
    turn: u64,
    broken: collections::BTreeMap<usize, series::Net>,
    /// Hosts whose node was killed or asked to stop and not started since.
    down: collections::BTreeSet<usize>,
    /// Drained upstreams that are to be replaced, and when.
    leaving: Vec<(time::Instant, usize)>,
}

impl Player {
    /// Nothing has been played yet on a fleet that runs `version`.
    pub fn new(version: u64) -> Self {
        let broken = collections::BTreeMap::new();
        let down = collections::BTreeSet::new();
        Self { records: Vec::new(), version, turn: 0, broken, down, leaving: Vec::new() }
    }

    /// Plays `series` and leaves everything running and well.
    ///
    /// # Errors
    ///
    /// The fleet can't be told what to do.
    pub async fn play(
        &mut self,
        fleet: &mut fleet::Fleet,
        series: &series::Series,
    ) -> Result<(), Error> {
        let start = time::Instant::now();
        for step in &series.steps {
            let due = start + time::Duration::from_millis(step.at_ms);
            tokio::time::sleep(due.saturating_duration_since(time::Instant::now())).await;
            self.replace(fleet, false).await?;
            self.act(fleet, step.act).await?;
        }
        tokio::time::sleep(DRAIN_PAUSE).await;
        self.replace(fleet, true).await
    }

    async fn act(&mut self, fleet: &mut fleet::Fleet, act: Act) -> Result<(), Error> {
        match act {
            Act::Kill(host) => {
                self.down.insert(host);
                absent(fleet.kill(host, fleet::Part::Node))
            }
            // A second request would cut the first one short.
            Act::Stop(host) if self.down.insert(host) => {
                absent(fleet.terminate(host, fleet::Part::Node))
            }
            Act::Stop(_) => Ok(()),
            Act::Pause(host) => absent(fleet.pause(host, fleet::Part::Node)),
            Act::Resume(host) => absent(fleet.resume(host, fleet::Part::Node)),
            Act::Start(host) if self.down.remove(&host) => {
                absent(fleet.kill(host, fleet::Part::Node))?;
                Ok(fleet.restart(host, fleet::Part::Node)?)
            }
            Act::Start(_) => Ok(()),
            Act::Crash(host) => self.crash(fleet, host).await,
            Act::Drain(host) => {
                if self.leaving.iter().all(|(_, other)| *other != host) {
                    self.leaving.push((time::Instant::now() + DRAIN_PAUSE, host));
                    control(fleet, host, json!({ "drain": true })).await?;
                }
                Ok(())
            }
            Act::Slow(host, ms) => control(fleet, host, json!({ "slow_ms": ms })).await,
            Act::Shed(host, percent) => {
                control(fleet, host, json!({ "shed": share(percent) })).await
            }
            Act::Garble(host, percent) => {
                control(fleet, host, json!({ "cut": share(percent) })).await
            }
            Act::Break(host, net) => {
                self.broken.insert(host, net);
                self.rules(fleet).await
            }
            Act::Mend(host) => {
                self.broken.remove(&host);
                self.rules(fleet).await
            }
            Act::Outage(log) => Ok(fleet.log_faults(&outage(log, self.turn)).await?),
            Act::Restore => Ok(fleet.log_faults(&json!({})).await?),
            Act::Publish => {
                self.turn += 1;
                // The operator repeats what the log did not take; it is up again for the repeat.
                if let Ok(version) = stage::publish(fleet, self.version, self.turn).await {
                    self.version = version;
                }
                Ok(())
            }
        }
    }

    async fn crash(&mut self, fleet: &mut fleet::Fleet, host: usize) -> Result<(), Error> {
        if self.leaving.iter().any(|(_, other)| *other == host) {
            return Ok(());
        }
        control(fleet, host, json!({ "dead": "refuse" })).await?;
        tokio::time::sleep(CRASH_PAUSE).await;
        self.renew(fleet, host).await
    }

    /// Replaces the drained upstreams whose time has come.
    async fn replace(&mut self, fleet: &mut fleet::Fleet, all: bool) -> Result<(), Error> {
        let now = time::Instant::now();
        while let Some(index) = self.leaving.iter().position(|(due, _)| all || *due <= now) {
            let (_, host) = self.leaving.swap_remove(index);
            self.renew(fleet, host).await?;
        }
        Ok(())
    }

    /// Keeps what an upstream ran and starts another one in its place.
    async fn renew(&mut self, fleet: &mut fleet::Fleet, host: usize) -> Result<(), Error> {
        self.records.push(record(fleet, host).await?);
        absent(fleet.kill(host, fleet::Part::Upstream))?;
        Ok(fleet.restart(host, fleet::Part::Upstream)?)
    }

    async fn rules(&self, fleet: &fleet::Fleet) -> Result<(), Error> {
        let bases = |host: &usize| vec![fleet.hosts()[*host].base()];
        let rules: Vec<_> = self.broken.iter().map(|(host, net)| rule(*net, bases(host))).collect();
        Ok(fleet.rules(&rules).await?)
    }
}

/// What the upstream of `host` ran.
///
/// # Errors
///
/// It does not answer within the time that a start takes.
pub async fn record(fleet: &fleet::Fleet, host: usize) -> Result<record::Record, Error> {
    started(|| fleet.record(host)).await
}

async fn control(
    fleet: &fleet::Fleet,
    host: usize,
    change: serde_json::Value,
) -> Result<(), Error> {
    started(|| fleet.control(host, &change)).await
}

/// Asks an upstream until it answers: one that has just been started may not listen yet.
async fn started<T, F>(ask: impl Fn() -> F) -> Result<T, Error>
where
    F: Future<Output = Result<T, fleet::Error>>,
{
    let until = time::Instant::now() + START;
    loop {
        match ask().await {
            Err(fleet::Error::Http(_)) if time::Instant::now() < until => {}
            other => return Ok(other?),
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// A process that is not there, since another fault of the series took it, is no error.
fn absent(done: Result<(), fleet::Error>) -> Result<(), Error> {
    match done {
        Ok(()) | Err(fleet::Error::NoProcess(_) | fleet::Error::Ended(..)) => Ok(()),
        Err(error) => Err(error.into()),
    }
}

fn share(percent: u8) -> f64 {
    f64::from(percent) / 100.0
}

fn rule(net: series::Net, host: Vec<std::net::SocketAddr>) -> rules::Rule {
    let none = rules::Faults::default();
    let to = |faults| rules::Rule { to: host.clone(), faults, ..rules::Rule::default() };
    match net {
        series::Net::Cut => to(rules::Faults { cut: true, ..none }),
        series::Net::Silent => {
            rules::Rule { ports: vec![INNER], ..to(rules::Faults { hang: true, ..none }) }
        }
        series::Net::OneWay => {
            let faults = rules::Faults { cut: true, ..none };
            rules::Rule { from: host, faults, ..rules::Rule::default() }
        }
        series::Net::Rough => {
            to(rules::Faults { delay_ms: 5, jitter_ms: 30, loss: 0.2, twice: 0.1, ..none })
        }
        series::Net::Thin => to(rules::Faults { rate: 100_000, ..none }),
        series::Net::Short => to(rules::Faults { cut_after: 30_000, ..none }),
    }
}

fn outage(log: series::Log, seed: u64) -> serde_json::Value {
    match log {
        series::Log::Refuse => json!({ "outage": "refuse" }),
        series::Log::Close => json!({ "outage": "close" }),
        series::Log::Hang => json!({ "outage": "hang" }),
        series::Log::Slow => json!({ "delay_ms": 300 }),
        series::Log::Lose => json!({ "lose_share": 0.4, "seed": seed }),
    }
}
