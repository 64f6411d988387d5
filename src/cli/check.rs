//! `dandelionspool check` checks a configuration file.

use std::fs;
use std::io;
use std::path;

use bpaf::Bpaf;
use serde::Serialize;

use crate::api_key;
use crate::cli::exit;
use crate::cli::key;
use crate::mesh;
use crate::mesh::check;
use crate::mesh::fault;
use crate::version;

/// Arguments of `dandelionspool check`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Print the verdict as JSON
    pub json: bool,
    /// Read an API key or its digest from standard input, and name its organisation
    pub key: bool,
    /// Configuration file
    #[bpaf(positional("FILE"))]
    pub file: path::PathBuf,
}

/// Why a file was rejected.
#[derive(Debug, thiserror::Error)]
enum Rejected {
    /// The file can't be read.
    #[error("{}: {source}", file.display())]
    Read {
        /// The file.
        file: path::PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file has faults, which are listed here.
    #[error("{}: {} in the file\n{faults}", file.display(), count(faults))]
    Faults {
        /// The file.
        file: path::PathBuf,
        /// All faults of the file.
        faults: fault::Faults,
    },
    /// No key can be read from standard input.
    #[error("standard input: {0}")]
    Key(io::Error),
    /// The key belongs to no organisation.
    #[error("the key with digest {digest} belongs to no organisation")]
    UnknownKey {
        /// Digest of the key.
        digest: api_key::Digest,
    },
    /// The file has faults, which were printed as JSON.
    #[error("{}: {count} in the file", file.display())]
    Printed {
        /// The file.
        file: path::PathBuf,
        /// Number of faults, as text.
        count: String,
    },
}

/// The output of `--json`.
#[derive(Serialize)]
struct Verdict<'a> {
    accepted: bool,
    digest: String,
    faults: &'a [fault::Fault],
    format: u32,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    check(args).map_err(|e| exit::Failure::Input(e.into()))
}

fn check(args: &Args) -> Result<(), Rejected> {
    let file = args.file.clone();
    let body = fs::read(&file).map_err(|source| Rejected::Read { file, source })?;
    let digest = version::Digest::of(&body);
    let checked = check::check(&body);
    if args.json {
        print_verdict(digest, &checked);
    }
    match checked {
        Ok(mesh) => {
            if !args.json {
                println!("{}: {}", args.file.display(), summary(&mesh, digest));
            }
            if args.key { check_key(&mesh) } else { Ok(()) }
        }
        Err(faults) if args.json => {
            Err(Rejected::Printed { file: args.file.clone(), count: count(&faults) })
        }
        Err(faults) => Err(Rejected::Faults { file: args.file.clone(), faults }),
    }
}

/// Names the organisation of the key on standard input.
fn check_key(mesh: &mesh::Mesh) -> Result<(), Rejected> {
    let digest = key::read().map_err(Rejected::Key)?;
    let organisation = mesh.organisation_of_key(digest).ok_or(Rejected::UnknownKey { digest })?;
    println!("the key belongs to `{}`", mesh.organisation(organisation).name);
    Ok(())
}

fn print_verdict(digest: version::Digest, checked: &Result<mesh::Mesh, fault::Faults>) {
    let faults = checked.as_ref().err().map_or(&[][..], fault::Faults::list);
    let digest = digest.to_string();
    let verdict =
        Verdict { accepted: checked.is_ok(), digest, faults, format: check::LATEST_FORMAT };
    println!("{}", serde_json::json!(verdict));
}

fn summary(mesh: &mesh::Mesh, digest: version::Digest) -> String {
    format!(
        "accepted by format {}: {} organisations, {} services, {} kinds, {} upstreams, {} routes; digest {digest}",
        mesh.format,
        mesh.organisations.len(),
        mesh.services.len(),
        mesh.kinds.len(),
        mesh.classes.len(),
        mesh.routes.len(),
    )
}

fn count(faults: &fault::Faults) -> String {
    match faults.list().len() {
        1 => "1 fault".to_owned(),
        n => format!("{n} faults"),
    }
}
