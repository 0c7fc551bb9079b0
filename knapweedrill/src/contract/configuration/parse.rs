//! Parsing of the declarative file.

use super::{Configuration, Kind, Limits, Service, Team};
use crate::contract::Class;
use crate::ini::{IniError, IniProblemKind, IniReader, NAME_ALLOWED, is_name};

const SECTIONS_ALLOWED: &str = "[service NAME], [kind NAME], [team NAME], [limits]";

const CLASS_CHOICES: [(&str, Class); 3] = [
    ("urgent", Class::Urgent),
    ("normal", Class::Normal),
    ("bulk", Class::Bulk),
];

const BOOLEAN_CHOICES: [(&str, bool); 2] = [("true", true), ("false", false)];

/// The default limit on the ejected part of a service's minions.
const EJECTED_MAX_DEFAULT_PERCENT: u32 = 50;

/// The default cap of a team, which does not limit it.
const CAP_DEFAULT_PERCENT: u32 = 100;

const DAY_MS: u64 = 24 * 60 * 60 * 1_000;
const TASK_COUNT_MAX: u32 = 10_000_000;
const PAYLOAD_BYTES_MAX: u32 = 1 << 30;
const MEMORY_BYTES_MAX: u64 = 1 << 40;

impl Configuration {
    /// Parses the text of a declarative file; `file` is its name for error messages.
    ///
    /// # Errors
    ///
    /// Returns all problems of the text together.
    ///
    /// # Examples
    ///
    /// ```
    /// use knapweedrill::contract::Configuration;
    ///
    /// let text = "
    /// [service embossing]
    /// ejected_max_percent = 50
    /// [kind proof]
    /// service = embossing
    /// class = urgent
    /// idempotent = true
    /// deadline_ms = 30000
    /// [team tin-a]
    /// share_percent = 25
    /// ";
    /// let configuration = Configuration::parse(text, "system.ini").unwrap();
    /// assert_eq!(configuration.kind("proof").unwrap().service, "embossing");
    ///
    /// let error = Configuration::parse("[team tin-a]\nshare_percent = 125\n", "system.ini");
    /// assert!(error.unwrap_err().to_string().contains("'125' is not valid"));
    /// ```
    pub fn parse(text: &str, file: impl Into<String>) -> Result<Self, IniError> {
        let mut reader = IniReader::new(text);
        let limits = read_limits(&mut reader);
        let services = read_named(&mut reader, "service", read_service);
        // Kinds may refer to a service whose own section is invalid, so that one problem is not
        // reported twice.
        let declared = reader.section_name_suffixes("service");
        let kinds = read_named(&mut reader, "kind", |reader, section, name| {
            read_kind(reader, section, name, &declared)
        });
        let teams = read_named(&mut reader, "team", read_team);
        let configuration = Self {
            services,
            kinds,
            teams,
            limits,
        };
        configuration.check_deadlines(&mut reader);
        configuration.check_shares(&mut reader);
        reader.finish(file, SECTIONS_ALLOWED, Some(configuration))
    }

    fn check_deadlines(&self, reader: &mut IniReader) {
        let max = self.limits.deadline_max;
        for kind in self.kinds.iter().filter(|kind| kind.deadline > max) {
            let problem = IniProblemKind::InvalidValue {
                text: kind.deadline.as_millis().to_string(),
                allowed: format!("up to deadline_max_ms, which is {}", max.as_millis()),
            };
            reader.add_problem(&format!("kind {}", kind.name), Some("deadline_ms"), problem);
        }
    }

    fn check_shares(&self, reader: &mut IniReader) {
        let sum_percent: u32 = self.teams.iter().map(|team| team.share_percent).sum();
        if let Some(last) = self.teams.last().filter(|_| sum_percent > 100) {
            let problem = IniProblemKind::InvalidValue {
                text: last.share_percent.to_string(),
                allowed: format!("shares that add up to at most 100; they add up to {sum_percent}"),
            };
            reader.add_problem(
                &format!("team {}", last.name),
                Some("share_percent"),
                problem,
            );
        }
    }
}

/// Reads all sections `[PREFIX NAME]`, of which at least one is required.
fn read_named<T>(
    reader: &mut IniReader,
    prefix: &str,
    read: impl Fn(&mut IniReader, &str, String) -> Option<T>,
) -> Vec<T> {
    let names = reader.section_name_suffixes(prefix);
    if names.is_empty() {
        let allowed = format!("one section [{prefix} NAME] or more");
        let kind = IniProblemKind::Missing { allowed };
        reader.add_problem(&format!("{prefix} NAME"), None, kind);
    }
    let mut items = Vec::with_capacity(names.len());
    for name in names {
        let section = format!("{prefix} {name}");
        check_name(reader, &section, &name);
        items.extend(read(reader, &section, name));
    }
    items
}

fn check_name(reader: &mut IniReader, section: &str, name: &str) {
    if !is_name(name) {
        let kind = IniProblemKind::InvalidValue {
            text: name.to_owned(),
            allowed: NAME_ALLOWED.to_owned(),
        };
        reader.add_problem(section, None, kind);
    }
}

fn read_service(reader: &mut IniReader, section: &str, name: String) -> Option<Service> {
    let mut section = reader.section(section);
    let ejected_max_percent =
        section.number_u32_or("ejected_max_percent", 0..=100, EJECTED_MAX_DEFAULT_PERCENT);
    section.finish();
    Some(Service {
        name,
        ejected_max_percent,
    })
}

fn read_kind(
    reader: &mut IniReader,
    section: &str,
    name: String,
    declared: &[String],
) -> Option<Kind> {
    let mut section = reader.section(section);
    let service = section.name("service");
    if let Some(service) = service.as_ref().filter(|name| !declared.contains(name)) {
        let kind = IniProblemKind::InvalidValue {
            text: service.clone(),
            allowed: format!("a service of this file: {}", list(declared)),
        };
        section.add_problem("service", kind);
    }
    let class = section.choice_or("class", &CLASS_CHOICES, Class::default());
    let idempotent = section.choice_or("idempotent", &BOOLEAN_CHOICES, false);
    let deadline = section.milliseconds("deadline_ms", 1..=DAY_MS);
    section.finish();
    Some(Kind {
        name,
        service: service?,
        class,
        idempotent,
        deadline: deadline?,
    })
}

fn read_team(reader: &mut IniReader, section: &str, name: String) -> Option<Team> {
    let mut section = reader.section(section);
    let share = section.number("share_percent", 0..=100);
    let share_percent = share.and_then(|share| u32::try_from(share).ok());
    let cap_percent = section.number_u32_or("cap_percent", 1..=100, CAP_DEFAULT_PERCENT);
    if let Some(share_percent) = share_percent.filter(|share_percent| cap_percent < *share_percent)
    {
        let kind = IniProblemKind::InvalidValue {
            text: cap_percent.to_string(),
            allowed: format!("not less than share_percent, which is {share_percent}"),
        };
        section.add_problem("cap_percent", kind);
    }
    section.finish();
    Some(Team {
        name,
        share_percent: share_percent?,
        cap_percent,
    })
}

fn read_limits(reader: &mut IniReader) -> Limits {
    let default = Limits::default();
    let mut section = reader.section("limits");
    let limits = Limits {
        tasks_per_job: section.number_u32_or(
            "tasks_per_job",
            1..=TASK_COUNT_MAX,
            default.tasks_per_job,
        ),
        queued_tasks: section.number_u32_or(
            "queued_tasks",
            1..=TASK_COUNT_MAX,
            default.queued_tasks,
        ),
        queued_bytes: section.number_or("queued_bytes", 1..=MEMORY_BYTES_MAX, default.queued_bytes),
        payload_bytes: section.number_u32_or(
            "payload_bytes",
            1..=PAYLOAD_BYTES_MAX,
            default.payload_bytes,
        ),
        deadline_max: section.milliseconds_or("deadline_max_ms", 1..=DAY_MS, default.deadline_max),
    };
    section.finish();
    limits
}

fn list(names: &[String]) -> String {
    if names.is_empty() {
        "none is declared".to_owned()
    } else {
        names.join(", ")
    }
}
