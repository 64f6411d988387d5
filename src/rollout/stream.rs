//! Statuses of roll-outs in a stream of the product's own log.

use std::time;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::logs;
use crate::rollout::status;

/// Maximum number of records in one read.
const BATCH_RECORDS: u32 = 256;

/// Statuses as records of a stream. The last record of a service is its status, but the first final
/// state of an order is kept.
#[derive(Clone, Debug)]
pub struct Stream<L> {
    log: L,
}

/// Why the stream can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum Error<E> {
    /// The log did not answer or refused the request.
    #[error("request to the log failed")]
    Log(#[source] E),
    /// A status can't be encoded as JSON.
    #[error("failed to encode a status as JSON")]
    Json(#[from] serde_json::Error),
}

/// A status as a record of the stream.
#[derive(Debug, Deserialize, Serialize)]
struct Record {
    service: SmolStr,
    version: SmolStr,
    order: u64,
    state: status::State,
}

impl<L> Stream<L> {
    /// Stores statuses in `log`.
    pub const fn new(log: L) -> Self {
        Self { log }
    }
}

impl<L: logs::Service> status::Statuses for Stream<L> {
    type Error = Error<L::Error>;

    async fn read(&self) -> Result<status::StatusList, Self::Error> {
        let mut published = status::StatusList::default();
        loop {
            let read = self.log.read(
                logs::streams::ROLLOUTS,
                published.position,
                BATCH_RECORDS,
                time::Duration::ZERO,
            );
            let batch = read.await.map_err(Error::Log)?;
            for record in &batch.records {
                published.position = record.offset + 1;
                match serde_json::from_slice::<Record>(&record.body) {
                    Ok(record) => add(&mut published.list, record),
                    Err(error) => {
                        log::warn!(
                            offset = record.offset, error:% = error;
                            "a status of a roll-out can't be read"
                        );
                    }
                }
            }
            if batch.records.is_empty() || published.position >= batch.next {
                published.position = batch.next;
                return Ok(published);
            }
        }
    }

    /// Ignores the position, as the log has no conditional append: two hosts may write the same
    /// status, which changes nothing.
    async fn write(&self, status: &status::Status, _position: u64) -> Result<bool, Self::Error> {
        let (service, version) = (status.service.clone(), status.version.clone());
        let record = Record { service, version, order: status.order, state: status.state };
        let body = serde_json::to_vec(&record)?;
        let appended = self.log.append(logs::streams::ROLLOUTS, body.into()).await;
        appended.map(|_| true).map_err(Error::Log)
    }
}

/// Adds `record` to `list`, unless the list holds a final state of the same order.
fn add(list: &mut Vec<status::Status>, record: Record) {
    let status = status::Status {
        service: record.service,
        version: record.version,
        order: record.order,
        state: record.state,
    };
    let known = list.iter_mut().find(|known| known.service == status.service);
    match known {
        Some(known) if known.order == status.order && known.state.is_final() => {}
        Some(known) => *known = status,
        None => list.push(status),
    }
}
