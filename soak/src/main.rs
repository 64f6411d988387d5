//! `dandelionspool-soak`: plays series of faults on the real programs.
//!
//! Writes one line of JSON for each seed to standard output. The exit code is 1 if a promise was
//! broken and 2 if a round could not be played.

use std::process;

use dandelionspool_soak::args;
use dandelionspool_soak::round;
use tokio::signal::unix;

fn main() -> process::ExitCode {
    let args = args::args().run();
    match run(&args) {
        Ok(true) => process::ExitCode::SUCCESS,
        Ok(false) => process::ExitCode::from(1),
        Err(error) => {
            eprintln!("{error:?}");
            process::ExitCode::from(2)
        }
    }
}

/// Plays the rounds on this thread, since the processes of a fleet end with the thread that started
/// them. Returns whether every promise was kept.
fn run(args: &args::Args) -> eyre::Result<bool> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = unix::signal(unix::SignalKind::terminate())?;
        let mut kept = true;
        for seed in args.from..args.from + args.seeds {
            let report = tokio::select! {
                report = round::play(seed, args.shape()) => report?,
                _ = terminate.recv() => eyre::bail!("terminated by a signal during seed {seed}"),
            };
            kept &= report.breaches.is_empty();
            println!("{}", serde_json::to_string(&report)?);
        }
        Ok(kept)
    })
}
