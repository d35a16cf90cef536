//! Cases of the second review: `review-rig CASE RECORD`, started at the root of the repository. Exits with 1 if the rule
//! was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod drain;
mod fleet;
mod http;
mod readers;
mod server;
mod store;
mod withdrawn;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::{env, fs};

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, record] = &args[..] else {
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let folder: PathBuf = env::temp_dir().join(format!("review-rig-{}", std::process::id()));
    if fs::create_dir_all(&folder).is_err() {
        return ExitCode::from(2);
    }
    let mut record = fleet::Record::create(Path::new(record));
    let verdict = match case.as_str() {
        "drain" => drain::run(&folder, &mut record, has_trouble),
        "readers" => readers::run(&folder, &mut record, has_trouble),
        "withdrawn" => withdrawn::run(&folder, &mut record, has_trouble),
        _ => Verdict::NotRun,
    };
    if env::var("KEEP").is_err() {
        let _ignored = fs::remove_dir_all(&folder);
    }
    let (text, code) = match verdict {
        Verdict::Held => ("held", 0),
        Verdict::Broken => ("BROKEN", 1),
        Verdict::NotRun => ("could not run", 2),
    };
    record.now(text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
