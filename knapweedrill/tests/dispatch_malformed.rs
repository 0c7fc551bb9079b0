//! No input from outside makes a process panic: datagrams of arbitrary bytes, packets of arbitrary
//! content, and requests and minion responses with arbitrary numbers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill::dispatch::configuration::{Configuration, Queue, QueuePolicy};
use knapweedrill::dispatch::entry::{Entry, EntrySettings, Source, StepRequest, Submission};
use knapweedrill::dispatch::message::{
    CrashRecord, Message, MinionAvailability, MinionProfile, PlacementOutcome, Role, RunEnd,
    SidecarStatus, StartOrder, TaskReport,
};
use knapweedrill::dispatch::session::{Envelope, Identity, SessionSettings, Sessions};
use knapweedrill::dispatch::sidecar::{
    EndKind, EndedRun, HoldAnswer, MinionHeartbeat, OrderAnswer, RunKey, Sidecar, SidecarAction,
    SidecarEndpoint, SidecarSettings,
};
use knapweedrill::dispatch::{
    CancelOutcome, JobName, Notice, Packet, Resources, SidecarRecord, TaskName,
};
use proptest::prelude::*;
use smallvec::SmallVec;

const ENTRY: u64 = 11;
const SIDECAR: u64 = 22;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns numbers that are mostly at or near the limits of their range.
fn boundary_u64() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        Just(1),
        Just(u64::MAX),
        Just(u64::MAX - 1),
        Just(u64::from(u32::MAX)),
        0_u64..2_000,
        any::<u64>(),
    ]
}

fn boundary_u32() -> impl Strategy<Value = u32> {
    prop_oneof![Just(0), Just(1), Just(u32::MAX), 0_u32..50, any::<u32>()]
}

fn duration() -> impl Strategy<Value = Duration> {
    prop_oneof![
        Just(Duration::MAX),
        boundary_u64().prop_map(Duration::from_millis),
        boundary_u64().prop_map(Duration::from_secs),
    ]
}

fn resources() -> impl Strategy<Value = Resources> {
    (boundary_u32(), boundary_u32(), boundary_u32()).prop_map(
        |(cpu_millicores, memory_mib, accelerator_count)| Resources {
            cpu_millicores,
            memory_mib,
            accelerator_count,
        },
    )
}

fn task() -> impl Strategy<Value = TaskName> {
    (0_u64..3, any::<u16>(), boundary_u32()).prop_map(|(job, step, index)| TaskName {
        job: JobName(job),
        step,
        index,
    })
}

fn start() -> impl Strategy<Value = Message> {
    let names = (task(), boundary_u64(), any::<bool>(), ".{0,8}");
    (
        names,
        resources(),
        duration(),
        boundary_u64(),
        boundary_u32(),
    )
        .prop_map(
            |(
                (task, attempt, is_movable, spec),
                resources,
                estimate,
                sidecar_stamp_ms,
                run_number,
            )| {
                Message::Start(StartOrder {
                    task,
                    attempt,
                    resources,
                    estimate,
                    is_movable,
                    queue: 1,
                    is_trial: true,
                    service: "service".into(),
                    required_label: None,
                    spec,
                    sidecar_stamp_ms,
                    run_number,
                })
            },
        )
}

fn message() -> impl Strategy<Value = Message> {
    let report = (task(), boundary_u64(), duration()).prop_map(|(task, attempt, run_time)| {
        let outcome = PlacementOutcome::Ended {
            end: RunEnd::Done,
            run_time,
        };
        Message::Report(TaskReport {
            task,
            attempt,
            outcome,
        })
    });
    let minion = resources().prop_map(|capacity| {
        Message::Minion(Some(MinionProfile {
            instance: "i".into(),
            service: "service".into(),
            capacity,
            labels: Vec::new(),
            failure_domain: "a".into(),
        }))
    });
    let stop = (task(), boundary_u64()).prop_map(|(task, attempt)| Message::Stop { task, attempt });
    let withdrawn =
        (task(), boundary_u64()).prop_map(|(task, attempt)| Message::Withdrawn { task, attempt });
    let evacuation =
        (boundary_u64(), any::<bool>()).prop_map(|(revision, is_evacuated)| Message::Evacuation {
            revision,
            is_evacuated,
        });
    prop_oneof![start(), report, minion, stop, withdrawn, evacuation]
}

fn status() -> impl Strategy<Value = Option<SidecarStatus>> {
    let status = (resources(), boundary_u32(), boundary_u32(), boundary_u32());
    prop::option::of(
        status.prop_map(
            |(free, pace_permille, delay_ms, recent_entry_count)| SidecarStatus {
                free,
                availability: if pace_permille % 2 == 0 {
                    MinionAvailability::Ready
                } else {
                    MinionAvailability::Evacuated
                },
                pace_permille,
                delay_ms,
                recent_entry_count,
                crashes: CrashRecord::default(),
            },
        ),
    )
}

prop_compose! {
    fn envelope(role: Role, from: u64, to: u64)(
        to in prop_oneof![Just(0), Just(to), any::<u64>()],
        session in prop_oneof![Just(1), boundary_u64()],
        is_closing in prop::bool::weighted(0.1),
        stamp_ms in boundary_u64(),
        echo_ms in boundary_u64(),
        received in boundary_u64(),
        first in prop_oneof![Just(1), boundary_u64()],
        messages in prop::collection::vec(message(), 0..4),
        status in status(),
    ) -> Packet {
        Packet::Session(Envelope {
            from, role, to, session, is_closing, stamp_ms, echo_ms, received, first, messages, status,
        })
    }
}

fn sidecar_record() -> impl Strategy<Value = SidecarRecord> {
    (".{0,8}", any::<u16>(), resources()).prop_map(|(vm, port, capacity)| SidecarRecord {
        vm,
        address: address(port),
        service: "service".into(),
        capacity,
        labels: Vec::new(),
    })
}

fn notice() -> impl Strategy<Value = Packet> {
    let bytes = prop::collection::vec(any::<u8>(), 0..40);
    let records = || prop::collection::vec(sidecar_record(), 0..4);
    let part = (boundary_u64(), boundary_u32(), boundary_u32(), bytes);
    prop_oneof![
        sidecar_record().prop_map(Notice::SidecarAnnouncement),
        (
            boundary_u64(),
            records(),
            any::<bool>(),
            boundary_u64(),
            prop::collection::vec(".{0,4}", 0..4),
        )
            .prop_map(
                |(version, sidecars, is_answer, evacuation_revision, evacuated_domains)| {
                    Notice::Gossip {
                        version,
                        sidecars,
                        is_answer,
                        evacuation_revision,
                        evacuated_domains,
                    }
                }
            ),
        (boundary_u64(), boundary_u32())
            .prop_map(|(version, index)| Notice::ConfigurationPartRequest { version, index }),
        part.prop_map(|(version, index, count, bytes)| Notice::ConfigurationPart {
            version,
            index,
            count,
            bytes,
        }),
        boundary_u32().prop_map(|offset| Notice::SidecarPageRequest { offset }),
        (
            boundary_u64(),
            any::<bool>(),
            prop::collection::vec(0_u64..4, 0..300)
        )
            .prop_map(|(number, is_complete, names)| Notice::Cancel {
                number,
                is_complete,
                names: names.into_iter().map(JobName).collect(),
            }),
        (boundary_u64(), prop::collection::vec(any::<bool>(), 0..300)).prop_map(
            |(number, stopped)| Notice::CancelAcknowledgement {
                number,
                outcomes: stopped
                    .into_iter()
                    .map(|is_stopped| if is_stopped {
                        CancelOutcome::Stopped
                    } else {
                        CancelOutcome::Unknown
                    })
                    .collect(),
            }
        ),
        Just(Notice::CancelsRequest),
        (boundary_u32(), boundary_u32(), records()).prop_map(|(offset, count, sidecars)| {
            Notice::SidecarPage {
                offset,
                count,
                sidecars,
            }
        }),
    ]
    .prop_map(Packet::Notice)
}

fn configuration() -> Configuration {
    Configuration {
        version: 5,
        queues: vec![Queue {
            name: "queue".into(),
            host: "host".into(),
            path_prefix: "/".into(),
            service: "service".into(),
            policy: QueuePolicy {
                priority: 1,
                attempt_count_max: 3,
                stretch_permille: 1_600,
                target_latency: Duration::from_millis(60),
            },
            has_advice: false,
        }],
        body_bytes_max: 1_000,
    }
}

fn entry(now: Instant) -> Entry {
    let identity = Identity {
        incarnation: ENTRY,
        role: Role::Entry,
        started_at: now,
    };
    let sessions = Sessions::new(identity, SessionSettings::default());
    let mut entry = Entry::new(EntrySettings::default(), sessions);
    entry.configure(configuration(), "test", now);
    let record = SidecarRecord {
        vm: "vm".into(),
        address: address(1),
        service: "service".into(),
        capacity: Resources {
            cpu_millicores: u32::MAX,
            memory_mib: u32::MAX,
            accelerator_count: u32::MAX,
        },
        labels: Vec::new(),
    };
    entry.add_sidecar(record, Source::First);
    entry.tick(now);
    entry
}

fn sidecar(now: Instant) -> SidecarEndpoint {
    let identity = Identity {
        incarnation: SIDECAR,
        role: Role::Sidecar,
        started_at: now,
    };
    let sessions = Sessions::new(identity, SessionSettings::default());
    let sidecar = Sidecar::new(SidecarSettings::default(), 1);
    SidecarEndpoint::new(sidecar, sessions, "vm".into(), address(1))
}

fn submission(
    name: u64,
    steps: Vec<(u32, Resources, Duration, Option<u32>)>,
    caller_timeout: Duration,
) -> Submission {
    let steps = steps
        .into_iter()
        .map(|(tasks, resources, estimate, per_minion_max)| StepRequest {
            task_count: tasks,
            resources,
            estimate,
            after: SmallVec::new(),
            required_label: None,
            per_minion_max,
            data_rack: None,
        });
    Submission {
        name: JobName(name),
        host: "host".into(),
        path: "/x".into(),
        spec: String::new(),
        steps: steps.collect(),
        caller_timeout,
        is_supported: true,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = postcard::from_bytes::<Packet>(&bytes);
    }

    #[test]
    fn entry_survives_arbitrary_packets_and_requests(
        packets in prop::collection::vec(
            prop_oneof![3 => envelope(Role::Sidecar, SIDECAR, ENTRY), 2 => notice()], 1..40),
        jobs in prop::collection::vec(
            (0_u64..3, prop::collection::vec((0_u32..4, resources(), duration(), prop::option::of(boundary_u32())), 1..3),
             duration()), 0..6),
    ) {
        let mut now = Instant::now();
        let mut entry = entry(now);
        let mut jobs = jobs.into_iter();
        for packet in packets {
            now += Duration::from_millis(30);
            entry.receive(address(1), packet, now);
            if let Some((name, steps, caller_timeout)) = jobs.next() {
                entry.submit(1, submission(name, steps, caller_timeout), now);
                entry.cancel(2, JobName(name + 1), now);
            }
            entry.tick(now);
            entry.place_waiting(now);
            entry.take_actions();
            entry.poll(now);
        }
    }

    #[test]
    fn sidecar_survives_arbitrary_packets_and_minion_responses(
        packets in prop::collection::vec(
            prop_oneof![4 => envelope(Role::Entry, ENTRY, SIDECAR), 1 => notice()], 1..40),
        capacity in resources(),
        started_unix_ms in boundary_u64(),
        clock_ms in prop::collection::vec(boundary_u64(), 1..8),
        numbers in prop::collection::vec((task(), boundary_u32(), boundary_u64(), any::<u8>()), 1..8),
    ) {
        let mut now = Instant::now();
        let mut endpoint = sidecar(now);
        let heartbeat = |sequence| MinionHeartbeat {
            profile: MinionProfile {
                instance: "i".into(),
                service: "service".into(),
                capacity,
                labels: Vec::new(),
                failure_domain: "a".into(),
            },
            started_unix_ms,
            sequence,
            is_draining: false,
        };
        let mut clocks = clock_ms.into_iter().cycle();
        let mut numbers = numbers.into_iter().cycle();
        for (sequence, packet) in (0..).zip(packets) {
            now += Duration::from_millis(30);
            endpoint.sidecar_mut().heartbeat_received(heartbeat(sequence), now);
            endpoint.receive(address(2), packet, now);
            endpoint.sidecar_mut().tick(now);
            let outgoing = endpoint.poll(now);
            for order in outgoing.orders {
                let clock_ms = clocks.next().unwrap_or(0);
                let (task, number, ended, percent) = numbers.next().expect("a cycle has no end");
                let run = RunKey { task, number };
                let sidecar = endpoint.sidecar_mut();
                match order {
                    SidecarAction::Start(call) => {
                        let answer = [OrderAnswer::Accepted, OrderAnswer::Superseded][usize::from(percent % 2)].clone();
                        sidecar.start_answered(call.call, answer, Some(clock_ms), now);
                    }
                    SidecarAction::Stop(call) => {
                        sidecar.stop_answered(call.call, OrderAnswer::NoAnswer, Some(clock_ms), now);
                    }
                    SidecarAction::Hold(call) => {
                        let answer = HoldAnswer {
                            started_unix_ms: ended,
                            clock_ms,
                            running: vec![(run, percent)],
                            ended: vec![EndedRun { number: ended, run, kind: EndKind::Done }],
                            has_more: percent % 3 == 0,
                            malformed_ends: vec![Some(ended), None],
                        };
                        sidecar.hold_answered(call.call, Some(answer), now);
                    }
                    SidecarAction::Send(..) => {}
                }
            }
        }
    }
}
