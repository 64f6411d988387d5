//! Runs one case of the review: `rig CASE FOLDER`. It exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

mod backend;
mod cases;
mod client;
mod http;
mod mesh;
mod node;
mod record;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// Longest time of a run.
const LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: rig CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::new(Path::new(folder)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    record
        .say(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let run = match case.as_str() {
        "forgotten" => cases::forgotten::run,
        "inner" => cases::inner::run,
        "limit" => cases::limit::run,
        "merged" => cases::merged::run,
        "paths" => cases::paths::run,
        "poison" => cases::poison::run,
        "rollout" => cases::rollout::run,
        "quota" => cases::quota::run,
        "stale" => cases::stale::run,
        "stop" => cases::stop::run,
        "uploads" => cases::uploads::run,
        _ => {
            eprintln!("no such case");
            return ExitCode::from(2);
        }
    };
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        node::kill_all();
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let verdict = std::panic::catch_unwind(|| run(&record, trouble));
    let verdict = verdict.unwrap_or_else(|_| Err("the case panicked".to_owned()));
    match &verdict {
        Ok(true) => record.say("the rule held"),
        Ok(false) => record.say("the rule was broken"),
        Err(why) => record.say(&format!("the case could not run: {why}")),
    }
    record.flush();
    // The threads of the stand-ins end with this process.
    ExitCode::from(match verdict {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    })
}
