//! Publishes a configuration by running `dandelionspool publish`.

use std::net;
use std::path;
use std::process;

use tokio::task;

use crate::bench::fleet;

/// Exit code and output of `dandelionspool publish`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Published {
    /// Exit code; -1 if a signal terminated it.
    pub code: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

impl Published {
    /// The field `version` of the JSON on standard output.
    pub fn version(&self) -> Option<u64> {
        let value: serde_json::Value = serde_json::from_str(&self.stdout).ok()?;
        value.get("version")?.as_u64()
    }
}

/// Runs `dandelionspool publish FILE --base BASE --log LOG` with `more` arguments.
pub async fn publish(
    program: &path::Path,
    log: net::SocketAddr,
    file: &path::Path,
    base: u64,
    more: &[&str],
) -> Result<Published, fleet::Error> {
    let mut command = process::Command::new(program);
    command.arg("publish").arg("--log").arg(log.to_string());
    command.arg("--base").arg(base.to_string()).args(more).arg(file);
    let name = "dandelionspool publish";
    let failed = |e| fleet::Error::Process(name.to_owned(), e);
    let output = task::spawn_blocking(move || command.output()).await;
    let output = output.map_err(|e| failed(e.into()))?.map_err(failed)?;
    Ok(Published {
        code: output.status.code().unwrap_or(-1),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    })
}
