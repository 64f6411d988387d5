//! Plays a series of faults on a fleet: carries out each act at its time.

use std::collections;
use std::time;

use dandelionspool::bench::fleet;
use dandelionspool::clock::{self, Clock as _};
use dandelionspool::standin::fault::rules;
use dandelionspool::standin::upstream::record;
use serde_json::json;

use crate::Error;
use crate::check;
use crate::series;
use crate::series::Act;
use crate::setup;

/// Offset from a host's base port of the port for calls from other nodes.
const INTERNODE_PORT_OFFSET: u16 = 2;

/// Time from an upstream's refusal of new connections to its kill. Calls in flight end meanwhile,
/// and the record of what it ran, which the kill loses, is read before it.
const CRASH_DELAY: time::Duration = time::Duration::from_millis(60);

/// Longest time that an upstream may take to start on a busy machine.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Time between two requests to an upstream that is starting.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Time from the start of an upstream's drain to its replacement: slightly more than the grace
/// period after which it exits.
const DRAIN_TIME: time::Duration = time::Duration::from_millis(900);

/// Carries out acts, and tracks the faults in force and the processes to start again.
#[derive(Debug)]
pub struct Player {
    /// Records of the upstream processes that have been replaced.
    pub records: Vec<record::Record>,
    /// The version of the configuration that was accepted last.
    pub version: u64,
    /// Number of accepted publications with many routes.
    pub wide: u64,
    /// Number of publications so far.
    publications: u64,
    shape: series::Shape,
    /// Network faults in force, by host.
    network_faults: collections::BTreeMap<usize, series::NetworkFault>,
    /// Hosts whose node was killed or asked to stop, and has not been started since.
    down_nodes: collections::BTreeSet<usize>,
    /// Withdrawals that were acknowledged, of which the nodes were killed.
    pub withdrawals: Vec<check::Withdrawal>,
    /// Draining upstreams: the time of their replacement and their host.
    draining: Vec<(time::Instant, usize)>,
}

impl Player {
    /// Creates a player for a fleet that runs `version`.
    pub fn new(version: u64, shape: series::Shape) -> Self {
        let network_faults = collections::BTreeMap::new();
        let down_nodes = collections::BTreeSet::new();
        Self {
            records: Vec::new(),
            version,
            wide: 0,
            publications: 0,
            shape,
            network_faults,
            down_nodes,
            withdrawals: Vec::new(),
            draining: Vec::new(),
        }
    }

    /// Plays `series`. Every fault is over and every process runs again when it returns.
    ///
    /// # Errors
    ///
    /// A process of the fleet can't be controlled.
    pub async fn play(
        &mut self,
        fleet: &mut fleet::Fleet,
        series: &series::Series,
    ) -> Result<(), Error> {
        let start = time::Instant::now();
        for step in &series.steps {
            let due = start + time::Duration::from_millis(step.at_ms);
            tokio::time::sleep(due.saturating_duration_since(time::Instant::now())).await;
            self.replace_drained(fleet, false).await?;
            self.perform(fleet, step.act).await?;
        }
        tokio::time::sleep(DRAIN_TIME).await;
        self.replace_drained(fleet, true).await
    }

    async fn perform(&mut self, fleet: &mut fleet::Fleet, act: Act) -> Result<(), Error> {
        match act {
            Act::Kill(host) => {
                self.down_nodes.insert(host);
                ignore_absent(fleet.kill(host, fleet::Part::Node))
            }
            // A repeated request to stop must not cut the planned stop short.
            Act::Stop(host) => {
                self.down_nodes.insert(host);
                ignore_absent(fleet.terminate(host, fleet::Part::Node))
            }
            Act::Pause(host) => ignore_absent(fleet.pause(host, fleet::Part::Node)),
            Act::Resume(host) => ignore_absent(fleet.resume(host, fleet::Part::Node)),
            Act::Start(host) if self.down_nodes.remove(&host) => {
                ignore_absent(fleet.kill(host, fleet::Part::Node))?;
                fleet.restart(host, fleet::Part::Node)?;
                let back = clock::System::new().unix_millis();
                let of_host = self.withdrawals.iter_mut().filter(|w| w.host == host);
                of_host.for_each(|withdrawal| {
                    withdrawal.back_unix_ms.get_or_insert(back);
                });
                Ok(())
            }
            Act::Start(_) => Ok(()),
            Act::Crash(host) => self.crash(fleet, host).await,
            Act::Drain(host) => {
                if self.draining.iter().all(|(_, other)| *other != host) {
                    self.draining.push((time::Instant::now() + DRAIN_TIME, host));
                    control(fleet, host, json!({ "drain": true })).await?;
                }
                Ok(())
            }
            Act::Slow(host, ms) => control(fleet, host, json!({ "slow_ms": ms })).await,
            Act::Shed(host, percent) => {
                control(fleet, host, json!({ "shed": fraction(percent) })).await
            }
            Act::Truncate(host, percent) => {
                control(fleet, host, json!({ "cut": fraction(percent) })).await
            }
            Act::Limit(host, rate) => control(fleet, host, json!({ "limit": rate as f64 })).await,
            Act::Withdraw(host) => self.withdraw(fleet, host).await,
            Act::LateHeartbeat(host) => {
                control(fleet, host, json!({ "late_heartbeat": true })).await
            }
            Act::Reject(host, percent) => {
                control(fleet, host, json!({ "reject": fraction(percent) })).await
            }
            Act::Repeat(host, copies, percent) => {
                let (how, of) = (copies.how, copies.of);
                let repeat = fraction(percent);
                let change = json!({ "repeat": repeat, "repeat_how": how, "repeat_of": of });
                control(fleet, host, change).await
            }
            Act::Leave(host) => control(fleet, host, json!({ "leaving": true })).await,
            Act::Break(host, fault) => {
                self.network_faults.insert(host, fault);
                self.apply_rules(fleet).await
            }
            Act::Repair(host) => {
                self.network_faults.remove(&host);
                self.apply_rules(fleet).await
            }
            Act::Outage(fault) => {
                Ok(fleet.log_faults(&log_faults(fault, self.publications)).await?)
            }
            Act::Restore => Ok(fleet.log_faults(&json!({})).await?),
            Act::Publish => self.publish(fleet, 0).await,
            Act::PublishRoutes => self.publish(fleet, setup::MANY_ROUTES).await,
        }
    }

    /// Publishes a configuration with `routes` routes besides those of the calls.
    async fn publish(&mut self, fleet: &fleet::Fleet, routes: u64) -> Result<(), Error> {
        self.publications += 1;
        let turn = self.publications;
        match setup::publish(fleet, self.version, turn, routes, self.shape).await {
            Ok(version) => {
                self.version = version;
                self.wide += u64::from(routes > 0);
            }
            Err(Error::Publish(setup::INVALID)) => return Err(Error::Publish(setup::INVALID)),
            // The log service may not accept a publication during an outage; later acts publish
            // again when it is over.
            Err(_) => {}
        }
        Ok(())
    }

    /// Lets an upstream withdraw and kills its node once that is acknowledged.
    async fn withdraw(&mut self, fleet: &mut fleet::Fleet, host: usize) -> Result<(), Error> {
        // A node that is cut off can tell nobody else of the withdrawal, and one that is down can't
        // acknowledge it.
        if self.network_faults.contains_key(&host)
            || self.down_nodes.contains(&host)
            || self.draining.iter().any(|(_, other)| *other == host)
        {
            return Ok(());
        }
        control(fleet, host, json!({ "withdraw": true })).await?;
        let Some(acknowledged) = record(fleet, host).await?.withdrawn_unix_ms else {
            return Ok(());
        };
        let known =
            |w: &check::Withdrawal| w.host == host && w.acknowledged_unix_ms == acknowledged;
        if self.withdrawals.iter().any(known) {
            return Ok(());
        }
        self.down_nodes.insert(host);
        ignore_absent(fleet.kill(host, fleet::Part::Node))?;
        self.withdrawals.push(check::Withdrawal {
            host,
            acknowledged_unix_ms: acknowledged,
            back_unix_ms: None,
        });
        Ok(())
    }

    async fn crash(&mut self, fleet: &mut fleet::Fleet, host: usize) -> Result<(), Error> {
        if self.draining.iter().any(|(_, other)| *other == host) {
            return Ok(());
        }
        control(fleet, host, json!({ "dead": "refuse" })).await?;
        tokio::time::sleep(CRASH_DELAY).await;
        self.restart_upstream(fleet, host).await
    }

    /// Replaces the drained upstreams whose time of replacement is past, or all if `all` is set.
    async fn replace_drained(&mut self, fleet: &mut fleet::Fleet, all: bool) -> Result<(), Error> {
        let now = time::Instant::now();
        while let Some(index) = self.draining.iter().position(|(due, _)| all || *due <= now) {
            let (_, host) = self.draining.swap_remove(index);
            self.restart_upstream(fleet, host).await?;
        }
        Ok(())
    }

    /// Stores the record of an upstream, kills its process and starts a new one.
    async fn restart_upstream(
        &mut self,
        fleet: &mut fleet::Fleet,
        host: usize,
    ) -> Result<(), Error> {
        self.records.push(record(fleet, host).await?);
        ignore_absent(fleet.kill(host, fleet::Part::Upstream))?;
        Ok(fleet.restart(host, fleet::Part::Upstream)?)
    }

    async fn apply_rules(&self, fleet: &fleet::Fleet) -> Result<(), Error> {
        let bases = |host: &usize| vec![fleet.hosts()[*host].base()];
        let rules: Vec<_> = self
            .network_faults
            .iter()
            .map(|(host, fault)| network_rule(*fault, bases(host)))
            .collect();
        Ok(fleet.rules(&rules).await?)
    }
}

/// Fetches the record of the calls that the upstream of `host` ran.
///
/// # Errors
///
/// The upstream does not answer within the time allowed for a start.
pub async fn record(fleet: &fleet::Fleet, host: usize) -> Result<record::Record, Error> {
    until_started(|| fleet.record(host)).await
}

async fn control(
    fleet: &fleet::Fleet,
    host: usize,
    change: serde_json::Value,
) -> Result<(), Error> {
    until_started(|| fleet.control(host, &change)).await
}

/// Repeats a request to an upstream until it answers, since one just started may not listen yet.
async fn until_started<T, F>(ask: impl Fn() -> F) -> Result<T, Error>
where
    F: Future<Output = Result<T, fleet::Error>>,
{
    let deadline = time::Instant::now() + START_TIMEOUT;
    loop {
        match ask().await {
            Err(fleet::Error::Http(_)) if time::Instant::now() < deadline => {}
            other => return Ok(other?),
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Ignores the error of a process that does not run, since another fault of the series ended it.
fn ignore_absent(done: Result<(), fleet::Error>) -> Result<(), Error> {
    match done {
        Ok(()) | Err(fleet::Error::NoProcess(_) | fleet::Error::Ended(..)) => Ok(()),
        Err(error) => Err(error.into()),
    }
}

fn fraction(percent: u8) -> f64 {
    f64::from(percent) / 100.0
}

fn network_rule(fault: series::NetworkFault, host: Vec<std::net::SocketAddr>) -> rules::Rule {
    let none = rules::Faults::default();
    let to = |faults| rules::Rule { to: host.clone(), faults, ..rules::Rule::default() };
    match fault {
        series::NetworkFault::Cut => to(rules::Faults { cut: true, ..none }),
        series::NetworkFault::Silent => rules::Rule {
            ports: vec![INTERNODE_PORT_OFFSET],
            ..to(rules::Faults { hang: true, ..none })
        },
        series::NetworkFault::OneWay => {
            let faults = rules::Faults { cut: true, ..none };
            rules::Rule { from: host, faults, ..rules::Rule::default() }
        }
        series::NetworkFault::Rough => {
            to(rules::Faults { delay_ms: 5, jitter_ms: 30, loss: 0.2, twice: 0.1, ..none })
        }
        series::NetworkFault::Thin => to(rules::Faults { rate: 100_000, ..none }),
        series::NetworkFault::Short => to(rules::Faults { cut_after: 30_000, ..none }),
    }
}

fn log_faults(fault: series::LogFault, seed: u64) -> serde_json::Value {
    match fault {
        series::LogFault::Refuse => json!({ "outage": "refuse" }),
        series::LogFault::Close => json!({ "outage": "close" }),
        series::LogFault::Hang => json!({ "outage": "hang" }),
        series::LogFault::Slow => json!({ "delay_ms": 300 }),
        series::LogFault::Lose => json!({ "lose_share": 0.4, "seed": seed }),
    }
}
