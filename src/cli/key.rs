//! `dandelionspool key` makes API keys and their digests.

use std::io;

use bpaf::Bpaf;

use crate::api_key;
use crate::cli::exit;

/// Arguments of `dandelionspool key`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Read a key from standard input and print only its digest
    pub stdin: bool,
}

/// Runs the command: prints a new key and its digest, or the digest of the key on standard input.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    if args.stdin {
        println!("{}", read().map_err(|e| exit::Failure::Input(e.into()))?);
        return Ok(());
    }
    let key = api_key::ApiKey::new();
    println!("key    {}", key.as_str());
    println!("digest {}", key.digest());
    Ok(())
}

/// Reads a key from standard input, without printing it, and returns its digest. A digest is
/// returned as it is.
pub(super) fn read() -> io::Result<api_key::Digest> {
    let mut line = String::new();
    io::stdin().read_line(&mut line)?;
    let text = line.trim();
    Ok(text.parse().unwrap_or_else(|_| api_key::Digest::of(text.as_bytes())))
}
