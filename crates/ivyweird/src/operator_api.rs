//! The HTTP API for operators.

use std::sync::Arc;

use ivyweir_caller::{Handler, Incoming, Reply};
use ivyweir_operator::{
    BoxStatus, ErrorBody, ExposureStatus, PlanCheck, RolloutStatus, Status, UpstreamStatus,
};
use ivyweir_policy::freshness::Freshness;
use ivyweir_policy::membership::Health;
use ivyweir_policy::{
    AuditEntry, BoxState, Config, ErrorKind, Intent, Name, Plan, Role, RolloutState, VersionRef,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::confirm;
use crate::node::Node;
use crate::{audit, bill};

/// Handles the requests of operators.
pub struct OperatorApi {
    /// State of the box.
    pub node: Arc<Node>,
}

/// An authenticated operator.
struct Operator {
    name: Name,
    role: Role,
}

/// An error reply: its HTTP status and the text of the problem.
struct ApiError {
    status: u16,
    problem: String,
}

impl ApiError {
    #[cold]
    fn new(status: u16, problem: impl Into<String>) -> Self {
        Self {
            status,
            problem: problem.into(),
        }
    }
}

impl From<ivyweir_policy::Error> for ApiError {
    fn from(error: ivyweir_policy::Error) -> Self {
        let status = match error.kind() {
            ErrorKind::NotFound => 404,
            ErrorKind::AlreadyExists | ErrorKind::Conflict => 409,
            ErrorKind::BadSignature => 403,
            ErrorKind::Invalid | ErrorKind::Expired => 400,
        };
        Self::new(status, error.to_string())
    }
}

impl From<ivyweir_platform::Error> for ApiError {
    fn from(error: ivyweir_platform::Error) -> Self {
        Self::new(503, format!("store: {error}"))
    }
}

impl Handler for OperatorApi {
    fn handle(&self, mut incoming: Incoming) {
        let reply = self.route(&mut incoming).unwrap_or_else(|error| {
            let problem = ErrorBody {
                message: error.problem,
            };
            json_reply(error.status, &problem)
        });
        let _caller_gone = incoming.reply(reply);
    }
}

fn json_reply<T: Serialize>(status: u16, message: &T) -> Reply {
    let body = serde_json::to_vec(message).expect("a message can always be serialized as JSON");
    Reply::json(status, body)
}

fn parse_body<T: DeserializeOwned>(incoming: &mut Incoming) -> Result<T, ApiError> {
    let body = incoming
        .read_body()
        .map_err(|r| ApiError::new(r.code.http_status(), r.message))?;
    serde_json::from_slice(&body).map_err(|e| ApiError::new(400, format!("body: {e}")))
}

impl OperatorApi {
    fn route(&self, incoming: &mut Incoming) -> Result<Reply, ApiError> {
        let head = incoming.check_head();
        head.map_err(|r| ApiError::new(r.code.http_status(), r.message))?;
        let operator = self.authenticate(incoming)?;
        let path = incoming.path().to_owned();
        match (incoming.method(), path.as_str()) {
            ("GET", "/v1/status") => Ok(json_reply(200, &status(&self.node))),
            ("GET", "/v1/config") => Ok(json_reply(200, &redacted_config(&self.node))),
            ("GET", "/v1/audit") => Ok(json_reply(200, &self.audit()?)),
            ("GET", "/v1/bill") => Ok(json_reply(200, &bill::read(&self.node)?)),
            ("POST", "/v1/plans") => self.plan(&operator, incoming),
            ("POST", "/v1/plans/check") => {
                let plan: Plan = parse_body(incoming)?;
                Ok(json_reply(200, &self.check(&plan)))
            }
            ("POST", "/v1/plans/confirm") => self.confirm(&operator, incoming),
            _ => Err(ApiError::new(404, "no such path")),
        }
    }

    fn authenticate(&self, incoming: &Incoming) -> Result<Operator, ApiError> {
        let unauthenticated =
            || ApiError::new(401, "Authorization: expected Bearer and an operator key");
        let key = incoming
            .header("Authorization")
            .and_then(|v| v.strip_prefix("Bearer "))
            .ok_or_else(unauthenticated)?;
        let current = self.node.current();
        let hash = blake3::hash(key.trim().as_bytes());
        let (name, operator) = current
            .config
            .operator_by_key(&hash)
            .ok_or_else(unauthenticated)?;
        Ok(Operator {
            name: name.clone(),
            role: operator.role,
        })
    }

    fn require_editor(operator: &Operator) -> Result<(), ApiError> {
        if operator.role >= Role::Editor {
            return Ok(());
        }
        Err(ApiError::new(
            403,
            format!(
                "operator {} may only read; changes require the role editor",
                operator.name
            ),
        ))
    }

    fn plan(&self, operator: &Operator, incoming: &mut Incoming) -> Result<Reply, ApiError> {
        Self::require_editor(operator)?;
        let intent: Intent = parse_body(incoming)?;
        if matches!(
            intent,
            Intent::RotateSessionKey { .. } | Intent::Step { .. }
        ) {
            return Err(ApiError::new(
                400,
                "kind: this intent is reserved for the system",
            ));
        }
        let current = self.node.current();
        let plan = Plan::create(&current.config, intent, self.node.settings.fleet_key())?;
        Ok(json_reply(200, &plan))
    }

    fn check(&self, plan: &Plan) -> PlanCheck {
        let current = self.node.current();
        PlanCheck {
            genuine: plan.verify(self.node.settings.fleet_key()).is_ok(),
            applied: plan.is_applied(&current.config),
            applicable: plan.apply(&current.config, "nobody", 0).is_ok(),
        }
    }

    fn confirm(&self, operator: &Operator, incoming: &mut Incoming) -> Result<Reply, ApiError> {
        Self::require_editor(operator)?;
        let plan: Plan = parse_body(incoming)?;
        plan.verify(self.node.settings.fleet_key())?;
        let reply = confirm::confirm(&self.node, &plan, &operator.name)
            .map_err(|refusal| ApiError::new(503, refusal))?;
        Ok(json_reply(200, &reply))
    }

    fn audit(&self) -> Result<Vec<AuditEntry>, ApiError> {
        Ok(audit::read_all(&self.node)?)
    }
}

/// The configuration with signing keys and key hashes replaced.
fn redacted_config(node: &Node) -> Config {
    let mut config = node.current().config.clone();
    for key in &mut config.session_keys {
        key.secret_hex = "(hidden)".into();
    }
    for operator in config.operators.values_mut() {
        operator.key_hash = "(hidden)".into();
    }
    for workspace in config.workspaces.values_mut() {
        workspace.key_hash = "(hidden)".into();
    }
    config
}

fn status(node: &Node) -> Status {
    let current = node.current();
    let freshness = match node.freshness() {
        Freshness::Fresh => "fresh",
        Freshness::StoreUnavailable => "store_out",
        Freshness::Partitioned => "blind",
    };
    Status {
        reporting_box: node.incarnation.box_name.clone(),
        generation: current.config.generation,
        freshness: freshness.to_owned(),
        proof_age_ms: node.config.proof_age_ms(node.clock.now_ms()),
        boxes: boxes(node),
        upstreams: upstreams(node),
        rollouts: rollouts(&current.config),
        exposure: exposure(node, &current.config),
    }
}

fn boxes(node: &Node) -> Vec<BoxStatus> {
    let mut boxes: Vec<BoxStatus> = node.with_members(|table, timing, now_ms| {
        table
            .members()
            .map(|r| {
                let health = match table.health(&r.name, timing, now_ms) {
                    Health::Dead => "dead",
                    _ if r.leaving => "leaving",
                    Health::Suspect => "suspect",
                    Health::Alive => "alive",
                };
                BoxStatus {
                    name: r.name.clone(),
                    hall: r.hall.clone(),
                    health: health.to_owned(),
                    incarnation: r.incarnation,
                    generation: r.generation,
                }
            })
            .collect()
    });
    boxes.sort_by(|a, b| a.name.cmp(&b.name));
    boxes
}

fn upstreams(node: &Node) -> Vec<UpstreamStatus> {
    let now_ms = node.clock.now_ms();
    let mut upstreams: Vec<UpstreamStatus> = node
        .dispatcher
        .upstreams()
        .into_iter()
        .map(|u| {
            let state = match u.state {
                BoxState::Leaving => "leaving",
                BoxState::Live if u.is_ejected(now_ms) => "ejected",
                BoxState::Live => "live",
            };
            UpstreamStatus {
                in_flight: u.in_flight(),
                name: u.name,
                pool: u.pool,
                hall: u.hall,
                state: state.to_owned(),
                running: u.report.running,
                waiting: u.report.waiting,
                slots: u.report.slots,
            }
        })
        .collect();
    upstreams.sort_by(|a, b| a.name.cmp(&b.name));
    upstreams
}

fn rollouts(config: &Config) -> Vec<RolloutStatus> {
    let status = |(id, r): (&Name, &ivyweir_policy::Rollout)| RolloutStatus {
        id: id.clone(),
        to: VersionRef::new(r.model.clone(), r.to.clone()).to_string(),
        share_permille: r.share_permille,
        target_permille: r.target_permille,
        state: match r.state {
            RolloutState::Running => "running",
            RolloutState::Done => "done",
            RolloutState::Halted => "halted",
        }
        .to_owned(),
    };
    config.rollouts.iter().map(status).collect()
}

fn exposure(node: &Node, config: &Config) -> Vec<ExposureStatus> {
    let now_ms = node.clock.now_ms();
    let versions = config.models.iter().flat_map(|(model, entry)| {
        entry
            .versions
            .keys()
            .map(|v| VersionRef::new(model.clone(), v.clone()))
    });
    versions
        .map(|version| {
            let counts = node.version_stats.across_classes(&version, None);
            let version_name: Name = version.to_string().into();
            ExposureStatus {
                bad: node.version_stats.is_bad(&version_name, now_ms),
                version: version_name,
                done: counts.done,
                failed: counts.failed,
                rated: counts.rated,
                mean_quality: counts.mean(),
            }
        })
        .collect()
}
