//! Runs the commands.

use std::fmt;
use std::fs;
use std::path::Path;

use ivyweir_gateway::Settings as GatewaySettings;
use ivyweir_operator::{Client, ConfirmReply};
use ivyweir_policy::{
    Guard, Intent, Name, Operator, Plan, Pool, PoolKind, Role, VersionRef, Workspace,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::args::{
    Args, CheckArgs, Command, ConfirmArgs, EventArgs, ExplainArgs, IntentArgs, PlanArgs, RollArgs,
    WorkspaceArgs,
};
use crate::{explain, show, time};

/// The failure of a command.
#[derive(Debug)]
pub enum Failure {
    /// The arguments or a file cannot be used: exit code 2.
    Usage(String),
    /// The box rejected the request: exit code 3.
    Refused(String),
    /// The box did not respond: exit code 4.
    NoResponse(String),
    /// The plan is outdated; nothing changed: exit code 5.
    PlanOutdated(String),
    /// The store did not report whether the change was written: exit code 6.
    OutcomeUnknown(String),
}

impl Failure {
    /// The process's exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Refused(_) => 3,
            Self::NoResponse(_) => 4,
            Self::PlanOutdated(_) => 5,
            Self::OutcomeUnknown(_) => 6,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(text)
            | Self::Refused(text)
            | Self::NoResponse(text)
            | Self::PlanOutdated(text)
            | Self::OutcomeUnknown(text) => f.write_str(text),
        }
    }
}

impl From<ivyweir_operator::Error> for Failure {
    fn from(error: ivyweir_operator::Error) -> Self {
        if error.status().is_some() {
            Self::Refused(error.to_string())
        } else {
            Self::NoResponse(error.to_string())
        }
    }
}

type Result<T> = std::result::Result<T, Failure>;

/// Runs a command and returns the text to print.
///
/// # Errors
///
/// A [`Failure`], whose variant determines the exit code.
pub fn run(args: &Args) -> Result<String> {
    let Some(command) = &args.command else {
        return Err(Failure::Usage("no command; --help lists them".into()));
    };
    match command {
        Command::Status(_) => render(args, &client(args)?.status()?, show::status),
        Command::Events(_) => render(args, &client(args)?.config()?.events, show::events),
        Command::Models(_) => render(args, &client(args)?.config()?.models, show::models),
        Command::Workspaces(_) => {
            render(args, &client(args)?.config()?.workspaces, show::workspaces)
        }
        Command::Audit(_) => render(args, &client(args)?.audit()?, |entries| {
            show::audit(entries)
        }),
        Command::Bill(_) => render(args, &client(args)?.bill()?, show::bill),
        Command::Plan(plan) => create_plan(args, plan),
        Command::Show(file) => show_plan(args, &file.file),
        Command::Confirm(confirm) => self::confirm(args, confirm),
        Command::Check(args) => check_settings(args),
        Command::Explain(request) => explain_request(args, request),
        Command::Hash(hash) => Ok(format!("{}\n", blake3::hash(hash.key.as_bytes()).to_hex())),
    }
}

fn explain_request(args: &Args, request: &ExplainArgs) -> Result<String> {
    let standard_input = ["-".to_owned()];
    let files = if request.files.is_empty() {
        &standard_input[..]
    } else {
        &request.files
    };
    let trace = explain::trace_request(&request.request_id, files).map_err(Failure::Usage)?;
    render(args, &trace, explain::table)
}

fn render<T: Serialize>(args: &Args, value: &T, table: impl Fn(&T) -> String) -> Result<String> {
    if !args.json {
        return Ok(table(value));
    }
    let text = serde_json::to_string_pretty(value).expect("answers are always valid JSON");
    Ok(text + "\n")
}

fn client(args: &Args) -> Result<Client> {
    let option_or_env = |option: &Option<String>, variable: &str, what: &str| {
        option
            .clone()
            .or_else(|| std::env::var(variable).ok())
            .ok_or_else(|| Failure::Usage(format!("{what} or {variable} is missing")))
    };
    let base_url = option_or_env(&args.box_url, "IVYWEIR_BOX", "--box")?;
    let key = option_or_env(&args.key, "IVYWEIR_KEY", "--key")?;
    Ok(Client::new(base_url.trim_end_matches('/'), key))
}

fn read_file<T: DeserializeOwned>(path: &str) -> Result<T> {
    let bytes = fs::read(path).map_err(|e| Failure::Usage(format!("{path}: {e}")))?;
    serde_json::from_slice(&bytes).map_err(|e| Failure::Usage(format!("{path}: {e}")))
}

fn write_plan(path: &str, plan: &Plan) -> Result<()> {
    let text = serde_json::to_string_pretty(plan).expect("a plan is always valid JSON");
    fs::write(path, text + "\n").map_err(|e| Failure::Usage(format!("{path}: {e}")))
}

fn create_plan(args: &Args, plan_args: &PlanArgs) -> Result<String> {
    let Some(intent_args) = &plan_args.intent else {
        return Err(Failure::Usage("no intent; `plan --help` lists them".into()));
    };
    let plan = client(args)?.plan(&build_intent(intent_args)?)?;
    if let Some(path) = &plan_args.out {
        write_plan(path, &plan)?;
    }
    render(args, &plan, show::plan)
}

fn show_plan(args: &Args, path: &str) -> Result<String> {
    let plan: Plan = read_file(path)?;
    let mut text = render(args, &plan, show::plan)?;
    // Without a box to check the plan against, only the content of the file is shown.
    if let Ok(client) = client(args)
        && !args.json
    {
        text += &show::plan_check(&client.check(&plan)?);
    }
    Ok(text)
}

fn confirm(args: &Args, confirm: &ConfirmArgs) -> Result<String> {
    let plan: Plan = read_file(&confirm.file)?;
    let reply = client(args)?.confirm(&plan)?;
    match &reply {
        ConfirmReply::Applied { .. } | ConfirmReply::AlreadyApplied { .. } => {
            render(args, &reply, show::confirm_reply)
        }
        ConfirmReply::PlanOutdated { new_plan } => {
            let path = confirm.out.as_deref().unwrap_or(&confirm.file);
            write_plan(path, new_plan)?;
            let text = show::plan(new_plan);
            Err(Failure::PlanOutdated(format!(
                "the configuration parts that this plan depends on have changed; nothing was applied.\n\
                 a new plan was written to {path}:\n{text}"
            )))
        }
        ConfirmReply::Unknown { detail } => Err(Failure::OutcomeUnknown(format!(
            "unknown whether the change was applied ({detail}); confirm again to find out"
        ))),
    }
}

fn check_settings(args: &CheckArgs) -> Result<String> {
    let path = Path::new(&args.file);
    let result = if args.gateway {
        GatewaySettings::from_file(path)
            .map(drop)
            .map_err(|e| e.to_string())
    } else {
        ivyweird::Settings::from_file(path)
            .map(drop)
            .map_err(|e| e.to_string())
    };
    result.map_err(Failure::Usage)?;
    Ok(format!("{}: ok\n", args.file))
}

fn parse_version(text: &str) -> Result<VersionRef> {
    text.parse().map_err(|e| Failure::Usage(format!("{e}")))
}

fn parse_time(text: &str) -> Result<u64> {
    let error = || {
        Failure::Usage(format!(
            "time {text:?}, expected 2026-12-03T06:00:00Z or +30m"
        ))
    };
    time::parse(text, time::now_ms()).ok_or_else(error)
}

fn parse_names(list: &Option<String>) -> Vec<Name> {
    let parts = list.as_deref().unwrap_or_default().split(',');
    parts.filter(|p| !p.is_empty()).map(Name::from).collect()
}

fn build_intent(args: &IntentArgs) -> Result<Intent> {
    Ok(match args {
        IntentArgs::Event(a) => event_intent(a)?,
        IntentArgs::Version(a) => Intent::AddVersion {
            at: parse_version(&a.at)?,
            cost_micro_per_ktoken: a.cost,
            prior_quality: a.quality,
        },
        IntentArgs::Current(a) => Intent::SetCurrent {
            at: parse_version(&a.at)?,
        },
        IntentArgs::Withdraw(a) => Intent::Withdraw {
            at: parse_version(&a.at)?,
        },
        IntentArgs::Workspace(a) => workspace_intent(a)?,
        IntentArgs::Pool(a) => Intent::PutPool {
            name: a.name.as_str().into(),
            pool: Pool {
                kind: parse_choice(
                    "kind",
                    &a.kind,
                    &[("engine", PoolKind::Engine), ("service", PoolKind::Service)],
                )?,
                checks_fence: a.checks_fence,
            },
        },
        IntentArgs::Operator(a) => Intent::PutOperator {
            name: a.name.as_str().into(),
            operator: Operator {
                key_hash: a.key_hash.as_str().into(),
                role: parse_choice(
                    "role",
                    &a.role,
                    &[("viewer", Role::Viewer), ("editor", Role::Editor)],
                )?,
            },
        },
        IntentArgs::Roll(a) => roll_intent(a)?,
        IntentArgs::Halt(a) => Intent::Halt {
            rollout: a.id.as_str().into(),
            reason: a.reason.clone(),
        },
    })
}

fn parse_choice<T: Copy>(field: &str, text: &str, choices: &[(&str, T)]) -> Result<T> {
    let found = choices.iter().find(|(name, _)| *name == text);
    found.map(|(_, value)| *value).ok_or_else(|| {
        let all: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        Failure::Usage(format!("{field} {text:?}, expected {}", all.join(" or ")))
    })
}

fn event_intent(args: &EventArgs) -> Result<Intent> {
    Ok(Intent::CreateEvent {
        name: args.name.as_str().into(),
        start_ms: parse_time(&args.start)?,
        workspaces: parse_names(&args.workspaces),
    })
}

fn workspace_intent(args: &WorkspaceArgs) -> Result<Intent> {
    let allowed: Result<Vec<VersionRef>> = parse_names(&args.allow)
        .iter()
        .map(|n| parse_version(n))
        .collect();
    Ok(Intent::PutWorkspace {
        name: args.name.as_str().into(),
        workspace: Workspace {
            key_hash: args.key_hash.as_str().into(),
            quality_target: args.target,
            weight: args.weight,
            allowed: allowed?,
            services: parse_names(&args.services),
        },
    })
}

fn roll_intent(args: &RollArgs) -> Result<Intent> {
    Ok(Intent::Roll {
        workspace: args.workspace.as_str().into(),
        to: parse_version(&args.at)?,
        target_permille: args.share.saturating_mul(10),
        start_ms: time::now_ms(),
        until_ms: parse_time(&args.before)?,
        steps: args.steps,
        guard: Guard {
            quality_floor: args.floor,
            failed_permille: args.failed,
        },
    })
}
