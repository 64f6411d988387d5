//! Samples of the status and resource use of all nodes of a fleet.

use futures_util::future;

use crate::admin::status;
use crate::bench::fleet;

/// Sums over the nodes that answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sums {
    /// Bytes of membership sent.
    pub member: f64,
    /// Bytes of configuration sent.
    pub spread: f64,
    /// Bytes exchanged with the log.
    pub log: f64,
    /// Bytes received from the log.
    pub log_received: f64,
    /// Requests to the log.
    pub log_reads: f64,
    /// Processor time of all nodes, in seconds.
    pub cpu: f64,
}

impl Sums {
    /// The difference from the sums `earlier`.
    pub fn since(&self, earlier: &Sums) -> Sums {
        self.minus(earlier, 1.0)
    }

    /// These sums minus `times` times those of `other`.
    pub fn minus(&self, other: &Sums, times: f64) -> Sums {
        Sums {
            member: self.member - times * other.member,
            spread: self.spread - times * other.spread,
            log: self.log - times * other.log,
            log_received: self.log_received - times * other.log_received,
            log_reads: self.log_reads - times * other.log_reads,
            cpu: self.cpu - times * other.cpu,
        }
    }
}

/// The status of every node; `None` for one that does not respond.
pub async fn statuses(fleet: &fleet::Fleet) -> Vec<Option<status::Status>> {
    let asked = (0..fleet.hosts().len()).map(|index| fleet.status(index));
    let answers = future::join_all(asked).await.into_iter();
    answers.map(|a| serde_json::from_value(a.ok()?).ok()).collect()
}

/// The sums over `statuses` and the processor time of the fleet's nodes.
pub fn sums(fleet: &fleet::Fleet, statuses: &[Option<status::Status>]) -> Sums {
    let mut sums = Sums::default();
    for status in statuses.iter().flatten() {
        let of = |name: &str| status.traffic.get(name).copied().unwrap_or_default();
        let log = of("log");
        sums.member += of("member").sent as f64;
        sums.spread += of("spread").sent as f64;
        sums.log += (log.sent + log.received) as f64;
        sums.log_received += log.received as f64;
        sums.log_reads += log.messages as f64;
    }
    for index in 0..fleet.hosts().len() {
        let stat = fleet.stat(index, fleet::Part::Node).unwrap_or_default();
        sums.cpu += stat.cpu.as_secs_f64();
    }
    sums
}

/// Maximum resident memory of a node, in bytes.
pub fn peak(fleet: &fleet::Fleet) -> u64 {
    let stats = (0..fleet.hosts().len()).filter_map(|i| fleet.stat(i, fleet::Part::Node).ok());
    stats.map(|s| s.peak).max().unwrap_or_default()
}
