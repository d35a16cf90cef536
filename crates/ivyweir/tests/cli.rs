//! Tests of the command line binary.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

fn ivyweir(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivyweir"));
    command.env_remove("IVYWEIR_BOX").env_remove("IVYWEIR_KEY");
    command.args(args).output().expect("it runs")
}

fn stdout_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Writes a file in the temporary folder under a name unique to this process.
fn write_temp_file(name: &str, content: &str) -> PathBuf {
    let name = format!("ivyweir-cli-{}-{name}", std::process::id());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, content).expect("the temporary folder can be written");
    path
}

#[test]
fn every_option_of_the_help_is_taken() {
    let output = ivyweir(&["--help"]);
    let help = stdout_text(&output) + &String::from_utf8_lossy(&output.stderr);
    let (own, _commands) = help.split_once("Available commands").expect("two parts");
    let options = own.lines().filter_map(|line| {
        let option = line
            .split_whitespace()
            .find(|word| word.starts_with("--"))?;
        let (_, rest) = line.split_once(option)?;
        // A value name follows the option after one space, the help text after more.
        let takes_value = rest.starts_with(' ') && !rest.starts_with("  ");
        Some((option.to_owned(), takes_value))
    });
    let options: Vec<(String, bool)> = options.collect();
    assert!(
        options.iter().any(|(option, _)| option == "--box"),
        "{help}"
    );
    for (option, takes_value) in options {
        let value = takes_value.then_some("http://127.0.0.1:1");
        let args: Vec<&str> = [Some(option.as_str()), value]
            .into_iter()
            .flatten()
            .collect();
        let output = ivyweir(&args);
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!errors.contains("unrecognized"), "{option}: {errors}");
    }
}

const DECISION_LOG: &str = r#"
{"epoch_ms":1000,"at_ms":1,"event":"store_lost","topic":"site"}
{"epoch_ms":2500,"at_ms":9,"event":"refused","request_id":"r1","reason":"not_current"}
{"epoch_ms":2000,"at_ms":8,"event":"admitted","request_id":"r1","route":"notes"}
{"epoch_ms":2100,"at_ms":8,"event":"admitted","request_id":"r2","route":"tags"}
{"epoch_ms":9000,"at_ms":99,"event":"store_regained","topic":"site"}
"#;

#[test]
fn a_requests_story_is_told_in_order_with_what_the_box_believed() {
    let log = write_temp_file("story.log", DECISION_LOG);
    let output = ivyweir(&["--json", "explain", "r1", &log.display().to_string()]);
    let trace: Vec<serde_json::Value> = serde_json::from_str(&stdout_text(&output)).expect("JSON");
    let events: Vec<&str> = trace
        .iter()
        .filter_map(|step| step["event"].as_str())
        .collect();
    assert_eq!(events, ["store_lost", "admitted", "refused"]);
    let _ignored = fs::remove_file(log);
}

/// Logs of two boxes. `try-1` ended an upstream on the first box; `try-2`, with the same content, was
/// refused as quarantined on the second. `other` has different content and must not be listed.
const UPSTREAM_END_LOGS: [&str; 2] = [
    r#"{"at_ms":1,"epoch_ms":1000,"event":"admitted","request_id":"try-1","fingerprint":"aa"}
{"at_ms":2,"epoch_ms":1001,"event":"stream_broke","request_id":"try-1","upstream":"u1"}
{"at_ms":3,"epoch_ms":1002,"event":"upstream_ended","upstream":"u1","fingerprints":["aa","bb"]}
{"at_ms":4,"epoch_ms":1003,"event":"admitted","request_id":"other","fingerprint":"bb"}
"#,
    r#"{"at_ms":1,"epoch_ms":2000,"event":"quarantined","fingerprint":"aa","upstream_ends":3}
{"at_ms":2,"epoch_ms":2100,"event":"admitted","request_id":"try-2","fingerprint":"aa"}
{"at_ms":3,"epoch_ms":2101,"event":"refused","request_id":"try-2","reason":"quarantined"}
"#,
];

#[test]
fn a_quarantined_request_is_explained_by_earlier_tries_over_a_folder_of_logs() {
    let folder = std::env::temp_dir().join(format!("ivyweir-logs-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the temporary folder can be written");
    for (number, log) in UPSTREAM_END_LOGS.iter().enumerate() {
        let path = folder.join(format!("box-{number}.log"));
        fs::write(path, log).expect("the file can be written");
    }
    let output = ivyweir(&["--json", "explain", "try-2", &folder.display().to_string()]);
    let trace: Vec<serde_json::Value> = serde_json::from_str(&stdout_text(&output)).expect("JSON");
    let steps: Vec<(&str, &str)> = trace
        .iter()
        .filter_map(|step| Some((step["event"].as_str()?, step["relation"].as_str()?)))
        .collect();
    let expected = [
        ("admitted", "same"),
        ("stream_broke", "same"),
        ("upstream_ended", "same"),
        ("quarantined", "same"),
        ("admitted", "own"),
        ("refused", "own"),
    ];
    assert_eq!(steps, expected);
    let table = stdout_text(&ivyweir(&[
        "explain",
        "try-2",
        &folder.display().to_string(),
    ]));
    assert!(table.contains("request_id=try-1"), "{table}");
    let _ignored = fs::remove_dir_all(folder);
}

#[test]
fn a_request_without_lines_is_said_so() {
    let log = write_temp_file("none.log", DECISION_LOG);
    let output = ivyweir(&["explain", "r9", &log.display().to_string()]);
    assert!(stdout_text(&output).starts_with("no log line for that request"));
    let _ignored = fs::remove_file(log);
}

const GATEWAY_SETTINGS: &str = r#"{
  "box_name": "b1", "hall": "h1", "caller_addr": "127.0.0.1:1", "ready_addr": "127.0.0.1:2",
  "metrics_addr": "127.0.0.1:3", "peer_addr": "127.0.0.1:4", "store_addr": "127.0.0.1:5",
  "machine": {"memory_mb": 110, "max_fds": 4100},
  "bounds": {"leaving_ms": 2000, "config_ms": 2000, "revoke_ms": 5000, "stop_grace_s": 8,
             "repeat_ratio": 0.9, "repeat_slack": 58, "repeat_window_s": 10}
}"#;

macro_rules! settings {
    ($($name:ident: $from:expr => $to:expr, reports $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let path = write_temp_file(stringify!($name), &GATEWAY_SETTINGS.replace($from, $to));
            let output = ivyweir(&["check", "--gateway", &path.display().to_string()]);
            let messages = stdout_text(&output) + &String::from_utf8_lossy(&output.stderr);
            assert!(messages.contains($expected), "{messages}");
            let _ignored = fs::remove_file(path);
        }
    )*};
}

settings! {
    good_settings_are_said_so: "b1" => "b2", reports ": ok";
    an_unknown_field_is_named: "\"hall\"" => "\"hal\"", reports "hal";
    a_missing_field_is_named: "\"memory_mb\": 110," => "", reports "memory_mb";
    a_weight_below_nothing_is_named:
        "\"machine\"" => "\"policy\": {\"far_engine_ms\": -1}, \"machine\"", reports "policy.far_engine_ms";
    a_confidence_out_of_range_is_named:
        "\"machine\"" => "\"policy\": {\"confidence_floor\": 101}, \"machine\"", reports "policy.confidence_floor";
    an_unknown_choice_is_named:
        "\"machine\"" => "\"policy\": {\"unproven_keys\": \"drop\"}, \"machine\"", reports "drop";
    a_bound_of_nothing_is_named: "\"leaving_ms\": 2000" => "\"leaving_ms\": 0", reports "bounds.leaving_ms";
}

/// Guards against a refusal for a part of the prompt whose trace does not lead to the ends under the part.
#[test]
fn a_request_refused_for_a_part_is_explained_by_the_ends_under_it() {
    let lines = [
        r#"{"epoch_ms":1,"event":"upstream_ended","upstream":"u1","fingerprints":["f1"],"parts":["p1","p2"]}"#,
        r#"{"epoch_ms":2,"event":"upstream_ended","upstream":"u2","fingerprints":["f2"],"parts":["p2"]}"#,
        r#"{"epoch_ms":3,"event":"quarantined","fingerprint":"p1","kind":"part","upstream_ends":3}"#,
        r#"{"epoch_ms":4,"event":"admitted","request_id":"other","fingerprint":"f4","parts":["p1"]}"#,
        r#"{"epoch_ms":5,"event":"admitted","request_id":"r1","fingerprint":"f5","parts":["p1"]}"#,
        r#"{"epoch_ms":6,"event":"refused","request_id":"r1","reason":"prompt_part_quarantined","part":"p1"}"#,
    ];
    let log = std::env::temp_dir().join(format!("ivyweir-part-{}.log", std::process::id()));
    fs::write(&log, lines.join("\n")).expect("the file can be written");
    let output = ivyweir(&["--json", "explain", "r1", &log.display().to_string()]);
    let trace: Vec<serde_json::Value> = serde_json::from_str(&stdout_text(&output)).expect("JSON");
    let steps: Vec<(&str, u64)> = trace
        .iter()
        .filter_map(|step| Some((step["event"].as_str()?, step["epoch_ms"].as_u64()?)))
        .collect();
    let expected = [
        ("upstream_ended", 1),
        ("quarantined", 3),
        ("admitted", 5),
        ("refused", 6),
    ];
    assert_eq!(steps, expected);
    let _ignored = fs::remove_file(log);
}
