//! Tests of the harness's process control, with the log stand-in as the child process.

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
    let program = find_binary("knapweedrill-lab").expect("cargo builds the binary for the tests");
    let arguments = ["log", "--listen", &address.to_string()].map(str::to_owned);
    let process = ChildProcess::start("log", &program, arguments, directory.path());
    let log = LogNode::new(process.expect("the process starts"), address);
    wait_until("a response from the log", TIMEOUT, || log.read(0).is_ok())
        .expect("the log responds");
    log
}

fn directory() -> ScratchDirectory {
    ScratchDirectory::create().expect("the temporary directory is writable")
}

#[test]
fn a_frozen_process_keeps_its_state() {
    let directory = directory();
    let mut log = start_log(&directory);
    log.append("{}").expect("the log responds");
    log.process().freeze().expect("the process is stopped");
    assert!(log.process().is_running());
    let address = log.address();
    let url = format!("http://{address}/records");
    let response = attohttpc::get(url)
        .timeout(Duration::from_millis(200))
        .send();
    assert!(response.is_err());
    log.process().thaw().expect("the signal is sent");
    assert_eq!(log.read(0).expect("the log responds").next_offset, 1);
}

#[test]
fn kill_ends_a_frozen_process() {
    let directory = directory();
    let mut log = start_log(&directory);
    log.process().freeze().expect("the process is stopped");
    log.process().kill().expect("the process exits");
    assert!(!log.process().is_running());
    // Signals to a process that has exited are ignored.
    log.process().terminate().expect("no signal is sent");
}

#[test]
fn terminate_ends_a_process_with_success() {
    let directory = directory();
    let mut log = start_log(&directory);
    log.process().terminate().expect("the signal is sent");
    let status = log.process().wait_exit(TIMEOUT).expect("the process exits");
    assert!(status.success(), "{status}");
}

#[test]
fn dropping_a_process_kills_it() {
    let directory = directory();
    let log = start_log(&directory);
    let address = log.address();
    drop(log);
    assert!(std::net::TcpStream::connect(address).is_err());
}

#[test]
fn stderr_is_captured() {
    let directory = directory();
    let program = find_binary("knapweedrill-lab").expect("cargo builds the binary for the tests");
    let process = ChildProcess::start("bad", &program, ["nonsense".to_owned()], directory.path());
    let mut process = process.expect("the process starts");
    let status = process.wait_exit(TIMEOUT).expect("the process exits");
    assert!(!status.success());
    assert!(
        process.stderr().contains("nonsense"),
        "{}",
        process.stderr()
    );
}

#[test]
fn dropping_a_scratch_directory_removes_it() {
    let directory = directory();
    let path = directory.path().to_owned();
    assert!(Path::new(&path).is_dir());
    drop(directory);
    assert!(!path.exists());
}

#[test]
fn addresses_are_loopback_and_differ() {
    let allocator = AddressAllocator::new();
    let first = allocator.next_ip();
    assert!(first.is_loopback());
    assert_ne!(first, allocator.next_ip());
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
