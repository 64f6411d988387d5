//! The operator of a measurement: publishes one small change after the other.

use std::sync::Arc;
use std::time;

use bytes::Bytes;

use crate::configs;
use crate::fold::id;
use crate::fold::record;
use crate::logs::{self, Service as _, http};
use crate::traffic;
use crate::version;

/// What can go wrong while publishing.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The example is not JSON.
    #[error("the example is not JSON")]
    Json(#[from] serde_json::Error),
    /// The log does not answer.
    #[error("the log does not answer")]
    Log(#[from] http::Error),
    /// The record can't be encoded.
    #[error("the record can't be encoded")]
    Record(#[from] record::Error),
    /// The record can't be found again.
    #[error("the log lost the record at {0}")]
    Lost(logs::Offset),
}

/// One accepted change.
#[derive(Clone, Debug)]
pub struct Change {
    /// The version.
    pub version: version::Version,
    /// When the log appended it, in milliseconds since the Unix epoch.
    pub unix_millis: u64,
    /// Its file.
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
    /// An operator of the log at `settings`, who starts from the file `example`.
    pub fn new(settings: &configs::log::Log, example: &str) -> Result<Self, Error> {
        let log = http::Client::new(settings, Arc::new(traffic::Traffic::default()));
        let file = serde_json::from_str(example)?;
        Ok(Self { log, file, body: Bytes::new(), base: version::Version::NONE, count: 0 })
    }

    /// Takes `version`, whose file is `body`, as the current one.
    pub fn start_from(&mut self, version: version::Version, body: &str) {
        self.base = version;
        self.body = Bytes::copy_from_slice(body.as_bytes());
    }

    /// The file published last.
    pub const fn body(&self) -> &Bytes {
        &self.body
    }

    /// Changes one limit of one service and publishes the file.
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
