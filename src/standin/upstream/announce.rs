//! Announcements to the node on the same host.

use std::net;
use std::sync::Arc;
use std::time;

use serde_json::json;

use crate::standin::http;
use crate::standin::upstream::state;
use crate::view;

/// Time between two announcements.
const PERIOD: time::Duration = time::Duration::from_secs(2);
/// Time between two announcements while the node does not take them.
const RETRY: time::Duration = time::Duration::from_millis(200);
/// Longest one announcement may take.
const LIMIT: time::Duration = time::Duration::from_secs(1);
/// Path of the node's endpoint.
const PATH: &str = "/upstream";

/// Announces the upstream at `address` to the node at `admin`, again and again; at once when
/// `woken`.
pub async fn repeat(
    shared: Arc<state::Shared>,
    admin: net::SocketAddr,
    address: net::SocketAddr,
    woken: Arc<tokio::sync::Notify>,
) {
    loop {
        let taken = announce(&shared, admin, address).await;
        let pause = if taken { PERIOD } else { RETRY };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = woken.notified() => {}
        }
    }
}

/// Takes the announcement back.
pub async fn withdraw(admin: net::SocketAddr) {
    let method = ::http::Method::DELETE;
    let done = http::json(admin, method, PATH, &serde_json::Value::Null, LIMIT).await;
    if let Err(error) = done {
        log::warn!("the node did not take the withdrawal: {error}");
    }
}

async fn announce(
    shared: &state::Shared,
    admin: net::SocketAddr,
    address: net::SocketAddr,
) -> bool {
    let body = json!({
        "service": shared.options.service,
        "class": shared.options.class,
        "address": address,
        "slots": shared.options.slots,
        "connections": shared.options.connections,
        "phase": name(shared.phase()),
    });
    match http::json(admin, ::http::Method::PUT, PATH, &body, LIMIT).await {
        Ok(answer) if answer.status().is_success() => true,
        Ok(answer) => {
            log::warn!("the node refused the announcement: {}", answer.status());
            false
        }
        Err(error) => {
            log::debug!("the node did not take the announcement: {error}");
            false
        }
    }
}

fn name(phase: view::Phase) -> &'static str {
    match phase {
        view::Phase::Warming => "warming",
        view::Phase::Serving => "serving",
        view::Phase::Draining => "draining",
    }
}
