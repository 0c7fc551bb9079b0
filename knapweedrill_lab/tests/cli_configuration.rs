//! Tests of the `check` and `apply` commands of the CLI.

mod cli_support;

use cli_support::CliFixture;
use knapweedrill_lab::harness::DEFAULT_CONFIGURATION;

const INVALID_CONFIGURATION: &str = "\
[service embossing]
colour = red
[kind proof]
service = casting
class = hurried
idempotent = perhaps
deadline_ms = soon
[team tin-a]
share_percent = 150
";

/// Returns the default configuration with another limit of queued tasks.
fn configuration_with_limit(queued_tasks: u32) -> String {
    DEFAULT_CONFIGURATION.replace(
        "queued_tasks = 100000",
        &format!("queued_tasks = {queued_tasks}"),
    )
}

/// Returns the version of the configuration in force.
fn version_in_force(cli: &CliFixture) -> String {
    let shown = cli.run(&["--json", "show"]).expect_status(0).json();
    shown["configuration_version"].to_string()
}

#[test]
fn apply_with_wait_returns_once_all_processes_have_the_new_version() {
    let cli = CliFixture::start();
    let file = cli.write_file("new.ini", &configuration_with_limit(50_000));

    let applied = cli
        .run(&["--json", "apply", &file, "--wait"])
        .expect_status(0)
        .json();

    // Two entries and two sidecars.
    assert_eq!(applied["process_count"], 4);
    assert_eq!(applied["in_force_count"], 4);
    let shown = cli.run(&["--json", "show"]).expect_status(0).json();
    let processes = [&shown["entries"], &shown["minions"]];
    for process in processes
        .into_iter()
        .flat_map(|list| list.as_array().unwrap())
    {
        assert_eq!(process["configuration_version"], applied["version"]);
    }
}

#[test]
fn apply_onto_an_outdated_parent_is_rejected_with_the_current_version() {
    let cli = CliFixture::start();
    let parent = version_in_force(&cli);
    let first = cli.write_file("first.ini", &configuration_with_limit(50_000));
    let second = cli.write_file("second.ini", &configuration_with_limit(40_000));

    cli.run(&["apply", &first, "--parent", &parent, "--wait"])
        .expect_status(0);
    let rejected = cli
        .run(&["--json", "apply", &second, "--parent", &parent])
        .expect_status(7)
        .json();

    assert_eq!(rejected["outcome"], "rejected");
    assert_eq!(
        rejected["current_version"].to_string(),
        version_in_force(&cli)
    );
}

#[test]
fn one_of_two_concurrent_applies_onto_the_same_parent_is_rejected() {
    let cli = CliFixture::start();
    let parent = version_in_force(&cli);
    let files = [50_000, 40_000]
        .map(|count| cli.write_file(&format!("{count}.ini"), &configuration_with_limit(count)));

    let mut statuses = std::thread::scope(|scope| {
        let cli = &cli;
        let parent = parent.as_str();
        let applies = files
            .each_ref()
            .map(|file| scope.spawn(move || cli.run(&["apply", file, "--parent", parent])));
        applies.map(|apply| apply.join().expect("the CLI runs").status)
    });

    statuses.sort_unstable();
    assert_eq!(statuses, [0, 7]);
}

#[test]
fn an_invalid_file_lists_all_problems_and_is_not_applied() {
    let cli = CliFixture::start();
    let before = version_in_force(&cli);
    let file = cli.write_file("invalid.ini", INVALID_CONFIGURATION);

    let checked = cli.run(&["check", &file]).expect_status(8);
    let applied = cli.run(&["apply", &file]).expect_status(8);

    for output in [checked, applied] {
        for problem in ["colour", "hurried", "perhaps", "soon", "casting", "150"] {
            assert!(output.stderr.contains(problem), "no {problem}: {output:?}");
        }
    }
    assert_eq!(version_in_force(&cli), before);
}

#[test]
fn check_accepts_a_valid_file_without_applying_it() {
    let cli = CliFixture::start();
    let before = version_in_force(&cli);
    let file = cli.write_file("good.ini", &configuration_with_limit(50_000));

    cli.run(&["check", &file]).expect_status(0);

    assert_eq!(version_in_force(&cli), before);
}
