//! Command line arguments; the help texts contain examples.

use gumdrop::Options;

/// Top-level arguments.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this text; `COMMAND --help` describes a command")]
    pub help: bool,
    #[options(help = "print the version", no_short)]
    pub version: bool,
    #[options(
        help = "base URL of any box's operator address (or IVYWEIR_BOX)",
        meta = "URL",
        short = "b",
        long = "box"
    )]
    pub box_url: Option<String>,
    #[options(
        help = "operator key (or IVYWEIR_KEY, which keeps it out of process lists)",
        meta = "KEY",
        no_short
    )]
    pub key: Option<String>,
    #[options(help = "print JSON instead of tables", short = "j")]
    pub json: bool,
    #[options(command)]
    pub command: Option<Command>,
}

/// The command to run.
#[derive(Debug, Options)]
pub enum Command {
    #[options(help = "show boxes, halls, upstreams, roll-outs and answers by version")]
    Status(NoArgs),
    #[options(help = "list events: `events`")]
    Events(NoArgs),
    #[options(help = "list models and versions: `models`")]
    Models(NoArgs),
    #[options(help = "list workspaces and quality targets: `workspaces`")]
    Workspaces(NoArgs),
    #[options(help = "create a plan: `plan withdraw notes@v2 --out plan.json`")]
    Plan(PlanArgs),
    #[options(help = "show a plan from a file: `show plan.json`")]
    Show(ShowArgs),
    #[options(help = "confirm a plan from a file: `confirm plan.json`")]
    Confirm(ConfirmArgs),
    #[options(help = "list all accepted changes")]
    Audit(NoArgs),
    #[options(help = "show the bill of each workspace")]
    Bill(NoArgs),
    #[options(help = "check a settings file of ivyweird: `check box.json`")]
    Check(CheckArgs),
    #[options(help = "trace a request through log files: `explain ID box-*.log`")]
    Explain(ExplainArgs),
    #[options(help = "hash a key for a workspace or operator: `hash KEY`")]
    Hash(HashArgs),
}

/// Arguments of commands without specific arguments.
#[derive(Debug, Options)]
pub struct NoArgs {
    #[options(help = "print this text")]
    pub help: bool,
}

/// Arguments of `show`.
#[derive(Debug, Options)]
pub struct ShowArgs {
    #[options(help = "print this text")]
    pub help: bool,
    #[options(free, required, help = "the file")]
    pub file: String,
}

/// Arguments of `confirm`.
#[derive(Debug, Options)]
pub struct ConfirmArgs {
    #[options(help = "print this text")]
    pub help: bool,
    #[options(free, required, help = "the plan's file")]
    pub file: String,
    #[options(
        help = "write the new plan here if the old one is outdated",
        meta = "FILE"
    )]
    pub out: Option<String>,
}

/// Arguments of `hash`.
#[derive(Debug, Options)]
pub struct HashArgs {
    #[options(help = "print this text")]
    pub help: bool,
    #[options(free, required, help = "the key")]
    pub key: String,
}

/// Arguments of `check`.
#[derive(Debug, Options)]
pub struct CheckArgs {
    #[options(help = "print this text")]
    pub help: bool,
    #[options(help = "the file is for `ivyweird --gateway`", no_short)]
    pub gateway: bool,
    #[options(free, required, help = "the file")]
    pub file: String,
}

/// Arguments of `explain`.
#[derive(Debug, Options)]
pub struct ExplainArgs {
    #[options(help = "print this text")]
    pub help: bool,
    #[options(free, required, help = "the request's id")]
    pub request_id: String,
    #[options(
        free,
        help = "log files of boxes, or folders of them; - or none reads standard input"
    )]
    pub files: Vec<String>,
}

/// Arguments of `plan`.
#[derive(Debug, Options)]
pub struct PlanArgs {
    #[options(help = "print this text")]
    pub help: bool,
    #[options(help = "write the plan to this file", meta = "FILE", short = "o")]
    pub out: Option<String>,
    #[options(command, required)]
    pub intent: Option<IntentArgs>,
}

/// The intent that a plan is created for.
#[derive(Debug, Options)]
pub enum IntentArgs {
    #[options(
        help = "create an event: `plan event morning-drop --start 2026-12-03T06:00:00Z --workspaces x,y`"
    )]
    Event(EventArgs),
    #[options(help = "add a version: `plan version notes@v2 --cost 4000 --quality 0.9`")]
    Version(VersionArgs),
    #[options(help = "make a version current: `plan current notes@v2`")]
    Current(VersionRefArgs),
    #[options(
        help = "create or replace a workspace: `plan workspace x --key-hash HEX --target 0.8 --allow notes@v1,tags@v1`"
    )]
    Workspace(WorkspaceArgs),
    #[options(
        help = "create or replace a pool of upstreams: `plan pool engines --kind engine --checks-fence`"
    )]
    Pool(PoolArgs),
    #[options(
        help = "create or replace an operator: `plan operator ann --key-hash HEX --role viewer`"
    )]
    Operator(OperatorArgs),
    #[options(
        help = "roll a version out: `plan roll notes@v2 --workspace x --share 50 --before 2026-12-03T06:00:00Z`"
    )]
    Roll(RollArgs),
    #[options(help = "halt a roll-out: `plan halt x.notes --reason complaints`")]
    Halt(HaltArgs),
    #[options(help = "withdraw a version now: `plan withdraw notes@v2`")]
    Withdraw(VersionRefArgs),
}

/// Arguments of `plan event`.
#[derive(Debug, Options)]
pub struct EventArgs {
    #[options(help = "print this text")]
    pub help: bool,
    #[options(free, required, help = "the event's name")]
    pub name: String,
    #[options(
        required,
        help = "start, as 2026-12-03T06:00:00Z or +MINUTESm",
        meta = "TIME"
    )]
    pub start: String,
    #[options(help = "participating workspaces, separated by commas", meta = "LIST")]
    pub workspaces: Option<String>,
}

/// Arguments of `plan version`.
#[derive(Debug, Options)]
pub struct VersionArgs {
    #[options(help = "print this text")]
    pub help: bool,
    #[options(free, required, help = "model@version")]
    pub at: String,
    #[options(required, help = "price of 1000 tokens, in millionths", meta = "MICRO")]
    pub cost: u64,
    #[options(
        required,
        help = "expected quality before any rating, 0 to 1",
        meta = "QUALITY"
    )]
    pub quality: f64,
}

/// Arguments of `plan current` and `plan withdraw`.
#[derive(Debug, Options)]
pub struct VersionRefArgs {
    #[options(help = "print this text")]
    pub help: bool,
    #[options(free, required, help = "model@version")]
    pub at: String,
}

/// Arguments of `plan workspace`.
#[derive(Debug, Options)]
pub struct WorkspaceArgs {
    #[options(help = "print this text")]
    pub help: bool,
    #[options(free, required, help = "the workspace's name")]
    pub name: String,
    #[options(required, help = "hash of the caller key, from `hash`", meta = "HEX")]
    pub key_hash: String,
    #[options(required, help = "target mean quality, 0 to 1", meta = "QUALITY")]
    pub target: f64,
    #[options(
        help = "share of capacity relative to others",
        meta = "N",
        default = "1"
    )]
    pub weight: u32,
    #[options(help = "versions it may use, separated by commas", meta = "LIST")]
    pub allow: Option<String>,
    #[options(
        help = "pools of kind service it may call, separated by commas",
        meta = "LIST"
    )]
    pub services: Option<String>,
}

/// Arguments of `plan pool`.
#[derive(Debug, Options)]
pub struct PoolArgs {
    #[options(help = "print this text")]
    pub help: bool,
    #[options(free, required, help = "the pool's name")]
    pub name: String,
    #[options(required, help = "engine or service", meta = "KIND")]
    pub kind: String,
    #[options(help = "its upstreams reject orders of an older generation", no_short)]
    pub checks_fence: bool,
}

/// Arguments of `plan operator`.
#[derive(Debug, Options)]
pub struct OperatorArgs {
    #[options(help = "print this text")]
    pub help: bool,
    #[options(free, required, help = "the operator's name")]
    pub name: String,
    #[options(required, help = "hash of the operator key, from `hash`", meta = "HEX")]
    pub key_hash: String,
    #[options(required, help = "viewer or editor", meta = "ROLE")]
    pub role: String,
}

/// Arguments of `plan roll`.
#[derive(Debug, Options)]
pub struct RollArgs {
    #[options(help = "print this text")]
    pub help: bool,
    #[options(free, required, help = "model@version to roll out")]
    pub at: String,
    #[options(required, help = "the workspace", meta = "NAME")]
    pub workspace: String,
    #[options(
        help = "target share of new sessions, in percent",
        meta = "PERCENT",
        default = "100"
    )]
    pub share: u32,
    #[options(
        required,
        help = "time by which the share is reached, as 2026-12-03T06:00:00Z or +MINUTESm",
        meta = "TIME"
    )]
    pub before: String,
    #[options(help = "number of equal steps", meta = "N", default = "5")]
    pub steps: u32,
    #[options(
        help = "halt below this mean rating, 0 to 1",
        meta = "QUALITY",
        default = "0"
    )]
    pub floor: f64,
    #[options(
        help = "halt above this share of failed answers, in thousandths",
        meta = "N",
        default = "200"
    )]
    pub failed: u32,
}

/// Arguments of `plan halt`.
#[derive(Debug, Options)]
pub struct HaltArgs {
    #[options(help = "print this text")]
    pub help: bool,
    #[options(free, required, help = "the roll-out's id, WORKSPACE.MODEL")]
    pub id: String,
    #[options(
        help = "reason recorded in the audit",
        meta = "TEXT",
        default = "operator"
    )]
    pub reason: String,
}
