//! The text that `--help` prints.

/// The usage, commands, options and exit statuses.
pub(super) const HELP: &str = "\
Submits jobs to knapweedrill and operates it.

Usage: knapweedrill [--entry ADDRESS,..] [--json] COMMAND ..

Commands:
  submit --team TEAM --kind KIND [PAYLOAD ..]   submits a job with one task per payload
         [--file FILE]                          reads the whole job from a JSON file
         [--key KEY] [--owner TOKEN]            retries an earlier submission
         [--class urgent|normal|bulk] [--deadline-ms N] [--idempotent true|false]
         [--hint-ms N] [--wait-ms N]
  status --team TEAM --key KEY --owner TOKEN [--wait-ms N]
  cancel --team TEAM --key KEY --owner TOKEN
  explain ID [FILE]                             prints the log lines of a job, merged from the logs
                                                of all processes in FILE or on standard input
  check FILE                                    checks a configuration file
  apply FILE [--parent VERSION|none] [--wait]   applies a configuration file as a whole
  show                                          shows services, minions, teams and entries
  drain PROCESS                                 drains and stops the process at that HTTP address
  timeline [--job ID | --minion NAME | --configuration]
                                                shows the events of all processes in causal order

Options:
  --entry ADDRESS,..  HTTP addresses of entries (default: 127.0.0.1:7000)
  --json              writes JSON
  --help, --version

Exit status: 0 done, 1 error, 2 wrong arguments, 3 job failed, 4 job not run, 5 job still runs,
6 outcome unknown, 7 configuration rejected, 8 configuration file invalid.
";
