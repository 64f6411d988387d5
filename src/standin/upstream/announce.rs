//! Announces the upstream to the node on the same host.

use std::net;
use std::sync::Arc;
use std::time;

use serde_json::json;

use crate::standin::http;
use crate::standin::upstream::state;
use crate::view;

/// Time between two announcements that the node accepts.
const ANNOUNCE_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Time until the next attempt when the node did not accept an announcement.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);
/// Time limit of one announcement or withdrawal.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Path of the node's endpoint for announcements, with the name of the instance. Each process has
/// the same name; its start time tells it from the one before.
const PATH: &str = "/upstream/standin";

/// Announces the upstream at `address` to the node at `admin` periodically, and immediately when
/// `woken` is notified, until it is withdrawn; never returns.
pub async fn repeat(
    shared: Arc<state::Shared>,
    admin: net::SocketAddr,
    address: net::SocketAddr,
    woken: Arc<tokio::sync::Notify>,
) {
    while !shared.state().withdrawn {
        let accepted = announce(&shared, admin, address).await;
        let pause = if accepted { ANNOUNCE_INTERVAL } else { RETRY_DELAY };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = woken.notified() => {}
        }
    }
    std::future::pending().await
}

/// Withdraws the announcement. Returns whether the node acknowledged that.
pub async fn withdraw(shared: &state::Shared, admin: net::SocketAddr) -> bool {
    shared.state().withdrawn = true;
    let method = ::http::Method::DELETE;
    let body = json!({ "born": shared.born });
    match http::json(admin, method, PATH, &body, REQUEST_TIMEOUT).await {
        Ok(answer) => answer.status().is_success(),
        Err(error) => {
            log::warn!("can't withdraw the announcement from the node: {error}");
            false
        }
    }
}

/// Announces the upstream once. Returns whether the node accepted that.
pub async fn announce(
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
        "born": shared.born,
    });
    match http::json(admin, ::http::Method::PUT, PATH, &body, REQUEST_TIMEOUT).await {
        Ok(answer) if answer.status().is_success() => true,
        Ok(answer) => {
            log::warn!("the node refused the announcement: {}", answer.status());
            false
        }
        Err(error) => {
            log::debug!("can't announce the upstream to the node: {error}");
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
