//! Lines on their way to standard output, written by a thread of their own.
//!
//! A reader of the log that falls behind must not hold up calls: the ring is bounded, what does not
//! fit is dropped, and how much was dropped is said as soon as there is room again.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time;

/// Lines that wait to be written: some seconds of a node that refuses much, about 2 MB.
const MAX_QUEUED_LINES: usize = 8192;

/// Lines written at once.
const BATCH: usize = 256;

/// Longest that a process which ends waits for its last lines.
const FLUSH_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Pause before a full ring is tried again.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(2);

/// What goes through the ring.
enum Item {
    Line(Vec<u8>),
    Flush(mpsc::SyncSender<()>),
}

/// The near end of the ring, as a place to write whole lines to.
#[derive(Clone, Debug)]
pub struct Sink {
    items: mpsc::SyncSender<Item>,
    dropped: Arc<AtomicU64>,
}

impl Sink {
    /// A sink whose lines a new thread writes to `output`.
    ///
    /// # Errors
    ///
    /// The thread can't be started.
    pub fn start<W: Write + Send + 'static>(output: W) -> io::Result<Self> {
        let (items, queue) = mpsc::sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        thread::Builder::new().name("log".to_owned()).spawn(move || {
            drain(&queue, output, &counted);
        })?;
        Ok(Self { items, dropped })
    }

    /// Waits a short time until what was written before is out.
    pub fn flush_lines(&self) {
        let (done, wait) = mpsc::sync_channel(1);
        let end = time::Instant::now() + FLUSH_TIMEOUT;
        let mut item = Item::Flush(done);
        while let Err(mpsc::TrySendError::Full(back)) = self.items.try_send(item) {
            if time::Instant::now() >= end {
                return;
            }
            item = back;
            thread::sleep(RETRY_DELAY);
        }
        // Without an answer in time the reader of the log does not read.
        let _ = wait.recv_timeout(end.saturating_duration_since(time::Instant::now()));
    }
}

impl Write for Sink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.items.try_send(Item::Line(line.to_vec())).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until every sink is gone or the output is.
fn drain<W: Write>(queue: &mpsc::Receiver<Item>, mut output: W, dropped: &AtomicU64) {
    while let Ok(first) = queue.recv() {
        let mut bytes = Vec::new();
        let mut waiting = Vec::new();
        for item in std::iter::once(first).chain(queue.try_iter().take(BATCH)) {
            match item {
                Item::Line(line) => bytes.extend_from_slice(&line),
                Item::Flush(done) => waiting.push(done),
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line = serde_json::json!({"level": "WARN", "msg": "log lines were dropped", "lines": lost});
            bytes.extend_from_slice(format!("{line}\n").as_bytes());
        }
        if output.write_all(&bytes).and_then(|()| output.flush()).is_err() {
            // Nobody can be told: the output is what would tell.
            return;
        }
        for done in waiting {
            // Whoever waited may have given up.
            let _ = done.send(());
        }
    }
}
