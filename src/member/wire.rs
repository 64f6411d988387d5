//! Datagrams between the membership duties of two hosts.
//!
//! Names of regions, zones, services, classes and versions are sent once in a datagram, and its
//! items refer to them by index.

use std::sync::Arc;

use postcard::ser_flavors;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::host;
use crate::leave;
use crate::member;
use crate::quarantine;
use crate::rollout;
use crate::seal;
use crate::version;
use crate::view;

/// Largest datagram, including its tag; it passes every link without fragmentation.
pub const MAX_BYTES: usize = 1200;

/// Children of an inner node of the digest tree.
pub const FANOUT: usize = 16;

/// The configuration a host runs and the digest of its table, carried by every ping and ack.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Running {
    /// Version of the configuration.
    pub version: version::Version,
    /// First bytes of the digest of the configuration.
    pub hash: [u8; member::HASH_BYTES],
    /// Digest of the records of all hosts that it counts as present.
    pub root: [u8; 4],
}

/// A range of the table: the hosts whose hash begins with the `bits` lowest bits of `index`.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Prefix {
    /// Length of the prefix; at most 28, a multiple of four.
    pub bits: u8,
    /// The bits of the prefix.
    pub index: u32,
}

/// The purpose of a datagram; a datagram of any purpose carries items besides.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Answers a ping.
    Ack {
        /// Sequence number of the ping.
        sequence: u32,
        /// State of the answering host.
        running: Running,
    },
    /// Answers a ping request: the target answered the helper.
    IndirectAck {
        /// Sequence number of the ping request.
        sequence: u32,
        /// Host that answered.
        target: host::HostId,
    },
    /// Asks a helper to ping a host that does not answer the sender.
    PingRequest {
        /// Sequence number of the request.
        sequence: u32,
        /// Host to ping.
        target: host::HostId,
    },
    /// Carries all records of a range as items.
    Bucket {
        /// The range.
        prefix: Prefix,
        /// Whether the receiver sends back the records that are newer on its side.
        reply: bool,
    },
    /// Refuses a page, as the rate limit is reached.
    Busy {
        /// Another host to ask.
        instead: Option<host::HostId>,
    },
    /// Carries the digests of the parts of a range.
    Digest {
        /// The range.
        prefix: Prefix,
        /// Digest of each part, in order.
        children: [[u8; 4]; FANOUT],
    },
    /// Carries items only.
    Gossip,
    /// Carries a page of the table as items, in answer to a pull.
    Page {
        /// Lowest hash of the next page; `None` at the end of the table.
        next: Option<u32>,
        /// Whether the sender has joined the mesh itself.
        joined: bool,
    },
    /// Probes a host.
    Ping {
        /// Sequence number of the ping.
        sequence: u32,
        /// State of the sender.
        running: Running,
    },
    /// Asks for a page of the table.
    Pull {
        /// Lowest hash of the hosts in the page.
        cursor: u32,
    },
}

/// An upstream on the wire.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// Index of its service among the names.
    pub service: u8,
    /// Index of its class among the names.
    pub class: u8,
    /// Phase in its life cycle.
    pub phase: view::Phase,
    /// Number of calls it runs at once.
    pub slots: u16,
    /// Number of connections it accepts.
    pub connections: u16,
    /// Incarnation of the upstream, counted within the incarnation of its node.
    pub incarnation: u32,
    /// Its version; `None` when it announced none.
    pub release: Option<Release>,
}

/// The version of an upstream on the wire.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Release {
    /// Index of the version among the names.
    pub version: u8,
    /// What its node observed during the trial of the version; `None` without a trial.
    pub trial: Option<Box<Trial>>,
}

/// The report of a node on the trial of a version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Trial {
    /// Counts over all routes.
    pub report: rollout::TrialReport,
    /// Counts of single routes.
    pub routes: rollout::counts::RouteReports,
}

impl Trial {
    /// The report `report` as it is sent.
    fn new(report: rollout::TrialReport) -> Self {
        Self { report, routes: report.routes }
    }

    /// The report as it was received.
    pub fn received(&self) -> rollout::TrialReport {
        rollout::TrialReport { routes: self.routes, ..self.report }
    }
}

/// A host's record of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The host.
    pub host: host::HostId,
    /// Incarnation of its process; a restarted process has a higher one.
    pub incarnation: u64,
    /// Serial number of the record within the incarnation, from one.
    pub serial: u32,
    /// Index of its region among the names.
    pub region: u8,
    /// Index of its availability zone among the names.
    pub zone: u8,
    /// The upstream beside it.
    pub upstream: Option<Upstream>,
}

/// A claim about a host, made by others or by the host itself when it leaves.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Claim {
    /// The host did not answer; it is declared dead unless it refutes this in time.
    Suspect,
    /// The host did not refute the suspicion in time.
    Dead,
    /// The host announced that it leaves.
    Left,
}

/// The crash of an upstream on the wire.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Identity of the crash.
    pub id: quarantine::CrashId,
    /// Time since the crash, in milliseconds.
    pub age_ms: u32,
    /// Requests that ran at the crash; at most [`quarantine::MAX_FINGERPRINTS`].
    pub fingerprints: Vec<quarantine::Fingerprint>,
}

/// The quarantine entry of a request on the wire.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineEntry {
    /// The request.
    pub fingerprint: quarantine::Fingerprint,
    /// Number of upstreams that crashed while it ran.
    pub crashes: u8,
    /// Whether an upstream has answered it since.
    pub lifted: bool,
    /// Time since the last crash or, if `lifted`, since the answer, in milliseconds.
    pub age_ms: u32,
}

/// An update that a datagram carries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Item {
    /// A claim about one incarnation of a host.
    Claim {
        /// The host.
        host: host::HostId,
        /// The incarnation.
        incarnation: u64,
        /// The claim.
        claim: Claim,
    },
    /// An availability zone that the sender can't reach.
    Unreachable {
        /// Index of the zone among the names.
        zone: u8,
    },
    /// A host's record.
    Record(Record),
    /// The crash of an upstream.
    Crash(Crash),
    /// The quarantine entry of a request.
    Quarantine(QuarantineEntry),
    /// Digest of all quarantine entries of the sender.
    Quarantines {
        /// The digest.
        digest: quarantine::Digest,
        /// Whether a receiver whose digest differs sends it back.
        reply: bool,
    },
    /// The leaving of an upstream that the node on a host has acknowledged.
    Leave {
        /// The host.
        host: host::HostId,
        /// The leaving.
        leave: leave::Leave,
        /// Time since it was acknowledged, in milliseconds.
        age_ms: u32,
    },
}

/// A datagram.
///
/// Invariant: every index in `items` is below the length of `names`, and the base port of every
/// host leaves room for its other ports; [`decode`] checks both.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Datagram {
    /// Sender.
    pub from: host::HostId,
    /// Purpose.
    pub body: Body,
    /// Names that items refer to.
    pub names: Vec<SmolStr>,
    /// Updates.
    pub items: Vec<Item>,
}

/// Why bytes were not accepted as a datagram.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The bytes can't be decoded.
    #[error("the datagram can't be decoded")]
    Codec(#[from] postcard::Error),
    /// Bytes follow the datagram.
    #[error("the datagram is followed by excess bytes")]
    Excess,
    /// A crash lists more than [`quarantine::MAX_FINGERPRINTS`] requests.
    #[error("a crash lists too many requests")]
    Fingerprints,
    /// An item refers to a name that the datagram does not contain.
    #[error("an item refers to a name that the datagram does not contain")]
    Name,
    /// A host's base port is zero or leaves no room for its other ports.
    #[error("the base port of a host is out of range")]
    Port,
    /// A range is not a node of the digest tree: its bits or its index are out of range.
    #[error("a range is not a node of the digest tree")]
    Prefix,
}

/// Encodes `datagram`.
///
/// # Errors
///
/// Fails only when the codec fails, which it does for no datagram of a [`Packer`].
pub fn encode(datagram: &Datagram) -> Result<Vec<u8>, Error> {
    Ok(postcard::to_stdvec(datagram)?)
}

/// Decodes and checks the datagram in `bytes`.
///
/// # Errors
///
/// Fails on bytes that are not a complete datagram or break its invariant; never panics.
pub fn decode(bytes: &[u8]) -> Result<Datagram, Error> {
    let (datagram, rest) = postcard::take_from_bytes::<Datagram>(bytes)?;
    if !rest.is_empty() {
        return Err(Error::Excess);
    }
    check_host(datagram.from)?;
    check_body(&datagram.body)?;
    datagram.items.iter().try_for_each(|i| check_item(i, datagram.names.len()))?;
    Ok(datagram)
}

fn check_host(id: host::HostId) -> Result<(), Error> {
    if id.has_valid_ports() { Ok(()) } else { Err(Error::Port) }
}

fn check_body(body: &Body) -> Result<(), Error> {
    match *body {
        Body::IndirectAck { target, .. } | Body::PingRequest { target, .. } => check_host(target),
        Body::Busy { instead: Some(id) } => check_host(id),
        Body::Bucket { prefix, .. } | Body::Digest { prefix, .. } => {
            let fits = prefix.bits <= 28 && prefix.bits % 4 == 0;
            let valid = fits && u64::from(prefix.index) < 1 << prefix.bits;
            if valid { Ok(()) } else { Err(Error::Prefix) }
        }
        _ => Ok(()),
    }
}

fn check_item(item: &Item, names: usize) -> Result<(), Error> {
    let check_name = |i: u8| if usize::from(i) < names { Ok(()) } else { Err(Error::Name) };
    match item {
        Item::Claim { host, .. } | Item::Leave { host, .. } => check_host(*host),
        Item::Unreachable { zone } => check_name(*zone),
        Item::Crash(crash) if crash.fingerprints.len() > quarantine::MAX_FINGERPRINTS => {
            Err(Error::Fingerprints)
        }
        Item::Crash(crash) => check_host(crash.id.host),
        Item::Quarantine(_) | Item::Quarantines { .. } => Ok(()),
        Item::Record(record) => {
            check_host(record.host)?;
            check_name(record.region)?;
            check_name(record.zone)?;
            record.upstream.iter().try_for_each(|u| {
                check_name(u.service)?;
                check_name(u.class)?;
                u.release.as_ref().map_or(Ok(()), |release| check_name(release.version))
            })
        }
    }
}

impl Datagram {
    /// The name at `index`; empty for an index out of range, which [`decode`] rules out.
    pub fn name(&self, index: u8) -> SmolStr {
        self.names.get(usize::from(index)).cloned().unwrap_or_default()
    }
}

/// Builds one datagram, adding items until it reaches [`MAX_BYTES`].
#[derive(Debug)]
pub struct Packer {
    from: host::HostId,
    body: Body,
    names: Vec<SmolStr>,
    items: Vec<Item>,
    /// Bytes that are still free.
    remaining: usize,
}

impl Packer {
    /// An empty packer for a datagram from `from`.
    pub fn new(from: host::HostId, body: Body) -> Self {
        // The counts of names and items take up to two bytes each.
        let used = seal::TAG_BYTES + size(&from) + size(&body) + 4;
        let remaining = MAX_BYTES.saturating_sub(used);
        Self { from, body, names: Vec::new(), items: Vec::new(), remaining }
    }

    /// Adds a claim; `false` when it does not fit.
    pub fn claim(&mut self, host: host::HostId, incarnation: u64, claim: Claim) -> bool {
        self.item(Item::Claim { host, incarnation, claim })
    }

    /// Adds an unreachable zone; `false` when it does not fit.
    pub fn unreachable(&mut self, zone: &SmolStr) -> bool {
        let known = self.names.len();
        match self.intern(zone) {
            Some(zone) => self.put(known, Item::Unreachable { zone }),
            None => {
                self.names.truncate(known);
                false
            }
        }
    }

    /// Adds an item that refers to no names; `false` when it does not fit.
    pub fn item(&mut self, item: Item) -> bool {
        self.put(self.names.len(), item)
    }

    /// Adds a host's record; `false` when it does not fit.
    pub fn record(
        &mut self,
        host: host::HostId,
        (incarnation, serial): (u64, u32),
        locality: &view::Locality,
        upstream: Option<&Arc<view::Upstream>>,
    ) -> bool {
        let known = self.names.len();
        match self.convert(host, (incarnation, serial), locality, upstream) {
            Some(item) => self.put(known, Item::Record(item)),
            None => {
                self.names.truncate(known);
                false
            }
        }
    }

    /// The purpose of the datagram.
    pub const fn body(&self) -> &Body {
        &self.body
    }

    /// Whether no item was added.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// The datagram.
    pub fn finish(self) -> Datagram {
        Datagram { from: self.from, body: self.body, names: self.names, items: self.items }
    }

    /// Converts a record by adding its names; `None` when there are too many names.
    fn convert(
        &mut self,
        host: host::HostId,
        (incarnation, serial): (u64, u32),
        locality: &view::Locality,
        upstream: Option<&Arc<view::Upstream>>,
    ) -> Option<Record> {
        let region = self.intern(&locality.region)?;
        let zone = self.intern(&locality.zone)?;
        let upstream = match upstream {
            Some(upstream) => Some(Upstream {
                service: self.intern(&upstream.service)?,
                class: self.intern(&upstream.class)?,
                phase: upstream.phase,
                slots: upstream.slots,
                connections: upstream.connections,
                incarnation: upstream.incarnation,
                release: self.release(upstream)?,
            }),
            None => None,
        };
        Some(Record { host, incarnation, serial, region, zone, upstream })
    }

    /// Converts the version of `upstream`. The inner `None` means that it announced none, the outer
    /// one that there are too many names.
    fn release(&mut self, upstream: &view::Upstream) -> Option<Option<Release>> {
        if upstream.version.is_empty() {
            return Some(None);
        }
        let version = self.intern(&upstream.version)?;
        let trial = Some(upstream.trial).filter(|trial| trial.order > 0).map(Trial::new);
        let trial = trial.map(Box::new);
        Some(Some(Release { version, trial }))
    }

    /// The index of `name`, which is added if it is new; `None` when there are too many names.
    fn intern(&mut self, name: &SmolStr) -> Option<u8> {
        let known = self.names.iter().position(|n| n == name);
        let index = known.unwrap_or_else(|| {
            self.names.push(name.clone());
            self.names.len() - 1
        });
        u8::try_from(index).ok()
    }

    /// Adds `item`, for which the names from index `known` on were added; removes these names again
    /// and returns `false` when the item does not fit.
    fn put(&mut self, known: usize, item: Item) -> bool {
        let new_names = self.names.get(known..).unwrap_or_default();
        let cost = size(&item) + new_names.iter().map(size).sum::<usize>();
        let fits = cost <= self.remaining;
        if fits {
            self.remaining -= cost;
            self.items.push(item);
        } else {
            self.names.truncate(known);
        }
        fits
    }
}

/// Size of `value` on the wire, in bytes; [`MAX_BYTES`], which never fits, if it can't be encoded.
fn size<T: Serialize>(value: &T) -> usize {
    let counted = postcard::serialize_with_flavor(value, ser_flavors::Size::default());
    counted.unwrap_or(MAX_BYTES)
}
