//! Test double of the platform API: accepts calls made by duties and records them.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use ivyweir_policy::gateway::duty::scaling::UpstreamOrder;
use ivyweir_policy::gateway::duty::usage::UsageReport;

use super::duty_invariant::DutyCall;
use super::test_cluster::serve_on_thread;

/// A running platform server.
#[derive(Clone)]
pub struct DutyPlatform {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

struct State {
    started: Instant,
    status: StatusCode,
    calls: Vec<DutyCall>,
    reports: Vec<UsageReport>,
    orders: Vec<UpstreamOrder>,
}

impl DutyPlatform {
    /// Starts a server on a free loopback port.
    pub fn start() -> Self {
        let state = Arc::new(Mutex::new(State {
            started: Instant::now(),
            status: StatusCode::OK,
            calls: Vec::new(),
            reports: Vec::new(),
            orders: Vec::new(),
        }));
        let server_state = state.clone();
        let addr = serve_on_thread(move |request| {
            let state = server_state.clone();
            async move { Ok::<_, Infallible>(answer(&state, request).await) }
        });
        Self { addr, state }
    }

    /// Returns the listening address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets whether the server answers further calls with 503. Refused calls are recorded in [`calls`](Self::calls),
    /// but their reports and orders are not accepted.
    pub fn set_refusing(&self, refusing: bool) {
        self.state().status = if refusing {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::OK
        };
    }

    /// Returns all well-formed calls in arrival order, including refused ones.
    pub fn calls(&self) -> Vec<DutyCall> {
        self.state().calls.clone()
    }

    /// Returns the accepted usage reports in arrival order; repeated reports are kept.
    pub fn reports(&self) -> Vec<UsageReport> {
        self.state().reports.clone()
    }

    /// Returns the accepted upstream orders in arrival order.
    pub fn orders(&self) -> Vec<UpstreamOrder> {
        self.state().orders.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

async fn answer(state: &Mutex<State>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let header = |name: &str| {
        let value = head.headers.get(name)?;
        Some(value.to_str().ok()?.to_owned())
    };
    let fence = header("ivyweir-fence").and_then(|fence| fence.parse().ok());
    let (Some(sender), Some(fence), Ok(body)) =
        (header("ivyweir-duty-holder"), fence, body.collect().await)
    else {
        return status(StatusCode::BAD_REQUEST);
    };
    let body = body.to_bytes();
    let mut state = lock(state);
    let at_ms = state.started.elapsed().as_millis() as u64;
    let mut call = DutyCall {
        at_ms,
        sender: sender.into(),
        fence,
        subject: "usage".to_owned(),
        report: None,
        is_exempt_from_order: false,
    };
    let is_accepted = state.status.is_success();
    match head.uri.path() {
        "/v1/usage" => {
            let Ok(report) = serde_json::from_slice::<UsageReport>(&body) else {
                return status(StatusCode::BAD_REQUEST);
            };
            call.report = Some((report.window, format!("{:?}", report.counts)));
            if is_accepted {
                state.reports.push(report);
            }
        }
        "/v1/upstreams" => {
            let Ok(order) = serde_json::from_slice::<UpstreamOrder>(&body) else {
                return status(StatusCode::BAD_REQUEST);
            };
            call.subject = format!("{} in {}", order.pool, order.hall);
            if is_accepted {
                state.orders.push(order);
            }
        }
        _ => return status(StatusCode::NOT_FOUND),
    }
    state.calls.push(call);
    status(state.status)
}

fn status(code: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = code;
    answer
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("mutex is not poisoned")
}
