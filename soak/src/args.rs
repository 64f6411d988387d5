//! The command line: the seeds to play, and the size of a round.

use bpaf::Bpaf;

use crate::series;

/// Arguments of `dandelionspool-soak`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
pub struct Args {
    /// First seed
    #[bpaf(argument("SEED"), fallback(1))]
    pub from: u64,
    /// How many seeds to play, one after the other
    #[bpaf(argument("COUNT"), fallback(1))]
    pub seeds: u64,
    /// Hosts of the fleet, each with a node and an upstream
    #[bpaf(argument("COUNT"), fallback(5))]
    pub hosts: usize,
    /// Time over which faults begin, in seconds
    #[bpaf(argument("SECONDS"), fallback(8))]
    pub seconds: u64,
    /// Upstreams name no limits and don't say that they leave
    pub silent: bool,
    /// Nodes protect themselves from overload, reserve slots for orders, and choose upstreams and
    /// retries selectively
    pub overload: bool,
    /// Upstreams also send answers once more, late or behind others
    pub repeats: bool,
    /// Upstreams also withdraw, and their nodes are killed right after the acknowledgement
    pub withdrawals: bool,
    /// The operator also publishes configurations with many routes
    pub routes: bool,
}

impl Args {
    /// Size of the fleet and length of a round.
    pub const fn shape(&self) -> series::Shape {
        let length_ms = self.seconds * 1000;
        series::Shape {
            hosts: self.hosts,
            length_ms,
            notices: !self.silent,
            overload: self.overload,
            repeats: self.repeats,
            withdrawals: self.withdrawals,
            routes: self.routes,
        }
    }
}
