//! Handles the HTTP requests to the log stand-in.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body;
use tokio::sync::watch;

use crate::clock::Clock as _;
use crate::context;
use crate::logs;
use crate::logs::wire;
use crate::standin::log::{self, faults, rate, store};

/// Maximum number of records of a read that names none in its query.
const DEFAULT_RECORDS: u32 = 100;

/// Upper bound of a read's waiting time for new records.
const MAX_WAIT_MS: u64 = 60_000;

/// Path that sets the faults in force.
const FAULTS_PATH: &str = "/faults";

/// Prefix of the paths of streams.
const STREAMS_PATH: &str = "/streams/";

/// Makes hyper close the connection without a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the answer is lost on purpose")]
pub struct Lost;

/// State that all connections share.
#[derive(Debug)]
pub struct Shared {
    context: context::Context,
    options: log::Options,
    inner: Mutex<Inner>,
    /// A counter that increases with each append and wakes the reads that wait.
    changed: watch::Sender<u64>,
}

#[derive(Debug)]
struct Inner {
    faults: faults::State,
    rate: rate::Rate,
    store: store::Store,
}

/// Which records a read asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Query {
    from: logs::Offset,
    max: u32,
    wait: time::Duration,
}

type Reply = Response<Full<Bytes>>;

impl Shared {
    /// The state of a log without streams.
    pub fn new(context: context::Context, options: log::Options) -> Self {
        let inner = Inner {
            faults: faults::State::new(),
            rate: rate::Rate::new(options.rate, context.now()),
            store: store::Store::default(),
        };
        Self { context, options, inner: Mutex::new(inner), changed: watch::Sender::new(0) }
    }

    /// Puts `faults` in force.
    pub fn set_faults(&self, faults: faults::Faults) {
        let mut inner = self.lock();
        inner.faults = faults::State::with(faults);
        if let Some(count) = faults.keep_last {
            inner.store.cut(count);
        }
    }

    /// Answers `request`.
    pub async fn handle(self: Arc<Self>, request: Request<body::Incoming>) -> Result<Reply, Lost> {
        if request.uri().path() == FAULTS_PATH {
            return Ok(self.replace_faults(request).await);
        }
        let outage = self.lock().faults.faults().outage;
        match outage {
            faults::Outage::None => {}
            faults::Outage::Refuse => return Ok(busy(StatusCode::SERVICE_UNAVAILABLE)),
            faults::Outage::Close => return Err(Lost),
            faults::Outage::Hang => return std::future::pending().await,
        }
        let delay = self.lock().faults.faults().delay_ms;
        if delay > 0 {
            tokio::time::sleep(time::Duration::from_millis(delay)).await;
        }
        let path = request.uri().path().strip_prefix(STREAMS_PATH).map(str::to_owned);
        match (request.method(), path) {
            (&Method::POST, Some(stream)) => self.append(&stream, request).await,
            (&Method::GET, Some(stream)) => Ok(self.read(&stream, request.uri().query()).await),
            _ => Ok(status(StatusCode::NOT_FOUND)),
        }
    }

    async fn replace_faults(&self, request: Request<body::Incoming>) -> Reply {
        let Some(body) = collect(request, self.options.body_bytes).await else {
            return status(StatusCode::BAD_REQUEST);
        };
        match serde_json::from_slice(&body) {
            Ok(faults) => {
                self.set_faults(faults);
                status(StatusCode::NO_CONTENT)
            }
            Err(_) => status(StatusCode::BAD_REQUEST),
        }
    }

    async fn append(&self, stream: &str, request: Request<body::Incoming>) -> Result<Reply, Lost> {
        let Some(body) = collect(request, self.options.body_bytes).await else {
            return Ok(status(StatusCode::PAYLOAD_TOO_LARGE));
        };
        let (offset, lost) = {
            let mut inner = self.lock();
            if !inner.rate.take(self.context.now()) {
                return Ok(busy(StatusCode::TOO_MANY_REQUESTS));
            }
            let offset = inner.store.append(stream, self.context.clock.unix_millis(), body);
            (offset, inner.faults.lose())
        };
        self.changed.send_modify(|n| *n += 1);
        if lost {
            return Err(Lost);
        }
        Ok(reply(StatusCode::CREATED, &[(wire::OFFSET_HEADER, offset)], Bytes::new()))
    }

    async fn read(&self, stream: &str, query: Option<&str>) -> Reply {
        let Ok(query) = Query::parse(query.unwrap_or_default()) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let mut changed = self.changed.subscribe();
        let end = tokio::time::Instant::now() + query.wait;
        let batch = loop {
            let batch = self.batch(stream, query);
            if !batch.records.is_empty() || query.max == 0 {
                break batch;
            }
            match tokio::time::timeout_at(end, changed.changed()).await {
                Ok(Ok(())) => {}
                _ => break batch,
            }
        };
        let bounds = [(wire::FIRST_HEADER, batch.first), (wire::NEXT_HEADER, batch.next)];
        reply(StatusCode::OK, &bounds, wire::encode(&batch.records))
    }

    fn batch(&self, stream: &str, query: Query) -> logs::Batch {
        let mut inner = self.lock();
        inner.store.expire(self.context.clock.unix_millis(), self.options.retention);
        inner.store.read(stream, query.from, query.max)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Query {
    fn parse(query: &str) -> Result<Self, std::num::ParseIntError> {
        let mut parsed = Self { from: 0, max: DEFAULT_RECORDS, wait: time::Duration::ZERO };
        for pair in query.split('&') {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            match name {
                "from" => parsed.from = value.parse()?,
                "most" => parsed.max = value.parse()?,
                "wait_ms" => {
                    let millis: u64 = value.parse()?;
                    parsed.wait = time::Duration::from_millis(millis.min(MAX_WAIT_MS));
                }
                _ => {}
            }
        }
        Ok(parsed)
    }
}

async fn collect(request: Request<body::Incoming>, limit: usize) -> Option<Bytes> {
    let collected = Limited::new(request.into_body(), limit).collect().await.ok()?;
    Some(collected.to_bytes())
}

fn busy(code: StatusCode) -> Reply {
    let mut reply = status(code);
    reply.headers_mut().insert(header::RETRY_AFTER, header::HeaderValue::from_static("1"));
    reply
}

fn status(code: StatusCode) -> Reply {
    reply(code, &[], Bytes::new())
}

fn reply(code: StatusCode, numbers: &[(&'static str, u64)], body: Bytes) -> Reply {
    let mut reply = Response::new(Full::<Bytes>::new(body));
    *reply.status_mut() = code;
    for (name, number) in numbers {
        reply.headers_mut().insert(*name, header::HeaderValue::from(*number));
    }
    reply
}
