//! `dandelionspool publish` publishes a configuration file.

use std::fs;
use std::io;
use std::net;
use std::path;
use std::sync::Arc;
use std::time;

use bpaf::Bpaf;
use bytes::Bytes;
use serde::Serialize;

use crate::cli::{exit, follow};
use crate::configs;
use crate::context;
use crate::fold::{id, outcomes, record, rules, submit};
use crate::logs::http;
use crate::mesh;
use crate::version;

/// Timeout for one request.
const REQUEST_TIMEOUT_MS: u64 = 2000;

/// Arguments of `dandelionspool publish`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Address of the log service, such as 127.0.0.1:7000
    #[bpaf(argument("ADDRESS"))]
    pub log: net::SocketAddr,
    /// Version that the file is based on; 0 if there is none
    #[bpaf(argument("VERSION"))]
    pub base: u64,
    /// Id of this publish, 32 hexadecimal digits; by default derived from base and file, so that
    /// repeating the command has no effect
    #[bpaf(argument("HEX"), optional)]
    pub publish_id: Option<id::PublishId>,
    /// Milliseconds for which to retry while the log service fails
    #[bpaf(argument("MILLISECONDS"), fallback(10_000), display_fallback)]
    pub wait_ms: u64,
    /// Operators' port of any node; waits until every node runs the version
    #[bpaf(argument("ADDRESS"), optional)]
    pub follow: Option<net::SocketAddr>,
    /// Milliseconds to wait until every node runs the version
    #[bpaf(argument("MILLISECONDS"), fallback(60_000), display_fallback)]
    pub follow_ms: u64,
    /// Print the verdict as JSON
    pub json: bool,
    /// Configuration file
    #[bpaf(positional("FILE"))]
    pub file: path::PathBuf,
}

/// The result of publishing the file, as printed with `--json`.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "verdict")]
enum Verdict {
    /// The file is accepted as a version.
    Accepted { version: u64, digest: String, publish_id: String, repeated: bool },
    /// The current version is not the base of the file.
    Conflict { base: u64, current: u64, publish_id: String },
    /// The file is not valid.
    Invalid { faults: mesh::fault::Faults },
    /// This build can't read the current version from the content of the log.
    Unknown { uncertain: bool, publish_id: String },
    /// The log service did not answer in time.
    Unreachable { uncertain: bool, publish_id: String },
}

/// Why the file was not published.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// The file can't be read.
    #[error("can't read {0}")]
    Read(path::PathBuf, #[source] io::Error),
    /// The file is not valid.
    #[error("{file} is not valid:\n{faults}")]
    Invalid { file: path::PathBuf, faults: mesh::fault::Faults },
    /// Another file was published in the meantime, or the base never was the current version.
    #[error("conflict: the current version is {current}, but the file is based on {base}")]
    Conflict { base: u64, current: version::Version },
    /// The validation rules of the nodes differ from those of this build.
    #[error("the file was refused by the rules of its format when it was first published")]
    Refused,
}

type Answer = Result<submit::Answer, submit::Error<http::Error>>;

/// Runs the command.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    let file = read(args)?;
    let base = version::Version::new(args.base);
    let id = args.publish_id.unwrap_or_else(|| id::PublishId::derive(base, &file));
    let publish = record::Publish { format: rules::NEWEST_FORMAT, base, id, body: file };
    let answer = send(args, publish)?;
    conclude(args, id, answer)
}

/// Reads the file and checks it by the rules of this build.
fn read(args: &Args) -> Result<Bytes, exit::Failure> {
    let bytes = fs::read(&args.file)
        .map_err(|e| exit::Failure::Input(Error::Read(args.file.clone(), e).into()))?;
    if let Err(faults) = mesh::check::check(&bytes) {
        print(args, &Verdict::Invalid { faults: faults.clone() });
        let file = args.file.clone();
        return Err(exit::Failure::Input(Error::Invalid { file, faults }.into()));
    }
    Ok(bytes.into())
}

fn send(args: &Args, publish: record::Publish) -> Result<Answer, exit::Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| exit::Failure::Unreachable(e.into()))?;
    let append_ms = args.wait_ms.clamp(1, REQUEST_TIMEOUT_MS);
    let log = configs::log::Log { address: args.log, append_ms, ..configs::log::Log::default() };
    let limit = time::Duration::from_millis(args.wait_ms);
    let seed = context::Context::system().seed_for("publish");
    Ok(runtime.block_on(async {
        let client = http::Client::new(&log, Arc::default());
        submit::Submitter::new(client, rules::Builtin, limit, seed).submit(publish).await
    }))
}

fn conclude(args: &Args, id: id::PublishId, answer: Answer) -> Result<(), exit::Failure> {
    let publish_id = id.to_string();
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => return Err(submit_failure(args, error, publish_id)),
    };
    match answer.outcome {
        outcomes::Outcome::Accepted(version_id) => {
            accepted(args, version_id, answer.repeated, publish_id);
            let limit = time::Duration::from_millis(args.follow_ms);
            args.follow.map_or(Ok(()), |node| follow::follow(node, version_id.version, limit))
        }
        outcomes::Outcome::Conflict { current } => {
            let base = args.base;
            print(args, &Verdict::Conflict { base, current: current.number(), publish_id });
            Err(exit::Failure::Refused(Error::Conflict { base, current }.into()))
        }
        outcomes::Outcome::Invalid => {
            print(args, &Verdict::Invalid { faults: mesh::fault::Faults::default() });
            Err(exit::Failure::Refused(Error::Refused.into()))
        }
    }
}

fn submit_failure(
    args: &Args,
    error: submit::Error<http::Error>,
    publish_id: String,
) -> exit::Failure {
    match &error {
        submit::Error::Unreachable { uncertain, .. } => {
            print(args, &Verdict::Unreachable { uncertain: *uncertain, publish_id });
            exit::Failure::Unreachable(error.into())
        }
        submit::Error::Unknown { uncertain } => {
            print(args, &Verdict::Unknown { uncertain: *uncertain, publish_id });
            exit::Failure::Refused(error.into())
        }
        submit::Error::Encode(_) => exit::Failure::Input(error.into()),
    }
}

fn accepted(args: &Args, version_id: version::VersionId, repeated: bool, publish_id: String) {
    let version = version_id.version.number();
    let digest = version_id.digest.to_string();
    print(args, &Verdict::Accepted { version, digest, publish_id, repeated });
    if !args.json {
        let earlier = if repeated { " (published before)" } else { "" };
        println!("accepted as version {version}{earlier}");
    }
}

fn print(args: &Args, verdict: &Verdict) {
    if !args.json {
        return;
    }
    match serde_json::to_string(verdict) {
        Ok(line) => println!("{line}"),
        Err(error) => log::error!(error:% = error; "cannot encode the verdict as JSON"),
    }
}
