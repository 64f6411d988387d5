//! The record of a run: what was sent, answered and run, one line each.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    pub began: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn new(folder: &Path) -> std::io::Result<Self> {
        let file = BufWriter::new(File::create(folder.join("record.txt"))?);
        Ok(Self { began: Instant::now(), file: Mutex::new(file) })
    }

    /// Seconds from the start of the run to `at`.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(|e| e.into_inner());
        let _ = writeln!(file, "{:9.3} s  {text}", self.seconds(at));
    }

    /// A line that is shown on standard output as well.
    pub fn say(&self, text: &str) {
        println!("{:9.3} s  {text}", self.seconds(Instant::now()));
        self.line(text);
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap_or_else(|e| e.into_inner()).flush();
    }
}
