//! The arguments; the help texts carry the examples.

use gumdrop::Options;

/// All arguments.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this text; `COMMAND --help` tells more of a command")]
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
    #[options(help = "JSON for machines in place of tables", short = "j")]
    pub json: bool,
    #[options(command)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Debug, Options)]
pub enum Command {
    #[options(help = "boxes, halls, upstreams, roll-outs and exposure")]
    Status(Plain),
    #[options(help = "events: `events`")]
    Events(Plain),
    #[options(help = "models and versions: `models`")]
    Models(Plain),
    #[options(help = "workspaces and quality targets: `workspaces`")]
    Workspaces(Plain),
    #[options(help = "draw a plan: `plan withdraw notes@v2 --out plan.json`")]
    Plan(PlanArgs),
    #[options(help = "show a plan from a file: `show plan.json`")]
    Show(PlanFile),
    #[options(help = "confirm a plan from a file: `confirm plan.json`")]
    Confirm(ConfirmArgs),
    #[options(help = "all accepted changes")]
    Audit(Plain),
    #[options(help = "what each workspace owes")]
    Bill(Plain),
    #[options(help = "check a settings file of ivyweird: `check box.json`")]
    Check(CheckArgs),
    #[options(help = "a request's story from log files: `explain ID box-*.log`")]
    Explain(ExplainArgs),
    #[options(help = "hash a key for a workspace or operator: `hash KEY`")]
    Hash(HashArgs),
}

/// A command without arguments of its own.
#[derive(Debug, Options)]
pub struct Plain {
    #[options(help = "print this text")]
    pub help: bool,
}

/// A command on a file.
#[derive(Debug, Options)]
pub struct PlanFile {
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
        help = "write a fresh plan here if the old one no longer fits",
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
    #[options(free, help = "log files of boxes; - is standard input, as is none")]
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

/// What is intended.
#[derive(Debug, Options)]
pub enum IntentArgs {
    #[options(
        help = "create an event: `plan event morning-drop --start 2026-12-03T06:00:00Z --workspaces x,y`"
    )]
    Event(EventArgs),
    #[options(help = "add a version: `plan version notes@v2 --cost 4000 --quality 0.9`")]
    Version(VersionArgs),
    #[options(help = "make a version current: `plan current notes@v2`")]
    Current(AtArgs),
    #[options(
        help = "put a workspace: `plan workspace x --key-hash HEX --target 0.8 --allow notes@v1,tags@v1`"
    )]
    Workspace(WorkspaceArgs),
    #[options(help = "put a pool of upstreams: `plan pool engines --kind engine --checks-fence`")]
    Pool(PoolArgs),
    #[options(help = "put an operator: `plan operator ann --key-hash HEX --role viewer`")]
    Operator(OperatorArgs),
    #[options(
        help = "roll a version out: `plan roll notes@v2 --workspace x --share 50 --before 2026-12-03T06:00:00Z`"
    )]
    Roll(RollArgs),
    #[options(help = "halt a roll-out: `plan halt x.notes --reason complaints`")]
    Halt(HaltArgs),
    #[options(help = "withdraw a version now: `plan withdraw notes@v2`")]
    Withdraw(AtArgs),
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
    #[options(help = "workspaces that take part, by commas", meta = "LIST")]
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
        help = "quality expected before any rating, 0 to 1",
        meta = "QUALITY"
    )]
    pub quality: f64,
}

/// Arguments of intents that name a version only.
#[derive(Debug, Options)]
pub struct AtArgs {
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
    #[options(required, help = "mean quality to reach, 0 to 1", meta = "QUALITY")]
    pub target: f64,
    #[options(
        help = "share of capacity relative to others",
        meta = "N",
        default = "1"
    )]
    pub weight: u32,
    #[options(help = "versions it may use, by commas", meta = "LIST")]
    pub allow: Option<String>,
    #[options(help = "pools of plain services it may call, by commas", meta = "LIST")]
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
    #[options(help = "its upstreams refuse orders of an older generation", no_short)]
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
        help = "share of new sessions to reach, in hundredths",
        meta = "PERCENT",
        default = "100"
    )]
    pub share: u32,
    #[options(
        required,
        help = "when the share is reached, as 2026-12-03T06:00:00Z or +MINUTESm",
        meta = "TIME"
    )]
    pub before: String,
    #[options(help = "number of equal steps", meta = "N", default = "5")]
    pub steps: u32,
    #[options(
        help = "halt under this mean rating, 0 to 1",
        meta = "QUALITY",
        default = "0"
    )]
    pub floor: f64,
    #[options(
        help = "halt over this share of failed answers, in thousandths",
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
    #[options(help = "why, for the audit", meta = "TEXT", default = "operator")]
    pub reason: String,
}
