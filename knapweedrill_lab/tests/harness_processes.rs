//! The harness's control of processes; the program of the lab stands for a daemon.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use knapweedrill_lab::harness::{
    AddressAllocator, ChildProcess, DaemonRole, DaemonSettings, HTTP_PORT, LINK_PORT, LOG_PORT,
    LogNode, ScratchDirectory, find_binary, wait_until,
};
use test_case::test_case;

const TIMEOUT: Duration = Duration::from_secs(5);

fn start_log(directory: &ScratchDirectory) -> LogNode {
    let address = AddressAllocator::new().next_address(LOG_PORT);
    let program = find_binary("knapweedrill-lab").expect("cargo builds it for the tests");
    let arguments = ["log", "--listen", &address.to_string()].map(str::to_owned);
    let process = ChildProcess::start("log", &program, arguments, directory.path());
    let log = LogNode::new(process.expect("it starts"), address);
    wait_until("the log", TIMEOUT, || log.read(0).is_ok()).expect("it answers");
    log
}

fn directory() -> ScratchDirectory {
    ScratchDirectory::create().expect("the temporary directory is writable")
}

#[test]
fn a_frozen_process_goes_on_where_it_was() {
    let directory = directory();
    let mut log = start_log(&directory);
    log.append("{}").expect("it answers");
    log.process().freeze().expect("it takes the signal");
    assert!(log.process().is_running());
    let address = log.address();
    let url = format!("http://{address}/records");
    let frozen = attohttpc::get(url)
        .timeout(Duration::from_millis(200))
        .send();
    assert!(frozen.is_err());
    log.process().thaw().expect("it takes the signal");
    assert_eq!(log.read(0).expect("it answers").next_offset, 1);
}

#[test]
fn a_killed_process_ends_even_if_frozen() {
    let directory = directory();
    let mut log = start_log(&directory);
    log.process().freeze().expect("it takes the signal");
    log.process().kill().expect("it ends");
    assert!(!log.process().is_running());
    // A signal to a process that has ended goes nowhere.
    log.process().terminate().expect("there is nothing to do");
}

#[test]
fn a_terminated_process_ends_well() {
    let directory = directory();
    let mut log = start_log(&directory);
    log.process().terminate().expect("it takes the signal");
    let status = log.process().wait_exit(TIMEOUT).expect("it ends");
    assert!(status.success(), "{status}");
}

#[test]
fn a_dropped_process_ends() {
    let directory = directory();
    let log = start_log(&directory);
    let address = log.address();
    drop(log);
    assert!(std::net::TcpStream::connect(address).is_err());
}

#[test]
fn stderr_is_captured() {
    let directory = directory();
    let program = find_binary("knapweedrill-lab").expect("cargo builds it for the tests");
    let process = ChildProcess::start("bad", &program, ["nonsense".to_owned()], directory.path());
    let mut process = process.expect("it starts");
    let status = process.wait_exit(TIMEOUT).expect("it ends");
    assert!(!status.success());
    assert!(
        process.stderr().contains("nonsense"),
        "{}",
        process.stderr()
    );
}

#[test]
fn a_scratch_directory_goes_when_it_is_dropped() {
    let directory = directory();
    let path = directory.path().to_owned();
    assert!(Path::new(&path).is_dir());
    drop(directory);
    assert!(!path.exists());
}

#[test]
fn addresses_are_loopback_and_differ() {
    let plan = AddressAllocator::new();
    let first = plan.next_ip();
    assert!(first.is_loopback());
    assert_ne!(first, plan.next_ip());
    assert_ne!(first.octets()[1], 0);
}

#[test_case(
    DaemonRole::Entry { log: "127.1.2.9:7100".parse().expect("valid") },
    "role = entry",
    "[log]\naddress = 127.1.2.9:7100\n";
    "entry"
)]
#[test_case(
    DaemonRole::Sidecar { service: "embossing".into() },
    "role = sidecar",
    "[minion]\nservice = embossing\n";
    "sidecar"
)]
fn settings_have_the_documented_form(role: DaemonRole, role_line: &str, section: &str) {
    let ip = [127, 1, 2, 3];
    let http = SocketAddr::from((ip, HTTP_PORT));
    let link = SocketAddr::from((ip, LINK_PORT));
    let seeds = ["127.1.2.1:7001", "127.1.2.2:7001"].map(|seed| seed.parse().expect("valid"));
    let settings = DaemonSettings::new("node-1", role, http, link)
        .worker("worker-1")
        .failure_domain("fd-1")
        .seeds(seeds);
    let expected = format!(
        "[process]\n{role_line}\nname = node-1\nworker = worker-1\nfailure_domain = fd-1\n\
         [listen]\nhttp = 127.1.2.3:7000\nlink = 127.1.2.3:7001\n\
         [seeds]\nentries = 127.1.2.1:7001, 127.1.2.2:7001\n\
         {section}[logging]\nlevel = info\nformat = json\n"
    );
    assert_eq!(settings.to_ini(), expected);
}
