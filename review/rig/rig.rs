//! Stand-ins for the platform's store, the backends and the clients, and the cases that use them.
//!
//! Each case starts the nodes as processes of their own, with the settings that the deploy file
//! makes of `deploy/node.json`, on loopback addresses and the real clock. Only the standard library
//! is used, so that `rustc` alone builds this file.

mod backend;
mod cases;
mod client;
mod http;
mod mesh;
mod node;
mod record;
mod store;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: rig CASE RECORD");
        std::process::exit(2);
    };
    if std::env::var_os("RIG_GROUP").is_some() {
        std::thread::spawn(end_with_parent);
    }
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    // A case that can't run must not look like one in which the rule held or was broken.
    let outcome = std::panic::catch_unwind(|| cases::run(case, record, trouble));
    std::process::exit(outcome.unwrap_or(2));
}

/// Ends this process and the nodes, which are in its process group, once the script that started it
/// has gone.
fn end_with_parent() {
    let parent = std::os::unix::process::parent_id();
    while std::os::unix::process::parent_id() == parent {
        std::thread::sleep(std::time::Duration::from_millis(200));
    }
    let kill = format!("kill -KILL -- -{}", std::process::id());
    let _ = std::process::Command::new("bash").args(["-c", &kill]).status();
}
