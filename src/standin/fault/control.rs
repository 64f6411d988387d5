//! The HTTP interface that shows the proxy's counters and changes its rules.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body;
use tokio::sync::watch;

use crate::standin::fault::live;
use crate::standin::fault::rules;

/// Maximum size of the body of a control request.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// State that the control port reads and changes.
#[derive(Clone, Debug)]
pub struct Control {
    /// The rules in force.
    pub rules: watch::Sender<Arc<Vec<rules::Rule>>>,
    /// What the forwarders have counted.
    pub counts: Arc<live::Counts>,
}

type Answer = http::Response<Full<Bytes>>;

/// Answers `GET /counts`, `GET /rules` and `POST /rules`. The body of the last is a list of
/// [`rules::Rule`], which replaces the rules in force.
pub async fn serve(
    control: Control,
    request: http::Request<body::Incoming>,
) -> Result<Answer, Infallible> {
    let answer = match (request.method(), request.uri().path()) {
        (&http::Method::GET, "/counts") => text(control.counts.report().to_string()),
        (&http::Method::GET, "/rules") => {
            let rules = Arc::clone(&control.rules.borrow());
            text(serde_json::to_string(&*rules).unwrap_or_default())
        }
        (&http::Method::POST, "/rules") => replace(&control, request.into_body()).await,
        _ => status(http::StatusCode::NOT_FOUND, "no such path\n".into()),
    };
    Ok(answer)
}

async fn replace(control: &Control, body: body::Incoming) -> Answer {
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return status(http::StatusCode::BAD_REQUEST, "the body can't be read\n".into());
    };
    match serde_json::from_slice::<Vec<rules::Rule>>(&body.to_bytes()) {
        Ok(rules) => {
            control.rules.send_replace(Arc::new(rules));
            text("{}".into())
        }
        Err(error) => status(http::StatusCode::BAD_REQUEST, format!("{error}\n")),
    }
}

fn text(body: String) -> Answer {
    http::Response::new(Full::new(Bytes::from(body)))
}

fn status(status: http::StatusCode, body: String) -> Answer {
    let mut answer = text(body);
    *answer.status_mut() = status;
    answer
}
