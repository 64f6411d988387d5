//! Asynchronous log output: lines are queued and written to standard output by a separate thread.
//!
//! A slow reader of the log must not block calls. The queue is therefore bounded, lines that do not
//! fit are dropped, and the number of dropped lines is logged as soon as there is room again.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time;

/// Maximum number of queued lines: some seconds of output of a node that refuses many calls, about
/// 2 MB.
const MAX_QUEUED_LINES: usize = 8192;

/// Maximum number of further lines in one write.
const BATCH_LINES: usize = 256;

/// Maximum time that an ending process waits for its last lines to be written.
const FLUSH_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Delay before retrying when the queue is full.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(2);

/// An entry of the queue.
enum Item {
    Line(Vec<u8>),
    /// Answered once all lines queued before it are written.
    Flush(mpsc::SyncSender<()>),
}

/// The sending end of the queue. Each write must be a complete line.
#[derive(Clone, Debug)]
pub struct Sink {
    items: mpsc::SyncSender<Item>,
    dropped: Arc<AtomicU64>,
}

impl Sink {
    /// Creates a sink and the thread that writes its lines to `output`.
    ///
    /// # Errors
    ///
    /// Fails when the thread can't be started.
    pub fn start<W: Write + Send + 'static>(output: W) -> io::Result<Self> {
        let (items, queue) = mpsc::sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_lines = Arc::clone(&dropped);
        thread::Builder::new().name("log".to_owned()).spawn(move || {
            write_lines(&queue, output, &dropped_lines);
        })?;
        Ok(Self { items, dropped })
    }

    /// Waits for a short time until all lines queued before are written.
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
        // A timeout means that the reader of the log is blocked, so nothing more can be done.
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

/// Writes lines until all sinks are dropped or the output is closed.
fn write_lines<W: Write>(queue: &mpsc::Receiver<Item>, mut output: W, dropped: &AtomicU64) {
    while let Ok(first) = queue.recv() {
        let mut bytes = Vec::new();
        let mut waiting = Vec::new();
        for item in std::iter::once(first).chain(queue.try_iter().take(BATCH_LINES)) {
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
            // The failed output is the log itself, so the error can't be logged.
            return;
        }
        for done in waiting {
            // The waiting thread may have timed out.
            let _ = done.send(());
        }
    }
}
