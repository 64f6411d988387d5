//! Datagrams between the membership duties of two hosts.
//!
//! Names of places, services and classes are sent once a datagram and referred to by index.

use std::sync::Arc;

use postcard::ser_flavors;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::host;
use crate::member;
use crate::quarantine;
use crate::rollout;
use crate::seal;
use crate::version;
use crate::view;

/// Largest datagram, its tag included; passes every link without fragments.
pub const MAX_BYTES: usize = 1200;

/// Children of one node of the digest tree.
pub const FANOUT: usize = 16;

/// What a host runs and knows, carried by every probe and answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Running {
    /// Version it runs.
    pub version: version::Version,
    /// First bytes of the digest of what it runs.
    pub hash: [u8; member::HASH_BYTES],
    /// Digest of all records it knows.
    pub root: [u8; 4],
}

/// A range of hosts: those whose hash begins with the `bits` lowest bits of `index`.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Prefix {
    /// Length of the prefix; at most 28, a multiple of four.
    pub bits: u8,
    /// Value of the prefix.
    pub index: u32,
}

/// What a datagram is for; its items ride along with any.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Answers a ping.
    Ack {
        /// Number of the ping.
        sequence: u32,
        /// What the answering host runs.
        running: Running,
    },
    /// Tells the asker that its target answered the helper.
    IndirectAck {
        /// Number of the question.
        sequence: u32,
        /// Host that answered.
        target: host::HostId,
    },
    /// Asks a helper to ping a host that does not answer the asker.
    PingRequest {
        /// Number of the question.
        sequence: u32,
        /// Host to ping.
        target: host::HostId,
    },
    /// All records of a range as items.
    Bucket {
        /// The range.
        prefix: Prefix,
        /// Whether the receiver sends back what it knows better.
        reply: bool,
    },
    /// No pages to give at the moment.
    Busy {
        /// A host that may have some.
        instead: Option<host::HostId>,
    },
    /// Digests of the parts of a range.
    Digest {
        /// The range.
        prefix: Prefix,
        /// Digest of each part, in order.
        children: [[u8; 4]; FANOUT],
    },
    /// Carries items only.
    Gossip,
    /// A page of the table as items, in answer to a pull.
    Page {
        /// Where the next page begins; `None` at the end of the table.
        next: Option<u32>,
        /// Whether the sender has joined the mesh itself.
        settled: bool,
    },
    /// Probes a host.
    Ping {
        /// Number of the ping.
        sequence: u32,
        /// What the asking host runs.
        running: Running,
    },
    /// Asks for a page of the table.
    Pull {
        /// Lowest hash of the hosts in the page.
        cursor: u32,
    },
}

/// An upstream on the wire.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// Index of its service among the names.
    pub service: u8,
    /// Index of its class among the names.
    pub class: u8,
    /// Life cycle.
    pub phase: view::Phase,
    /// Calls it runs at once.
    pub slots: u16,
    /// Connections it accepts.
    pub connections: u16,
    /// Number of its life within that of its node.
    pub incarnation: u32,
    /// Its version; `None` where it tells none.
    pub release: Option<Release>,
}

/// The version of an upstream on the wire.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Release {
    /// Index of the version among the names.
    pub version: u8,
    /// What its node has seen of it; `None` while it is not tried.
    pub trial: Option<rollout::TrialReport>,
}

/// What a host says of itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The host.
    pub host: host::HostId,
    /// Number of its life.
    pub incarnation: u64,
    /// Number of the record within the incarnation, from one.
    pub serial: u32,
    /// Index of its region among the names.
    pub region: u8,
    /// Index of its availability zone among the names.
    pub zone: u8,
    /// The upstream beside it.
    pub upstream: Option<Upstream>,
}

/// What is claimed of a host by others, or by itself when it leaves.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Claim {
    /// Did not answer; dead unless it refutes in time.
    Suspect,
    /// Did not refute in time.
    Dead,
    /// Said that it leaves.
    Left,
}

/// The end of an upstream on the wire.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Its name.
    pub id: quarantine::CrashId,
    /// Time since then, in milliseconds.
    pub age_ms: u32,
    /// What ran; at most [`quarantine::MAX_FINGERPRINTS`].
    pub fingerprints: Vec<quarantine::Fingerprint>,
}

/// What is held of a request on the wire.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineEntry {
    /// The request.
    pub fingerprint: quarantine::Fingerprint,
    /// Upstreams that ended under it.
    pub crashes: u8,
    /// Whether an upstream has answered it since.
    pub lifted: bool,
    /// Time since the last of them ended, or answered it, in milliseconds.
    pub age_ms: u32,
}

/// News that ride on a datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Item {
    /// Something claimed of one life of a host.
    Claim {
        /// The host.
        host: host::HostId,
        /// The life it is about.
        incarnation: u64,
        /// What is claimed.
        claim: Claim,
    },
    /// An availability zone that the sender can't reach.
    Unreachable {
        /// Index of the zone among the names.
        zone: u8,
    },
    /// A host's record.
    Record(Record),
    /// The end of an upstream.
    Crash(Crash),
    /// What is held of a request.
    Quarantine(QuarantineEntry),
    /// What the sender holds of all requests.
    Quarantines {
        /// Digest of it.
        digest: quarantine::Digest,
        /// Whether a receiver that holds something else says so.
        reply: bool,
    },
}

/// A datagram.
///
/// Invariant: every index in `items` is below the length of `names`, and every host has room for
/// its ports; [`decode`] checks both.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Datagram {
    /// Sender.
    pub from: host::HostId,
    /// Purpose.
    pub body: Body,
    /// Names that items refer to.
    pub names: Vec<SmolStr>,
    /// News.
    pub items: Vec<Item>,
}

/// Why bytes are not a datagram.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The bytes can't be decoded.
    #[error("the datagram can't be decoded")]
    Codec(#[from] postcard::Error),
    /// Bytes are left over.
    #[error("the datagram has bytes left over")]
    Excess,
    /// An end names too many requests.
    #[error("the end of an upstream names too many requests")]
    Fingerprints,
    /// An item refers to a name that is not there.
    #[error("an item refers to a name that is not there")]
    Name,
    /// A host has no room for its ports.
    #[error("a host's base port leaves no room for its ports")]
    Port,
    /// A range is too narrow or its index too large for its bits.
    #[error("a range is not one of the digest tree")]
    Prefix,
}

/// The bytes of `datagram`.
///
/// # Errors
///
/// Fails when the codec does; never for a datagram made here.
pub fn encode(datagram: &Datagram) -> Result<Vec<u8>, Error> {
    Ok(postcard::to_stdvec(datagram)?)
}

/// The datagram in `bytes`.
///
/// # Errors
///
/// Fails on bytes that are not a whole datagram or break its invariant; never panics.
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
    let port = id.member_addr().port();
    if port == 0 || port > u16::MAX - host::PORT_COUNT { Err(Error::Port) } else { Ok(()) }
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
        Item::Claim { host, .. } => check_host(*host),
        Item::Unreachable { zone } => check_name(*zone),
        Item::Crash(end) if end.fingerprints.len() > quarantine::MAX_FINGERPRINTS => {
            Err(Error::Fingerprints)
        }
        Item::Crash(end) => check_host(end.id.host),
        Item::Quarantine(_) | Item::Quarantines { .. } => Ok(()),
        Item::Record(record) => {
            check_host(record.host)?;
            check_name(record.region)?;
            check_name(record.zone)?;
            record.upstream.iter().try_for_each(|u| {
                check_name(u.service)?;
                check_name(u.class)?;
                u.release.map_or(Ok(()), |release| check_name(release.version))
            })
        }
    }
}

impl Datagram {
    /// The name at `index`; empty when there is none, which [`decode`] rules out.
    pub fn name(&self, index: u8) -> SmolStr {
        self.names.get(usize::from(index)).cloned().unwrap_or_default()
    }
}

/// Collects items for one datagram up to its size.
#[derive(Debug)]
pub struct Packer {
    from: host::HostId,
    body: Body,
    names: Vec<SmolStr>,
    items: Vec<Item>,
    left: usize,
}

impl Packer {
    /// An empty packer for a datagram from `from`.
    pub fn new(from: host::HostId, body: Body) -> Self {
        // Two bytes each hold the counts of names and items of a full datagram.
        let used = seal::TAG_BYTES + size(&from) + size(&body) + 4;
        let left = MAX_BYTES.saturating_sub(used);
        Self { from, body, names: Vec::new(), items: Vec::new(), left }
    }

    /// Adds a claim; says whether it fitted.
    pub fn claim(&mut self, host: host::HostId, incarnation: u64, claim: Claim) -> bool {
        self.item(Item::Claim { host, incarnation, claim })
    }

    /// Adds a dark zone; says whether it fitted.
    pub fn dark(&mut self, zone: &SmolStr) -> bool {
        let known = self.names.len();
        match self.intern(zone) {
            Some(zone) => self.put(known, Item::Unreachable { zone }),
            None => {
                self.names.truncate(known);
                false
            }
        }
    }

    /// Adds an item that refers to no names; says whether it fitted.
    pub fn item(&mut self, item: Item) -> bool {
        self.put(self.names.len(), item)
    }

    /// Adds a host's record; says whether it fitted.
    pub fn record(
        &mut self,
        host: host::HostId,
        (incarnation, serial): (u64, u32),
        place: &view::Locality,
        upstream: Option<&Arc<view::Upstream>>,
    ) -> bool {
        let known = self.names.len();
        match self.refer(host, (incarnation, serial), place, upstream) {
            Some(item) => self.put(known, Item::Record(item)),
            None => {
                self.names.truncate(known);
                false
            }
        }
    }

    /// What the datagram is for.
    pub const fn body(&self) -> &Body {
        &self.body
    }

    /// Whether nothing was added.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// The datagram.
    pub fn finish(self) -> Datagram {
        Datagram { from: self.from, body: self.body, names: self.names, items: self.items }
    }

    fn refer(
        &mut self,
        host: host::HostId,
        (incarnation, serial): (u64, u32),
        place: &view::Locality,
        upstream: Option<&Arc<view::Upstream>>,
    ) -> Option<Record> {
        let region = self.intern(&place.region)?;
        let zone = self.intern(&place.zone)?;
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

    /// The version of `upstream`, if it tells one; the outer `None` says that there is no room for its
    /// name.
    fn release(&mut self, upstream: &view::Upstream) -> Option<Option<Release>> {
        if upstream.version.is_empty() {
            return Some(None);
        }
        let version = self.intern(&upstream.version)?;
        let trial = Some(upstream.trial).filter(|trial| trial.order > 0);
        Some(Some(Release { version, trial }))
    }

    fn intern(&mut self, name: &SmolStr) -> Option<u8> {
        let known = self.names.iter().position(|n| n == name);
        let index = known.unwrap_or_else(|| {
            self.names.push(name.clone());
            self.names.len() - 1
        });
        u8::try_from(index).ok()
    }

    /// Adds `item` with the names from `known` on, or takes those names back.
    fn put(&mut self, known: usize, item: Item) -> bool {
        let fresh = self.names.get(known..).unwrap_or_default();
        let cost = size(&item) + fresh.iter().map(size).sum::<usize>();
        let fits = cost <= self.left;
        if fits {
            self.left -= cost;
            self.items.push(item);
        } else {
            self.names.truncate(known);
        }
        fits
    }
}

/// Bytes `value` takes on the wire; more than any datagram when it can't be encoded.
fn size<T: Serialize>(value: &T) -> usize {
    let counted = postcard::serialize_with_flavor(value, ser_flavors::Size::default());
    counted.unwrap_or(MAX_BYTES)
}
