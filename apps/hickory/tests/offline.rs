//! Commands that work without a fleet.

mod run;

use run::run;
use std::fmt::Write;

#[test]
fn files_are_checked_with_every_finding() {
    let mut report = String::new();
    for args in [
        &["check", "settings", "settings.jsonc"][..],
        &["check", "settings", "settings_bad.jsonc"],
        &["check", "settings", "settings_odd.jsonc"],
        &["--json", "check", "settings", "settings_bad.jsonc"],
        &["--json", "check", "settings", "settings_odd.jsonc"],
        &["check", "settings", "nowhere.jsonc"],
        &["check", "release", "note.jsonc"],
        &["check", "release", "note_shape.jsonc"],
        &["--json", "check", "release", "note_shape.jsonc"],
    ] {
        writeln!(report, "{}", run(args, &[])).unwrap();
    }
    insta::assert_snapshot!(report);
}

#[test]
fn wrong_usage_has_its_exit_code() {
    let mut report = String::new();
    let token = [("HICKORY_TOKEN", "operator-token")];
    for (args, env) in [
        (&["nodes"][..], &token[..]),
        (&["--node", "127.0.0.1:1", "nodes"], &[]),
        (&["--node", "127.0.0.1:1", "nodes"], &[("HICKORY_TOKEN", "two words")]),
        (&["--node", "127.0.0.1:1", "--token-file", "nowhere", "nodes"], &[]),
        (&["--node", "127.0.0.1:1", "--node", "127.0.0.1:2", "drain"], &token),
        (&["--node", "localhost", "nodes"], &token),
        (&["--timeout-ms", "0", "nodes"], &token),
        (&["relase"], &[]),
        (&[], &[]),
    ] {
        let output = run(args, env);
        // The texts of usage errors come from clap, so only the exit code is checked.
        let shown =
            if output.code == Some(2) { output.command_and_code() } else { output.to_string() };
        writeln!(report, "{shown}").unwrap();
    }
    insta::assert_snapshot!(report);
}

#[test]
fn help_lists_commands_and_exit_codes() {
    let help = run(&["--help"], &[]).stdout;
    insta::assert_snapshot!(help);
}

#[test]
fn a_new_token_matches_its_digest() {
    let new = run(&["token", "new"], &[]);
    assert_eq!(new.code, Some(0));
    let mut words = new.stdout.split_whitespace();
    assert_eq!(words.next(), Some("token"));
    let token = words.next().unwrap();
    assert_eq!(words.next(), Some("digest"));
    let digest = words.next().unwrap();
    assert_eq!((token.len(), digest.len()), (64, 64));
    let again = run(&["token", "digest"], &[("HICKORY_TOKEN", token)]);
    assert_eq!(again.stdout.trim(), digest);
    assert_ne!(run(&["token", "new"], &[]).stdout, new.stdout);
}

#[test]
fn the_examples_of_the_operators_page_are_valid() {
    for (kind, file) in [("settings", "node.jsonc"), ("release", "first-note.jsonc")] {
        let path = format!("../../../../docs/examples/{file}");
        let output = run(&["check", kind, &path], &[]);
        assert_eq!(output.code, Some(0), "{output}");
        assert_eq!(output.stderr, "", "{output}");
    }
    let nothing = r#"{ "version": 0, "operations": [], "partners": {}, "accounts": {},
        "models": {}, "zones": {}, "services": {}, "targets": {}, "operators": [] }"#;
    let path = std::env::temp_dir().join(format!("hickory-nothing-{}.json", std::process::id()));
    std::fs::write(&path, nothing).unwrap();
    let note = "../../../../docs/examples/first-note.jsonc";
    let output = run(&["check", "release", note, "--configuration", path.to_str().unwrap()], &[]);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.code, Some(0), "{output}");
}

/// The cause of a caller's complaint must be visible from log lines alone. The cases
/// are a late answer beside long prompts on its engine, a call that ended without an
/// answer, a stream that its engine cut and another engine resumed, and a prompt that went
/// through a peer because its node had lost its links.
#[test]
fn the_history_of_a_request_is_read_from_logs() {
    let mut report = String::new();
    for args in [
        &["explain", "37d6693a9bed6092", "entry.log"][..],
        &["explain", "0ea6cbd7717616a8", "entry.log"],
        &["explain", "875fa90a67842076", "entry.log"],
        &["explain", "c268eddb250da4eb", "links.log"],
        &["explain", "nobody", "entry.log"],
        &["explain", "nobody", "nowhere.log"],
        &["--json", "explain", "0ea6cbd7717616a8", "entry.log"],
    ] {
        writeln!(report, "{}", run(args, &[])).unwrap();
    }
    insta::assert_snapshot!(report);
}
