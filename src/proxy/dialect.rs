//! The header names that callers and upstreams use towards a node.
//!
//! Calls between nodes always use the names of [`headers`]; a dialect applies only between a caller
//! and its entry node, and between an owner node and its upstream.

use http::header;

use crate::admit;
use crate::proxy::headers;

/// Header names used by callers and upstreams.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Identifies a request; an upstream's answer echoes it.
    pub id: header::HeaderName,
    /// Time remaining for a call, in whole milliseconds.
    pub remaining: header::HeaderName,
    /// Names the service of the host where a call began, for the upstream. `None`: not sent.
    pub caller: Option<header::HeaderName>,
    /// Names the organisation that makes a call, for the upstream.
    pub organisation: header::HeaderName,
    /// Names the instance that may run a call; another instance refuses it. `None`: not sent.
    pub instance: Option<header::HeaderName>,
    /// Set by an upstream on the answer to a call that it has not run.
    pub not_run: header::HeaderName,
    /// Set on every answer that an upstream made itself, rather than a proxy in between. `None`:
    /// not checked.
    pub signature: Option<header::HeaderName>,
    /// Names the limit of an upstream on its calls from all nodes together, in calls a second; set
    /// on its answers.
    pub limit: header::HeaderName,
    /// Set to [`headers::LEAVES`] by an upstream that is leaving, on its answers.
    pub leaving: header::HeaderName,
    /// Whether callers and upstreams get the project's own `dandelionspool-` headers.
    pub verbose: bool,
}

impl Default for Dialect {
    fn default() -> Self {
        Self {
            id: header::HeaderName::from_static(headers::REQUEST_ID),
            remaining: header::HeaderName::from_static(headers::DEADLINE),
            caller: None,
            organisation: header::HeaderName::from_static(headers::ORGANISATION),
            instance: None,
            not_run: header::HeaderName::from_static(headers::UPSTREAM),
            signature: None,
            limit: header::HeaderName::from_static(headers::LIMIT),
            leaving: header::HeaderName::from_static(headers::LEAVING),
            verbose: true,
        }
    }
}

impl Dialect {
    /// Sets the header that identifies a request.
    #[must_use]
    pub fn id(mut self, id: &'static str) -> Self {
        self.id = header::HeaderName::from_static(id);
        self
    }

    /// Sets the header for the time remaining for a call.
    #[must_use]
    pub fn remaining(mut self, remaining: &'static str) -> Self {
        self.remaining = header::HeaderName::from_static(remaining);
        self
    }

    /// Sets the header for the calling service.
    #[must_use]
    pub fn caller(mut self, caller: &'static str) -> Self {
        self.caller = Some(header::HeaderName::from_static(caller));
        self
    }

    /// Sets the header for the organisation that makes a call.
    #[must_use]
    pub fn organisation(mut self, organisation: &'static str) -> Self {
        self.organisation = header::HeaderName::from_static(organisation);
        self
    }

    /// Sets the header for the instance that may run a call.
    #[must_use]
    pub fn instance(mut self, instance: &'static str) -> Self {
        self.instance = Some(header::HeaderName::from_static(instance));
        self
    }

    /// Sets the header by which an upstream says that it has not run a call.
    #[must_use]
    pub fn not_run(mut self, not_run: &'static str) -> Self {
        self.not_run = header::HeaderName::from_static(not_run);
        self
    }

    /// Sets the header that every upstream's own answer has.
    #[must_use]
    pub fn signature(mut self, signature: &'static str) -> Self {
        self.signature = Some(header::HeaderName::from_static(signature));
        self
    }

    /// Sets the header by which an upstream names its limit.
    #[must_use]
    pub fn limit(mut self, limit: &'static str) -> Self {
        self.limit = header::HeaderName::from_static(limit);
        self
    }

    /// Sets the header by which an upstream says that it is leaving.
    #[must_use]
    pub fn leaving(mut self, leaving: &'static str) -> Self {
        self.leaving = header::HeaderName::from_static(leaving);
        self
    }

    /// Keeps the project's own headers from callers and upstreams.
    #[must_use]
    pub const fn terse(mut self) -> Self {
        self.verbose = false;
        self
    }

    /// Whether the status and headers of an upstream's answer say that it has not run the call.
    pub fn is_not_run(&self, status: http::StatusCode, map: &header::HeaderMap) -> bool {
        let misdirected =
            self.instance.is_some() && status == http::StatusCode::MISDIRECTED_REQUEST;
        let Some(value) = map.get(&self.not_run) else { return misdirected };
        let shed = status == http::StatusCode::SERVICE_UNAVAILABLE && value == headers::SHED;
        // The project's own header must have this value; any other header counts by its presence.
        shed || !self.verbose
    }

    /// Whether `status` alone tells callers that their call was not run and never will be. Verbose
    /// answers tell the outcome in a header.
    pub const fn promises_not_run(&self, status: http::StatusCode) -> bool {
        !self.verbose && matches!(status.as_u16(), 408 | 421 | 429 | 503)
    }

    /// Whether an answer with these headers was made by an upstream itself.
    pub fn is_signed(&self, map: &header::HeaderMap) -> bool {
        self.signature.as_ref().is_none_or(|signature| map.contains_key(signature))
    }

    /// The limit that an upstream names in an answer with these headers; `None` if it names none,
    /// the lowest if it names several.
    ///
    /// # Errors
    ///
    /// It names a limit, but no valid one.
    pub fn named_limit(
        &self,
        map: &header::HeaderMap,
    ) -> Result<Option<admit::Rate>, admit::MalformedRate> {
        let named = map.get_all(&self.limit).iter();
        let rates = named.map(|value| value.to_str().unwrap_or_default().parse());
        let lowest = rates.reduce(|lowest: Result<admit::Rate, _>, rate| match (lowest, rate) {
            (Ok(lowest), Ok(rate)) => Ok(lowest.min(rate)),
            (lowest, rate) => lowest.or(rate),
        });
        lowest.transpose()
    }

    /// Whether an upstream says that it is leaving in an answer with these headers.
    pub fn is_leaving(&self, map: &header::HeaderMap) -> bool {
        map.get_all(&self.leaving).iter().any(|value| value == headers::LEAVES)
    }
}
