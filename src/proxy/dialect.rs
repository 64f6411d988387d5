//! The header names by which callers and upstreams speak to a node.
//!
//! Calls between nodes keep the names of [`headers`]; a dialect holds only at the two edges.

use http::header;

use crate::proxy::headers;

/// Header names at the edges of the mesh.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Names a request; an upstream's answer echoes it.
    pub id: header::HeaderName,
    /// Time left for a call, in whole milliseconds.
    pub left: header::HeaderName,
    /// Tells an upstream the service of the host where a call began; `None` leaves it untold.
    pub caller: Option<header::HeaderName>,
    /// Names the instance that an upstream must be to run a call; `None` leaves it unchecked.
    pub instance: Option<header::HeaderName>,
    /// Stands in an upstream's answer when it has not run the call.
    pub unrun: header::HeaderName,
    /// Stands in every answer that an upstream itself made; `None` takes every answer for its own.
    pub proof: Option<header::HeaderName>,
    /// Whether the product's own headers are shown to callers and upstreams.
    pub verbose: bool,
}

impl Default for Dialect {
    fn default() -> Self {
        Self {
            id: header::HeaderName::from_static(headers::REQUEST_ID),
            left: header::HeaderName::from_static(headers::DEADLINE),
            caller: None,
            instance: None,
            unrun: header::HeaderName::from_static(headers::UPSTREAM),
            proof: None,
            verbose: true,
        }
    }
}

impl Dialect {
    /// The same with `id` as the name of a request.
    #[must_use]
    pub fn id(mut self, id: &'static str) -> Self {
        self.id = header::HeaderName::from_static(id);
        self
    }

    /// The same with `left` for the time that is left.
    #[must_use]
    pub fn left(mut self, left: &'static str) -> Self {
        self.left = header::HeaderName::from_static(left);
        self
    }

    /// The same with `caller` for the calling service.
    #[must_use]
    pub fn caller(mut self, caller: &'static str) -> Self {
        self.caller = Some(header::HeaderName::from_static(caller));
        self
    }

    /// The same with `instance` for the instance that has to run a call.
    #[must_use]
    pub fn instance(mut self, instance: &'static str) -> Self {
        self.instance = Some(header::HeaderName::from_static(instance));
        self
    }

    /// The same with `unrun` for a call that did not run.
    #[must_use]
    pub fn unrun(mut self, unrun: &'static str) -> Self {
        self.unrun = header::HeaderName::from_static(unrun);
        self
    }

    /// The same with `proof` for what every upstream's answer bears.
    #[must_use]
    pub fn proof(mut self, proof: &'static str) -> Self {
        self.proof = Some(header::HeaderName::from_static(proof));
        self
    }

    /// The same without the product's own headers.
    #[must_use]
    pub const fn terse(mut self) -> Self {
        self.verbose = false;
        self
    }

    /// Whether the head of an upstream's answer says that the call has not run.
    pub fn is_unrun(&self, status: http::StatusCode, map: &header::HeaderMap) -> bool {
        let elsewhere = self.instance.is_some() && status == http::StatusCode::MISDIRECTED_REQUEST;
        let Some(value) = map.get(&self.unrun) else { return elsewhere };
        let shed = status == http::StatusCode::SERVICE_UNAVAILABLE && value == headers::SHED;
        // The product's own mark has other values, too; elsewhere its presence is what counts.
        shed || !self.verbose
    }

    /// Whether an answer with these headers is an upstream's own.
    pub fn is_proven(&self, map: &header::HeaderMap) -> bool {
        self.proof.as_ref().is_none_or(|proof| map.contains_key(proof))
    }
}
