//! Bounded rings that join the threads of a node.

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

/// The item that a full or closed ring gave back.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the ring is full or its reader has ended")]
pub struct Refused<T>(pub T);

impl<T> Sender<T> {
    /// Puts `item` into the ring without waiting; gives it back when there is no room.
    pub fn offer(&self, item: T) -> Result<(), Refused<T>> {
        self.inner.try_send(item).map_err(|e| {
            self.refused.fetch_add(1, atomic::Ordering::Relaxed);
            match e {
                mpsc::error::TrySendError::Full(item) => Refused(item),
                mpsc::error::TrySendError::Closed(item) => Refused(item),
            }
        })
    }

    /// Puts `item` into the ring, waiting for room; gives it back when the reader has ended.
    pub async fn send(&self, item: T) -> Result<(), Refused<T>> {
        self.inner.send(item).await.map_err(|e| Refused(e.0))
    }

    /// The count of items that the ring refuses.
    pub fn refusals(&self) -> Refusals {
        Refusals(Arc::clone(&self.refused))
    }
}

/// How many items a ring has refused. It does not keep the ring open: a reader that waits for the
/// last sender to end still sees it end.
#[derive(Clone, Debug)]
pub struct Refusals(Arc<atomic::AtomicU64>);

impl Refusals {
    /// Items refused so far.
    pub fn get(&self) -> u64 {
        self.0.load(atomic::Ordering::Relaxed)
    }
}

/// A ring with room for `capacity` items.
pub fn bounded<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (inner, receiver) = mpsc::channel(capacity);
    (Sender { inner, refused: Arc::default() }, receiver)
}
