//! `dandelionspool-bench capacity` computes the capacity table from measured costs per unit.

use std::fs;
use std::io;
use std::path;

use bpaf::Bpaf;

use crate::cli::exit;

pub mod measures;
pub mod table;

#[cfg(test)]
mod tests;

/// Arguments of `dandelionspool-bench capacity`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Print JSON
    pub json: bool,
    /// Measurements file
    #[bpaf(positional("FILE"))]
    pub file: path::PathBuf,
}

/// Why the table can't be computed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("can't read {0}")]
    Read(path::PathBuf, #[source] io::Error),
    /// The file is not a measurements file.
    #[error("{0} is not a measurements file")]
    Parse(path::PathBuf, #[source] serde_json::Error),
    /// A measurement that the table needs is missing.
    #[error(transparent)]
    Missing(#[from] measures::Missing),
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    let rows = rows(&args.file).map_err(|e| exit::Failure::Input(e.into()))?;
    if args.json {
        println!("{}", serde_json::json!(rows));
    } else {
        print!("{}", table::markdown(&rows));
    }
    Ok(())
}

fn rows(file: &path::Path) -> Result<Vec<table::Row>, Error> {
    let text = fs::read_to_string(file).map_err(|e| Error::Read(file.to_owned(), e))?;
    let parsed = serde_json::from_str::<measures::Measures>(&text);
    let measures = parsed.map_err(|e| Error::Parse(file.to_owned(), e))?;
    Ok(table::rows(&measures)?)
}
