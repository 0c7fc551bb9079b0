//! The tool checks and applies configuration files.

mod cli_support;

use cli_support::Tool;
use knapweedrill_lab::harness::DEFAULT_CONFIGURATION;

const BAD: &str = "\
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

fn changed(queued_tasks: u32) -> String {
    DEFAULT_CONFIGURATION.replace(
        "queued_tasks = 100000",
        &format!("queued_tasks = {queued_tasks}"),
    )
}

fn version(tool: &Tool) -> String {
    let shown = tool.run(&["--json", "show"]).expect(0).json();
    shown["configuration_version"].to_string()
}

#[test]
fn an_applied_file_is_in_force_everywhere() {
    let tool = Tool::start();
    let file = tool.file("new.ini", &changed(50_000));

    let applied = tool
        .run(&["--json", "apply", &file, "--wait"])
        .expect(0)
        .json();

    // Two entries and two sidecars.
    assert_eq!(applied["process_count"], 4);
    assert_eq!(applied["in_force_count"], 4);
    let shown = tool.run(&["--json", "show"]).expect(0).json();
    let processes = [&shown["entries"], &shown["minions"]];
    for process in processes
        .into_iter()
        .flat_map(|list| list.as_array().unwrap())
    {
        assert_eq!(process["configuration_version"], applied["version"]);
    }
}

#[test]
fn a_file_with_another_parent_is_rejected_and_told_what_is_in_force() {
    let tool = Tool::start();
    let parent = version(&tool);
    let first = tool.file("first.ini", &changed(50_000));
    let second = tool.file("second.ini", &changed(40_000));

    tool.run(&["apply", &first, "--parent", &parent, "--wait"])
        .expect(0);
    let lost = tool
        .run(&["--json", "apply", &second, "--parent", &parent])
        .expect(7)
        .json();

    assert_eq!(lost["outcome"], "rejected");
    assert_eq!(lost["current_version"].to_string(), version(&tool));
}

#[test]
fn of_two_operators_who_race_one_wins_and_the_other_is_told() {
    let tool = Tool::start();
    let parent = version(&tool);
    let files = [50_000, 40_000].map(|count| tool.file(&format!("{count}.ini"), &changed(count)));

    let mut statuses = std::thread::scope(|scope| {
        let tool = &tool;
        let parent = parent.as_str();
        let racers = files
            .each_ref()
            .map(|file| scope.spawn(move || tool.run(&["apply", file, "--parent", parent])));
        racers.map(|racer| racer.join().expect("the tool runs").status)
    });

    statuses.sort_unstable();
    assert_eq!(statuses, [0, 7]);
}

#[test]
fn an_invalid_file_lists_all_problems_and_changes_nothing() {
    let tool = Tool::start();
    let before = version(&tool);
    let file = tool.file("bad.ini", BAD);

    let checked = tool.run(&["check", &file]).expect(8);
    let applied = tool.run(&["apply", &file]).expect(8);

    for run in [checked, applied] {
        for named in ["colour", "hurried", "perhaps", "soon", "casting", "150"] {
            assert!(run.stderr.contains(named), "no {named}: {run:?}");
        }
    }
    assert_eq!(version(&tool), before);
}

#[test]
fn a_valid_file_passes_the_check_without_being_applied() {
    let tool = Tool::start();
    let before = version(&tool);
    let file = tool.file("good.ini", &changed(50_000));

    tool.run(&["check", &file]).expect(0);

    assert_eq!(version(&tool), before);
}
