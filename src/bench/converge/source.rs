//! An operator who publishes a series of small changes.

use std::sync::Arc;
use std::time;

use bytes::Bytes;

use crate::configs;
use crate::fold::id;
use crate::fold::record;
use crate::logs::{self, Service as _, http};
use crate::traffic;
use crate::version;

/// Why a change can't be published.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The example is not JSON.
    #[error("the example is not JSON")]
    Json(#[from] serde_json::Error),
    /// A request to the log failed.
    #[error("a request to the log failed")]
    Log(#[from] http::Error),
    /// The record can't be encoded.
    #[error("the record can't be encoded")]
    Record(#[from] record::Error),
    /// The record can't be read back.
    #[error("the log lost the record at {0}")]
    Lost(logs::Offset),
}

/// One accepted change.
#[derive(Clone, Debug)]
pub struct Change {
    /// The version.
    pub version: version::Version,
    /// Time at which the log appended it, in milliseconds since the Unix epoch.
    pub unix_millis: u64,
    /// The published file.
    pub body: Bytes,
}

/// Publishes changes of an example.
pub struct Operator {
    /// The log.
    pub log: http::Client,
    file: serde_json::Value,
    body: Bytes,
    base: version::Version,
    count: u64,
}

impl Operator {
    /// An operator for the log that `settings` name, whose changes start from the file `example`.
    pub fn new(settings: &configs::log::Log, example: &str) -> Result<Self, Error> {
        let log = http::Client::new(settings, Arc::new(traffic::Traffic::default()));
        let file = serde_json::from_str(example)?;
        Ok(Self { log, file, body: Bytes::new(), base: version::Version::NONE, count: 0 })
    }

    /// Sets the version on which the next change is based, and its file.
    pub fn start_from(&mut self, version: version::Version, body: &str) {
        self.base = version;
        self.body = Bytes::copy_from_slice(body.as_bytes());
    }

    /// The file published last.
    pub const fn body(&self) -> &Bytes {
        &self.body
    }

    /// Changes the timeout of one service and publishes the file.
    pub async fn publish(&mut self) -> Result<Change, Error> {
        self.count += 1;
        self.file["services"][0]["timeout_ms"] = (2000 + self.count).into();
        let body = Bytes::from(serde_json::to_vec_pretty(&self.file)?);
        let id = id::PublishId::derive(self.base, &body);
        let publish = record::Publish { format: 1, base: self.base, id, body: body.clone() };
        let record = record::encode(&record::Record::Publish(publish))?;
        let offset = self.log.append(logs::streams::CONFIG, record).await?;
        let found = self.log.read(logs::streams::CONFIG, offset, 1, time::Duration::ZERO).await?;
        let record = found.records.first().ok_or(Error::Lost(offset))?;
        self.base = version::Version::new(offset + 1);
        self.body = body.clone();
        Ok(Change { version: self.base, unix_millis: record.unix_millis, body })
    }
}
