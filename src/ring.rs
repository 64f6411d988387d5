//! Rings: bounded queues that connect the duties of a node.

use std::sync::Arc;
use std::sync::atomic;

use tokio::sync::mpsc;

/// The sending end of a ring. A full ring refuses the newest item and counts it.
#[derive(Debug)]
pub struct Sender<T> {
    inner: mpsc::Sender<T>,
    refused: Arc<atomic::AtomicU64>,
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Self { inner: self.inner.clone(), refused: Arc::clone(&self.refused) }
    }
}

/// The receiving end of a ring.
pub type Receiver<T> = mpsc::Receiver<T>;

/// The item that a full or closed ring returned.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the ring is full or its receiver is closed")]
pub struct Refused<T>(pub T);

impl<T> Sender<T> {
    /// Adds `item` to the ring without waiting. When the ring is full or closed, the item is
    /// counted as refused and returned.
    pub fn offer(&self, item: T) -> Result<(), Refused<T>> {
        self.inner.try_send(item).map_err(|e| {
            self.refused.fetch_add(1, atomic::Ordering::Relaxed);
            match e {
                mpsc::error::TrySendError::Full(item) => Refused(item),
                mpsc::error::TrySendError::Closed(item) => Refused(item),
            }
        })
    }

    /// Adds `item` to the ring, waiting until there is room. When the receiver is closed, the item
    /// is returned.
    pub async fn send(&self, item: T) -> Result<(), Refused<T>> {
        self.inner.send(item).await.map_err(|e| Refused(e.0))
    }

    /// The counter of refused items.
    pub fn refusals(&self) -> Refusals {
        Refusals(Arc::clone(&self.refused))
    }
}

/// Counter of the items that a ring has refused. It does not keep the ring open, so that a receiver
/// still sees when the last sender is dropped.
#[derive(Clone, Debug)]
pub struct Refusals(Arc<atomic::AtomicU64>);

impl Refusals {
    /// Number of items refused so far.
    pub fn get(&self) -> u64 {
        self.0.load(atomic::Ordering::Relaxed)
    }
}

/// A ring with room for `capacity` items.
pub fn bounded<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (inner, receiver) = mpsc::channel(capacity);
    (Sender { inner, refused: Arc::default() }, receiver)
}
